// How much later than planned things happen: on an eighth of a core an answer
// that was due at 71 ms leaves at 73, and the caller counts it as late.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// The shares of the latest samples whose bounds a meter gives.
inline constexpr std::array kLagShares = {0.5, 0.8, 0.9, 0.95, 0.98};
using LagBounds = std::array<Millis, kLagShares.size()>;

// What most samples stay below: a margin where being late costs little.
inline Millis UsualLag(const LagBounds& bounds) { return bounds[2]; }

// The bounds of the latest hundred samples.
//
// A sample counts for twice the highest and kSurprise at most. A process that
// stood still for a second is no sign that the next answer will be late by one:
// taken whole, one such hop left no time to queries for a hundred more, and all
// of them were refused though no server had anything to do.
struct LagMeter {
  static constexpr Millis kSurprise{10};
  static constexpr size_t kLatest = 96;
  // Before so many none is below the first guess.
  static constexpr size_t kFew = 8;

  LagMeter() = default;
  // With a first guess, until there are samples.
  explicit LagMeter(Millis guess) { bounds.fill(guess); }

  // What nearly all samples stay below.
  Millis high() const { return bounds.back(); }
  Millis usual() const { return UsualLag(bounds); }

  LagBounds bounds{};
  std::array<float, kLatest> latest{};
  size_t seen = 0;
};

void AddLag(LagMeter* meter, Millis sample);

}  // namespace hibiscuspick::engine
