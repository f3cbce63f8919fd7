// Histogram of recent latencies with logarithmic buckets, for quantiles.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::limits {

// Bucket bounds grow by a constant factor from 0.05 ms to about 11 s, so that
// quantiles are within 4 per cent. All counts are halved after every
// kDecayAfter samples, so that samples older than a few thousand have little
// weight. 640 bytes.
struct LatencySketch {
  static constexpr size_t kBuckets = 160;
  static constexpr float kDecayAfter = 2048;

  std::array<float, kBuckets> counts{};
  float total = 0;
};

void AddSample(LatencySketch* sketch, Millis latency);

// The latency below which the share `quantile` of the samples lies,
// interpolated within its bucket; 0 without samples.
Millis Quantile(const LatencySketch& sketch, double quantile);

// The share of the samples below `latency`, from 0 to 1; 1 without samples.
double ShareBelow(const LatencySketch& sketch, Millis latency);

}  // namespace hibiscuspick::limits
