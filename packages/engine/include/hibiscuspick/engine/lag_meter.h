// How much later than planned things happen: on an eighth of a core an answer
// that was due at 71 ms leaves at 73, and the caller counts it as late.
#pragma once

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Follows about the ninth of ten samples: rises by kUp of what a sample lies
// above it and falls by kDown of what one lies below.
//
// A sample counts for twice the meter and kSurprise at most. A process that
// stood still for a second is no sign that the next answer will be late by one:
// taken whole, one such hop left no time to queries for a hundred more, and all
// of them were refused though no server had anything to do.
struct LagMeter {
  static constexpr double kUp = 0.3;
  static constexpr double kDown = 0.03;
  static constexpr Millis kSurprise{10};
  Millis high;
};

inline void AddLag(LagMeter* meter, Millis sample) {
  const Millis most = meter->high * 2 + LagMeter::kSurprise;
  const Millis away = Min(sample, most) - meter->high;
  meter->high += away * (away > Millis(0) ? LagMeter::kUp : LagMeter::kDown);
}

}  // namespace hibiscuspick::engine
