// Tuning parameters of one route, resolved from the settings tree for one
// query.
#pragma once

#include <cstdint>

#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::routing {

struct RouteValues {
  Lane lane = Lane::kOrdinary;
  settings::Prefer prefer = settings::Prefer::kLatency;
  // Default deadline, and the maximum a caller may request.
  Millis deadline{200};
  Millis max_deadline{10000};
  uint32_t limit = 20;
  uint32_t max_limit = 1000;
  // Share of the documents, 0 to 1, at which an answer is good enough.
  double min_coverage = 1;
  // An instance that reports nothing on its part for this long is presumed
  // failed, and the missing shards are requested from another.
  Millis owner_timeout{60};
  // With Prefer::kLatency: how long to wait for more shards after min_coverage
  // is reached.
  Millis latency_grace{2};
  // Time before the deadline reserved for writing the answer.
  Millis answer_reserve{2};
  // Maximum instances that one shard is requested from, including the first.
  uint32_t max_candidates = 3;
  // Maximum restarts of a query on another version.
  uint32_t max_restarts = 2;
  // Minimum time left for a restart.
  Millis min_restart_time{10};
};

}  // namespace hibiscuspick::routing
