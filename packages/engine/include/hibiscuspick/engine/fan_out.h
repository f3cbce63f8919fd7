// Plans a fan-out: which shards get a request at once, which only if others
// fail to answer, and which late parts get a second attempt (hedge).
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// The expected queue wait and service time of a new query's part at a shard.
struct ShardEstimate {
  // Wait in the queue behind the parts with earlier due times.
  Millis queue_wait;
  // Service time of an attempt at the shard's fastest server.
  Millis service_time;
  // Wait of a deprioritized part, which is queued behind all others.
  Millis deprioritized_wait;
  // Time between two parts that the shard's servers serve, as far as this
  // instance uses them; 0 if unknown.
  Millis time_per_part{0};
};

inline Millis Total(const ShardEstimate& it) {
  return it.queue_wait + it.service_time;
}

struct FanOutPlan {
  // False if the minimum coverage can't be reached: the query fails before any
  // server has worked for it.
  bool feasible = true;
  // Indices of the shards: requested at once, and requested only if others fail
  // or are late.
  std::vector<size_t> immediate;
  std::vector<size_t> deferred;
  std::vector<size_t> unreachable;
};

// Plans the fan-out of a query. `estimates` has one element for each shard,
// empty if no server of the shard is available. A shard that is expected to
// answer later than `defer_share` of the time left is deferred, as long as the
// others suffice for `needed`. It is overloaded or slow: not sending a part
// there lets a part of another query be on time, and the shard's first attempt,
// which costs no budget, remains available.
FanOutPlan PlanFanOut(
    const std::vector<std::optional<ShardEstimate>>& estimates, size_t needed,
    Millis time_left, double defer_share);

// The decision whether a query is started as a whole.
struct Admission {
  bool admitted = true;
  // The query is not expected to meet its target: its parts are queued behind
  // those of queries that are.
  bool deprioritized = false;
  // When the queues that delay the query will have drained.
  Millis retry_after;
  // Estimate of the shard that decided: the last one needed for the minimum
  // coverage.
  ShardEstimate critical_shard;
};

// The time left of a new query, and whether it repeats one that was refused.
struct QueryTimes {
  Millis to_target;
  Millis to_deadline;
  bool is_retry = false;
};

// Decides whether to admit a query, by the estimates of the shards that it
// needs for the minimum coverage. It is refused if they are expected to answer
// after the caller's deadline, also when its parts are queued behind all
// others: all its work would be wasted. It is also refused if they are expected
// after the target because of queues: each admitted query would make the
// following ones late too, and a caller that is told at once when to retry is
// served sooner than by waiting. A caller that does retry is admitted then.
Admission Admit(const std::vector<std::optional<ShardEstimate>>& estimates,
                size_t needed, const QueryTimes& times);

// Whether a part that has just failed must be retried for the query to succeed.
// `failed` counts the other parts that failed for good. Deferred shards aren't
// among them: they are requested instead, at no extra cost.
bool NeedsRetry(size_t shards, size_t failed, size_t needed);

// One part of a query that has not been received yet.
struct PendingPart {
  size_t index = 0;
  // 0 for a part that is deferred or waits in the queue.
  int open_attempts = 0;
  // Send time of the only open attempt.
  Millis sent_at;
  bool deferred = false;
  // Whether the route allows a second attempt.
  bool may_hedge = false;
};

struct HedgePlan {
  // Deferred shards to request now in place of late ones, at no extra cost.
  std::vector<size_t> start_deferred;
  // Second attempts that are needed for the minimum coverage.
  std::vector<size_t> urgent;
  // Second attempts that would only make the answer more complete.
  std::vector<size_t> optional;
};

// Plans second attempts for late parts. `received` counts the parts that have
// arrived; attempts sent before `late_before` are late. Urgent hedges are those
// needed to reach `needed` if no late attempt ever answers; the other late
// parts are optional, the oldest first.
HedgePlan PlanHedges(std::vector<PendingPart> missing, size_t received,
                     size_t needed, Millis late_before);

}  // namespace hibiscuspick::engine
