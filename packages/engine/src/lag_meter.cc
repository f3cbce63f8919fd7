#include "hibiscuspick/engine/lag_meter.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::engine {

void AddLag(LagMeter* meter, Millis sample) {
  const Millis most = meter->high() * 2 + LagMeter::kSurprise;
  meter->latest[meter->seen % LagMeter::kLatest] =
      static_cast<float>(Min(sample, most).count);
  ++meter->seen;
  const size_t n = std::min(meter->seen, LagMeter::kLatest);
  auto sorted = meter->latest;
  std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n));
  for (size_t i = 0; i < kLagShares.size(); ++i) {
    const double rank = std::ceil(kLagShares[i] * static_cast<double>(n)) - 1;
    const Millis bound(sorted[static_cast<size_t>(std::max(rank, 0.0))]);
    auto& held = meter->bounds[i];
    held = meter->seen < LagMeter::kFew ? Max(held, bound) : bound;
  }
}

}  // namespace hibiscuspick::engine
