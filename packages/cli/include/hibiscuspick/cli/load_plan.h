// What a load run is to send and when: every query's instant is fixed before
// the run, so that a slow answer does not delay the next query and thereby
// hide itself.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::cli {

// A route and its queries per second.
struct RouteRate {
  std::string route;
  double per_second = 0;
};

// Evenly spaced, or with the independent gaps of a Poisson process.
enum class Spacing { kEven, kPoisson };

struct LoadPlan {
  // Asked in turn.
  std::vector<Address> targets;
  std::vector<RouteRate> mix;
  Spacing spacing = Spacing::kPoisson;
  uint64_t seed = 1;
  Millis duration{10000};
  // Queries of the first so many milliseconds are sent and not reported.
  Millis warm_up{0};
  // Queries in flight at once; beyond it they wait, and the wait counts.
  size_t max_workers = 512;
  // The query; if it is an object, its key "n" numbers the queries.
  Json query = {{"text", "load"}};
  // Body keys other than the query, as given on the command line.
  Json options = Json::object();
  std::string customer;
  // For an answer, from the instant its query was due to be sent.
  Millis timeout{10000};
  // Check each hit against the query and the snapshot, as the stand-ins mark
  // them.
  bool verify = false;
  bool json = false;
  bool progress = false;
};

// One query of the plan: when, after the start, and the place of its route in
// the mix.
struct Arrival {
  Millis at;
  uint32_t route = 0;
};

// All queries in the order of their instants. The same for the same plan.
std::vector<Arrival> PlanArrivals(const LoadPlan& plan);

// Reads "fraud=50,portal=200". Errors: kMalformedRequest.
Result<std::vector<RouteRate>> ParseMix(std::string_view text);

}  // namespace hibiscuspick::cli
