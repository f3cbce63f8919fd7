#include "hibiscuspick/engine/fan_out.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// A query is late because of queues if the wait alone takes this share of its
// time and is longer than the service. Otherwise the servers are slow or the
// caller came late, and refusing the query improves neither.
constexpr double kMaxWaitShare = 0.5;

// A query counts as in time if it is expected within this share of its target:
// a queued part is estimated only once, and the queue before it advances in
// steps.
constexpr double kInTimeShare = 0.75;

// Within a shorter time the queue hardly changes.
constexpr Millis kMinRetryAfter{50};

Millis DeprioritizedTotal(const ShardEstimate& it) {
  return it.deprioritized_wait + it.service_time;
}

// The last shard needed for the minimum coverage, ordered by `time`.
ShardEstimate CriticalShard(std::vector<ShardEstimate>* shards, size_t needed,
                            Millis (*time)(const ShardEstimate&)) {
  const auto last = shards->begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(shards->begin(), last, shards->end(),
                   [&](auto& a, auto& b) { return time(a) < time(b); });
  return *last;
}

}  // namespace

FanOutPlan PlanFanOut(
    const std::vector<std::optional<ShardEstimate>>& estimates, size_t needed,
    Millis time_left, double defer_share) {
  FanOutPlan plan;
  std::vector<size_t> reachable;
  for (size_t i = 0; i < estimates.size(); ++i) {
    (estimates[i] ? reachable : plan.unreachable).push_back(i);
  }
  plan.feasible = reachable.size() >= needed;
  if (!plan.feasible) return plan;
  std::stable_sort(reachable.begin(), reachable.end(), [&](size_t a, size_t b) {
    return Total(*estimates[a]) < Total(*estimates[b]);
  });
  const Millis bound = Max(time_left, Millis(0)) * defer_share;
  for (size_t n = 0; n < reachable.size(); ++n) {
    const size_t i = reachable[n];
    const bool is_deferred = n >= needed && Total(*estimates[i]) > bound;
    (is_deferred ? plan.deferred : plan.immediate).push_back(i);
  }
  return plan;
}

Admission Admit(const std::vector<std::optional<ShardEstimate>>& estimates,
                size_t needed, const QueryTimes& times) {
  std::vector<ShardEstimate> reachable;
  for (const auto& it : estimates) {
    if (it) reachable.push_back(*it);
  }
  Admission admission;
  if (reachable.size() < needed || needed == 0) return admission;
  const auto critical = CriticalShard(&reachable, needed, Total);
  admission.critical_shard = critical;
  admission.deprioritized = Total(critical) > times.to_target * kInTimeShare;
  const bool queues_too_long =
      !times.is_retry && admission.deprioritized &&
      critical.queue_wait > times.to_target * kMaxWaitShare &&
      critical.queue_wait > critical.service_time;
  Millis end = Total(critical);
  if (admission.deprioritized) {
    const auto worst = CriticalShard(&reachable, needed, DeprioritizedTotal);
    end = Max(end, DeprioritizedTotal(worst));
  }
  admission.admitted = end <= times.to_deadline && !queues_too_long;
  admission.retry_after =
      Max(kMinRetryAfter, Total(critical) - Max(times.to_target, Millis(0)));
  return admission;
}

bool NeedsRetry(size_t shards, size_t failed, size_t needed) {
  return shards < failed + 1 + needed;
}

HedgePlan PlanHedges(std::vector<PendingPart> missing, size_t received,
                     size_t needed, Millis late_before) {
  std::stable_sort(missing.begin(), missing.end(),
                   [](auto& a, auto& b) { return a.sent_at < b.sent_at; });
  HedgePlan plan;
  size_t expected = received;
  std::vector<const PendingPart*> late;
  for (const auto& it : missing) {
    if (it.deferred) continue;
    const bool is_late = it.open_attempts == 1 && it.sent_at <= late_before;
    if (!is_late) {
      ++expected;
    } else if (it.may_hedge) {
      late.push_back(&it);
    }
  }
  for (const auto& it : missing) {
    if (!it.deferred || expected >= needed) continue;
    plan.start_deferred.push_back(it.index);
    ++expected;
  }
  for (const auto* it : late) {
    (expected < needed ? plan.urgent : plan.optional).push_back(it->index);
    ++expected;
  }
  return plan;
}

}  // namespace hibiscuspick::engine
