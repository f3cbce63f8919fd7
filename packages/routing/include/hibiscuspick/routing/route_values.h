// The tuned values of one route, resolved from the settings tree for one
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
  // Used when the caller names none; a caller may ask for up to the maximum.
  Millis deadline{200};
  Millis max_deadline{10000};
  uint32_t limit = 20;
  uint32_t max_limit = 1000;
  // Share of the documents that makes an answer good enough, 0 to 1.
  double min_coverage = 1;
  // An instance that reports nothing of its part for this long is taken for
  // gone, and the missing shards are asked elsewhere.
  Millis owner_timeout{60};
  // With Prefer::kLatency: how long to wait for more once min_coverage is
  // there.
  Millis latency_grace{2};
  // Kept back from the deadline for writing the answer.
  Millis answer_reserve{2};
  // How many instances one shard may be asked at, the first included.
  uint32_t max_candidates = 3;
  // How often a query may start again on another version.
  uint32_t max_restarts = 2;
  // A query starts again only with at least this much time left.
  Millis min_restart_time{10};
};

}  // namespace hibiscuspick::routing
