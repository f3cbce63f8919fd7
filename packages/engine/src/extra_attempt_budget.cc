#include "hibiscuspick/engine/extra_attempt_budget.h"

namespace hibiscuspick::engine {
namespace {

int64_t SliceNumber(const ExtraAttemptLimits& limits, Millis now) {
  return static_cast<int64_t>(now.count * ExtraAttemptBudget::kSlices /
                              limits.window.count);
}

ExtraAttemptBudget::Slice* CurrentSlice(ExtraAttemptBudget* budget,
                                        const ExtraAttemptLimits& limits,
                                        Millis now) {
  const int64_t number = SliceNumber(limits, now);
  auto& slice =
      budget->slices[static_cast<size_t>(number) % budget->slices.size()];
  if (slice.number != number) slice = {number, 0, 0};
  return &slice;
}

}  // namespace

void CountRequest(ExtraAttemptBudget* budget, const ExtraAttemptLimits& limits,
                  Millis now) {
  ++CurrentSlice(budget, limits, now)->requests;
}

bool HasExtraAttempt(const ExtraAttemptBudget& budget,
                     const ExtraAttemptLimits& limits, Millis now,
                     double reserve) {
  const int64_t number = SliceNumber(limits, now);
  const auto window_slices = static_cast<int64_t>(ExtraAttemptBudget::kSlices);
  uint64_t requests = 0;
  uint64_t extra_attempts = 0;
  for (const auto& it : budget.slices) {
    // Extra attempts are counted over one slice more than requests, so that no
    // window, wherever it begins, holds more than is allowed.
    if (it.number < number - window_slices || it.number > number) continue;
    extra_attempts += it.extra_attempts;
    if (it.number > number - window_slices) requests += it.requests;
  }
  const double allowed =
      limits.ratio * static_cast<double>(requests) + limits.slack;
  return static_cast<double>(extra_attempts) + 1 <= allowed * (1 - reserve);
}

bool TakeExtraAttempt(ExtraAttemptBudget* budget,
                      const ExtraAttemptLimits& limits, Millis now) {
  if (!HasExtraAttempt(*budget, limits, now)) return false;
  ++CurrentSlice(budget, limits, now)->extra_attempts;
  return true;
}

}  // namespace hibiscuspick::engine
