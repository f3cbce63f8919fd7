// The configuration that traffic is served by: one immutable version of all
// routes and services. A request keeps the version it began with to its end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Whether a request may run again after an attempt whose outcome is unknown.
enum class Repeat { kIdempotent, kOnce };

struct WeightedService {
  ServiceId service;
  double weight = 1;
};

// The data centres that a route's requests are kept to: neither a server nor
// another instance elsewhere gets them. All if not set.
using Homes = std::optional<std::set<DataCentreId>>;
inline bool IsHome(const Homes& homes, const DataCentreId& where) {
  return !homes || homes->contains(where);
}

// A fan-out: one part from each shard, merged.
struct GatherRule {
  std::vector<ServiceId> shards;
  // Records in the answer.
  size_t top = 0;
  // The least share of the shards, 0 to 1, that makes an answer.
  double least_share = 1;
};

struct Route {
  RouteId id;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  Repeat repeat = Repeat::kOnce;
  // The longest a caller is kept waiting.
  Millis timeout{1000};
  // Within this an answer is worth most.
  Millis target{1000};
  // Backend servers that one request may run on, for each shard.
  int attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // Where plain requests go; empty if `gather` is set.
  std::vector<WeightedService> split;
  std::optional<GatherRule> gather;
  Homes homes;
};

struct Service {
  ServiceId id;
  // Connections that each of its servers takes, from all instances together.
  int max_connections = 1;
  // How long its servers are cold after a start, and how many requests a second
  // each takes meanwhile; 0 if that isn't bounded.
  Millis warmup{0};
  double cold_per_second = 0;
};

// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 262144;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

struct TrafficConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  CallerLimits limits;
  // Places in `routes` by host, the longest prefix first; see IndexRoutes.
  std::unordered_map<std::string, std::vector<size_t>> by_host;
};

// Fills `by_host`. Called once, before the configuration is shared.
void IndexRoutes(TrafficConfig* config);

// The route with the longest prefix that begins the path, among those of the
// host; nullptr if there is none. `host` as the caller sent it, with or
// without a port; `target` with or without a query.
const Route* FindRoute(const TrafficConfig& config, std::string_view host,
                       std::string_view target);

// Spreads a route's requests over its services in the proportions of their
// weights, evenly at every scale: after n requests each service is within one
// request of its share, so that short windows keep the proportions too.
struct SplitState {
  std::vector<double> credit;
};
const ServiceId& NextOfSplit(const Route& route, SplitState* state);

}  // namespace hibiscuspick::engine
