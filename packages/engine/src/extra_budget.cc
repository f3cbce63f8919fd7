#include "hibiscuspick/engine/extra_budget.h"

namespace hibiscuspick::engine {
namespace {

int64_t SliceNumber(const ExtraLimits& limits, Millis now) {
  return static_cast<int64_t>(now.count * ExtraBudget::kSlices /
                              limits.window.count);
}

ExtraBudget::Slice* Current(ExtraBudget* budget, const ExtraLimits& limits,
                            Millis now) {
  const int64_t number = SliceNumber(limits, now);
  auto& slice =
      budget->slices[static_cast<size_t>(number) % budget->slices.size()];
  if (slice.number != number) slice = {number, 0, 0};
  return &slice;
}

}  // namespace

void CountRequest(ExtraBudget* budget, const ExtraLimits& limits, Millis now) {
  ++Current(budget, limits, now)->requests;
}

bool HasExtra(const ExtraBudget& budget, const ExtraLimits& limits, Millis now,
              double reserve) {
  const int64_t number = SliceNumber(limits, now);
  const auto span = static_cast<int64_t>(ExtraBudget::kSlices);
  uint64_t requests = 0;
  uint64_t extras = 0;
  for (const auto& it : budget.slices) {
    // Extra attempts are counted over one slice more than requests, so that no
    // window, wherever it begins, holds more than is allowed.
    if (it.number < number - span || it.number > number) continue;
    extras += it.extras;
    if (it.number > number - span) requests += it.requests;
  }
  const double allowed =
      limits.ratio * static_cast<double>(requests) + limits.slack;
  return static_cast<double>(extras) + 1 <= allowed * (1 - reserve);
}

bool TakeExtra(ExtraBudget* budget, const ExtraLimits& limits, Millis now) {
  if (!HasExtra(*budget, limits, now)) return false;
  ++Current(budget, limits, now)->extras;
  return true;
}

}  // namespace hibiscuspick::engine
