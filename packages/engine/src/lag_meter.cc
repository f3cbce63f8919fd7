#include "hibiscuspick/engine/lag_meter.h"

#include <algorithm>
#include <functional>

namespace hibiscuspick::engine {

void AddLag(LagMeter* meter, Millis sample) {
  const Millis most = meter->high * 2 + LagMeter::kSurprise;
  meter->latest[meter->seen % LagMeter::kLatest] =
      static_cast<float>(Min(sample, most).count);
  ++meter->seen;
  const size_t n = std::min(meter->seen, LagMeter::kLatest);
  auto samples = meter->latest;
  const auto left_out = static_cast<std::ptrdiff_t>(n / LagMeter::kLeftOutOf);
  const auto end = samples.begin() + static_cast<std::ptrdiff_t>(n);
  std::nth_element(samples.begin(), samples.begin() + left_out, end,
                   std::greater<>());
  const Millis high(samples[static_cast<size_t>(left_out)]);
  meter->high = meter->seen < LagMeter::kFew ? Max(meter->high, high) : high;
}

}  // namespace hibiscuspick::engine
