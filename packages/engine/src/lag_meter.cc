#include "hibiscuspick/engine/lag_meter.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::engine {

void AddLag(LagMeter* meter, Millis sample) {
  const Millis max_counted = meter->high() * 2 + LagMeter::kOutlierMargin;
  meter->samples[meter->sample_count % LagMeter::kWindowSize] =
      static_cast<float>(Min(sample, max_counted).count);
  ++meter->sample_count;
  const size_t n = std::min(meter->sample_count, LagMeter::kWindowSize);
  auto sorted = meter->samples;
  std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n));
  for (size_t i = 0; i < kLagQuantiles.size(); ++i) {
    const double rank =
        std::ceil(kLagQuantiles[i] * static_cast<double>(n)) - 1;
    const Millis bound(sorted[static_cast<size_t>(std::max(rank, 0.0))]);
    auto& current = meter->bounds[i];
    current = meter->sample_count < LagMeter::kMinSamples ? Max(current, bound)
                                                          : bound;
  }
}

}  // namespace hibiscuspick::engine
