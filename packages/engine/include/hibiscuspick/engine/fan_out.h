// Which shards of a query are asked at once, which only if others fail to
// answer, and which late ones are worth a second attempt.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

struct FanOutPlan {
  // False if the least share can't be reached: the query fails before any
  // server works for it.
  bool possible = true;
  // Places of the shards: asked now, and kept back.
  std::vector<size_t> asked;
  std::vector<size_t> deferred;
  std::vector<size_t> unreachable;
};

// `expected`: what an attempt at each shard is expected to take, nothing if no
// server of it can be reached. A shard that is expected to answer after
// `defer_share` of the time left is kept back, as far as the least share goes
// without it: it is overloaded or slow, each part not asked there lets another
// query's part be on time, and its first attempt stays free for later.
//
// Answers: one server of a shard lost or slowed tenfold leaves the other at
// 2.0 of its 2 slots. Without this, all queries were late for those seconds.
FanOutPlan PlanFanOut(const std::vector<std::optional<Millis>>& expected,
                      size_t needed, Millis time_left, double defer_share);

// One shard of a query in flight.
struct PartView {
  size_t place = 0;
  // Attempts open; 0 for one that is kept back or waits for room.
  int open = 0;
  // Since when the only attempt is open.
  Millis since;
  bool deferred = false;
  // Whether a second attempt is allowed by the route.
  bool may_hedge = false;
};

struct HedgePlan {
  // Kept back so far; asked now in the place of late ones, at no extra cost.
  std::vector<size_t> start;
  // Second attempts without which the least share is in danger.
  std::vector<size_t> urgent;
  // Second attempts that would only make the answer more complete.
  std::vector<size_t> optional;
};

// `in`: parts that are here. `late_before`: attempts sent before this are late.
// Urgent ones are those that it takes to reach `needed` if no late attempt ever
// answers; optional ones are the other late parts, the oldest first.
HedgePlan PlanHedges(std::vector<PartView> missing, size_t in, size_t needed,
                     Millis late_before);

}  // namespace hibiscuspick::engine
