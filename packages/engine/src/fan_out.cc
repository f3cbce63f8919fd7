#include "hibiscuspick/engine/fan_out.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// A query is late because of queues if the wait alone takes this share of its
// time and is longer than the service. Otherwise the servers are slow or the
// caller came late, and refusing the query improves neither.
constexpr double kWaitShare = 0.5;

// A query counts as in time if it is expected within this share of its target:
// a queued part is estimated only once, and the queue before it advances in
// steps.
constexpr double kSureShare = 0.75;

// Within a shorter time the queue hardly changes.
constexpr Millis kSoonestReturn{50};

Millis TotalBehind(const ShardOutlook& it) {
  return it.wait_behind + it.service;
}

// The last shard needed for the minimum coverage, ordered by `time`.
ShardOutlook DecisiveBy(std::vector<ShardOutlook>* shards, size_t needed,
                        Millis (*time)(const ShardOutlook&)) {
  const auto last = shards->begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(shards->begin(), last, shards->end(),
                   [&](auto& a, auto& b) { return time(a) < time(b); });
  return *last;
}

}  // namespace

FanOutPlan PlanFanOut(const std::vector<std::optional<ShardOutlook>>& outlooks,
                      size_t needed, Millis time_left, double defer_share) {
  FanOutPlan plan;
  std::vector<size_t> reachable;
  for (size_t i = 0; i < outlooks.size(); ++i) {
    (outlooks[i] ? reachable : plan.unreachable).push_back(i);
  }
  plan.possible = reachable.size() >= needed;
  if (!plan.possible) return plan;
  std::stable_sort(reachable.begin(), reachable.end(), [&](size_t a, size_t b) {
    return Total(*outlooks[a]) < Total(*outlooks[b]);
  });
  const Millis bound = Max(time_left, Millis(0)) * defer_share;
  for (size_t n = 0; n < reachable.size(); ++n) {
    const size_t i = reachable[n];
    const bool kept_back = n >= needed && Total(*outlooks[i]) > bound;
    (kept_back ? plan.deferred : plan.asked).push_back(i);
  }
  return plan;
}

Admission Admit(const std::vector<std::optional<ShardOutlook>>& outlooks,
                size_t needed, const QueryTimes& times) {
  std::vector<ShardOutlook> reachable;
  for (const auto& it : outlooks) {
    if (it) reachable.push_back(*it);
  }
  Admission admission;
  if (reachable.size() < needed || needed == 0) return admission;
  const auto last = DecisiveBy(&reachable, needed, Total);
  admission.decisive = last;
  admission.behind = Total(last) > times.to_target * kSureShare;
  const bool crowded = !times.returning && admission.behind &&
                       last.wait > times.to_target * kWaitShare &&
                       last.wait > last.service;
  Millis end = Total(last);
  if (admission.behind) {
    const auto worst = DecisiveBy(&reachable, needed, TotalBehind);
    end = Max(end, TotalBehind(worst));
  }
  admission.admitted = end <= times.to_end && !crowded;
  admission.retry_after =
      Max(kSoonestReturn, Total(last) - Max(times.to_target, Millis(0)));
  return admission;
}

bool NeedsRetry(size_t shards, size_t failed, size_t needed) {
  return shards < failed + 1 + needed;
}

HedgePlan PlanHedges(std::vector<PartView> missing, size_t in, size_t needed,
                     Millis late_before) {
  std::stable_sort(missing.begin(), missing.end(),
                   [](auto& a, auto& b) { return a.since < b.since; });
  HedgePlan plan;
  size_t hopeful = in;
  std::vector<const PartView*> late;
  for (const auto& it : missing) {
    if (it.deferred) continue;
    const bool is_late = it.open == 1 && it.since <= late_before;
    if (!is_late) {
      ++hopeful;
    } else if (it.may_hedge) {
      late.push_back(&it);
    }
  }
  for (const auto& it : missing) {
    if (!it.deferred || hopeful >= needed) continue;
    plan.start.push_back(it.place);
    ++hopeful;
  }
  for (const auto* it : late) {
    (hopeful < needed ? plan.urgent : plan.optional).push_back(it->place);
    ++hopeful;
  }
  return plan;
}

}  // namespace hibiscuspick::engine
