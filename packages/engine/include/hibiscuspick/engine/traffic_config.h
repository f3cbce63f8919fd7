// The configuration that traffic is served by: an immutable version of all
// routes and services. A request uses the version that it began with until its
// end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Whether a request may be sent again after an attempt whose outcome is
// unknown.
enum class Idempotency { kIdempotent, kNotIdempotent };

struct WeightedService {
  ServiceId service;
  double weight = 1;
};

// The data centres that a route's requests may be sent to, as servers or as
// other instances. All if not set.
using AllowedDataCentres = std::optional<std::set<DataCentreId>>;
inline bool IsAllowed(const AllowedDataCentres& allowed,
                      const DataCentreId& data_centre) {
  return !allowed || allowed->contains(data_centre);
}

// A fan-out: one part from each shard, merged.
struct GatherRule {
  std::vector<ServiceId> shards;
  // Number of records in the answer.
  size_t top = 0;
  // The share of the shards, from 0 to 1, that an answer needs.
  double min_coverage = 1;
};

struct Route {
  RouteId id;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  // The longest time that a caller waits.
  Millis timeout{1000};
  // An answer is late after this time.
  Millis target{1000};
  // The number of backend servers that one request may run on, for each shard.
  int attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // The services of plain requests; empty if `gather` is set.
  std::vector<WeightedService> split;
  std::optional<GatherRule> gather;
  AllowedDataCentres allowed_data_centres;
  // Whether callers need no API key.
  bool is_public = false;
};

struct Service {
  ServiceId id;
  // Connections that each of its servers accepts, from all instances together.
  int max_connections = 1;
  // How long its servers are cold after a start, and how many requests per
  // second each accepts meanwhile; 0 for no limit.
  Millis warmup{0};
  double cold_per_second = 0;
};

// Limits on the requests, connections and timeouts of callers.
struct CallerLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 262144;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

struct ClientAccounts;

struct TrafficConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  CallerLimits limits;
  // The accounts of callers and their keys; null if the configuration has none,
  // in which case callers need no key.
  std::shared_ptr<const ClientAccounts> accounts;
  // Indices in `routes` by host, the longest prefix first; see IndexRoutes.
  std::unordered_map<std::string, std::vector<size_t>> by_host;
};

// Fills `by_host`. Called once, before the configuration is shared.
void IndexRoutes(TrafficConfig* config);

// The route of the host whose prefix is the longest one that matches the path;
// nullptr if there is none. `host` may have a port, `target` may have a query
// string.
const Route* FindRoute(const TrafficConfig& config, std::string_view host,
                       std::string_view target);

// Smooth weighted round robin over a route's services: after any number of
// requests each service is within one request of its share, so that short
// periods keep the proportions too.
struct SplitState {
  std::vector<double> credit;
};
const ServiceId& NextService(const Route& route, SplitState* state);

}  // namespace hibiscuspick::engine
