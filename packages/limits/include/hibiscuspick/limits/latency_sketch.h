// Recent latencies in a fixed number of buckets, for quantiles.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::limits {

// Buckets grow by a constant factor from 0.05 ms to about 11 s, so that a
// quantile is right to 4 per cent. Every kDecayAfter samples all counts are
// halved: what is older than a few thousand samples has faded. 640 bytes.
struct LatencySketch {
  static constexpr size_t kBuckets = 160;
  static constexpr float kDecayAfter = 2048;

  std::array<float, kBuckets> counts{};
  float total = 0;
};

void AddSample(LatencySketch* sketch, Millis latency);

// The latency below which the share `quantile` of the samples lies; 0 without
// samples.
Millis Quantile(const LatencySketch& sketch, double quantile);

// The share of the samples that lie below `latency`; 1 without samples.
double ShareBelow(const LatencySketch& sketch, Millis latency);

}  // namespace hibiscuspick::limits
