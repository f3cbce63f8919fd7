// How much later than planned things happen: on an eighth of a core an answer
// that was due at 71 ms leaves at 73, and the caller counts it as late.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// What all but one or two of the latest hundred samples stay below. An answer
// that leaves a little early lacks a part or two; a late one is worth a tenth.
//
// A sample counts for twice the meter and kSurprise at most. A process that
// stood still for a second is no sign that the next answer will be late by one:
// taken whole, one such hop left no time to queries for a hundred more, and all
// of them were refused though no server had anything to do.
struct LagMeter {
  static constexpr Millis kSurprise{10};
  static constexpr size_t kLatest = 96;
  // One of so many is left out.
  static constexpr size_t kLeftOutOf = 64;
  // Before so many it isn't below the first guess.
  static constexpr size_t kFew = 8;

  // The first guess, until there are samples.
  Millis high;
  std::array<float, kLatest> latest{};
  size_t seen = 0;
};

void AddLag(LagMeter* meter, Millis sample);

}  // namespace hibiscuspick::engine
