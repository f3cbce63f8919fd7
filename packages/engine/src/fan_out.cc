#include "hibiscuspick/engine/fan_out.h"

#include <algorithm>

namespace hibiscuspick::engine {

FanOutPlan PlanFanOut(const std::vector<std::optional<Millis>>& expected,
                      size_t needed, Millis time_left, double defer_share) {
  FanOutPlan plan;
  std::vector<size_t> reachable;
  for (size_t i = 0; i < expected.size(); ++i) {
    (expected[i] ? reachable : plan.unreachable).push_back(i);
  }
  plan.possible = reachable.size() >= needed;
  if (!plan.possible) return plan;
  std::stable_sort(reachable.begin(), reachable.end(), [&](size_t a, size_t b) {
    return *expected[a] < *expected[b];
  });
  const Millis bound = Max(time_left, Millis(0)) * defer_share;
  for (size_t n = 0; n < reachable.size(); ++n) {
    const size_t i = reachable[n];
    const bool kept_back = n >= needed && *expected[i] > bound;
    (kept_back ? plan.deferred : plan.asked).push_back(i);
  }
  return plan;
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
