// Which shards of a query are asked at once, which only if others fail to
// answer, and which late ones are worth a second attempt.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// What a part of a new query would meet at a shard.
struct ShardOutlook {
  // Behind parts that are due sooner.
  Millis wait;
  // An attempt at its fastest server.
  Millis service;
  // Behind all parts, for one that isn't expected in time.
  Millis wait_behind;
};

inline Millis Total(const ShardOutlook& it) { return it.wait + it.service; }

struct FanOutPlan {
  // False if the least share can't be reached: the query fails before any
  // server works for it.
  bool possible = true;
  // Places of the shards: asked now, and kept back.
  std::vector<size_t> asked;
  std::vector<size_t> deferred;
  std::vector<size_t> unreachable;
};

// `outlooks`: one for each shard, nothing if no server of it can be reached. A
// shard that is expected to answer after
// `defer_share` of the time left is kept back, as far as the least share goes
// without it: it is overloaded or slow, each part not asked there lets another
// query's part be on time, and its first attempt stays free for later.
FanOutPlan PlanFanOut(const std::vector<std::optional<ShardOutlook>>& outlooks,
                      size_t needed, Millis time_left, double defer_share);

// Whether a query begins, as a whole.
struct Admission {
  bool admitted = true;
  // It is not expected by its target: its parts wait behind those that are.
  bool behind = false;
  // When the queues that stand in the way will have drained.
  Millis retry_after;
  // Of the shard that completes the least share: what decided it.
  ShardOutlook decisive;
};

// The time that a new query has, and whether its caller was refused before.
struct QueryTimes {
  Millis to_target;
  Millis to_end;
  bool returning = false;
};

// Refuses a query whose least share of shards is not expected in time: by the
// caller's deadline, since then all its parts would be work for nothing, also
// where it has to wait behind the others; or by
// the target, if it is queues that make it late. Then each query let in makes
// the next ones late too, and those who are told at once when to come back are
// served sooner than by waiting. A caller that did come back is let in.
Admission Admit(const std::vector<std::optional<ShardOutlook>>& outlooks,
                size_t needed, const QueryTimes& times);

// Whether a part that has just failed has to be asked again for the query to
// succeed. `failed`: others that failed for good; kept-back shards aren't among
// them, they are asked in its place at no extra cost.
bool NeedsRetry(size_t shards, size_t failed, size_t needed);

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
