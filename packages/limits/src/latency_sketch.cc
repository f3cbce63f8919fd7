#include "hibiscuspick/limits/latency_sketch.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace hibiscuspick::limits {
namespace {

constexpr double kMinLatencyMs = 0.05;
constexpr double kBucketGrowth = 1.08;

size_t BucketOf(Millis latency) {
  if (latency.count <= kMinLatencyMs) return 0;
  const double n =
      std::log(latency.count / kMinLatencyMs) / std::log(kBucketGrowth);
  return std::min(static_cast<size_t>(n), LatencySketch::kBuckets - 1);
}

void Halve(LatencySketch* sketch) {
  for (float& it : sketch->counts) it /= 2;
  sketch->total /= 2;
}

}  // namespace

void AddSample(LatencySketch* sketch, Millis latency) {
  if (sketch->total >= LatencySketch::kDecayAfter) Halve(sketch);
  sketch->counts[BucketOf(latency)] += 1;
  sketch->total += 1;
}

Millis Quantile(const LatencySketch& sketch, double quantile) {
  if (sketch.total <= 0) return Millis(0);
  const double target = quantile * static_cast<double>(sketch.total);
  double cumulative = 0;
  for (size_t i = 0; i < LatencySketch::kBuckets; ++i) {
    const double n = static_cast<double>(sketch.counts[i]);
    if (n > 0 && cumulative + n >= target) {
      const double share = (target - cumulative) / n;
      return Millis(kMinLatencyMs *
                    std::pow(kBucketGrowth, static_cast<double>(i) + share));
    }
    cumulative += n;
  }
  return Millis(kMinLatencyMs *
                std::pow(kBucketGrowth, LatencySketch::kBuckets));
}

double ShareBelow(const LatencySketch& sketch, Millis latency) {
  if (sketch.total <= 0) return 1;
  const auto end =
      sketch.counts.begin() + static_cast<std::ptrdiff_t>(BucketOf(latency));
  const double below = std::accumulate(sketch.counts.begin(), end, 0.0);
  return below / static_cast<double>(sketch.total);
}

}  // namespace hibiscuspick::limits
