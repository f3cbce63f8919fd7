// Measures how much later than scheduled events happen. On an eighth of a core
// an answer that is due at 71 ms leaves at 73 ms, and the caller counts it as
// late.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// The quantiles of the recent samples that a meter computes.
inline constexpr std::array kLagQuantiles = {0.5, 0.8, 0.9, 0.95, 0.98};
using LagBounds = std::array<Millis, kLagQuantiles.size()>;

// The 90th percentile, used as a margin where being late costs little.
inline Millis TypicalLag(const LagBounds& bounds) { return bounds[2]; }

// Quantiles of the last kWindowSize samples.
//
// A sample is capped at twice the highest quantile plus kOutlierMargin. A
// process that was stopped for a second doesn't mean that the next answer will
// be a second late: counted in full, one such hop left no time for the next
// hundred queries, and all of them were refused while the servers were idle.
struct LagMeter {
  static constexpr Millis kOutlierMargin{10};
  static constexpr size_t kWindowSize = 96;
  // With fewer samples than this no quantile falls below its initial value.
  static constexpr size_t kMinSamples = 8;

  LagMeter() = default;
  // Starts with an estimate that is used until there are samples.
  explicit LagMeter(Millis initial) { bounds.fill(initial); }

  // The 98th percentile.
  Millis high() const { return bounds.back(); }
  Millis typical() const { return TypicalLag(bounds); }

  LagBounds bounds{};
  std::array<float, kWindowSize> samples{};
  size_t sample_count = 0;
};

void AddLag(LagMeter* meter, Millis sample);

}  // namespace hibiscuspick::engine
