// How much later than planned things happen: on an eighth of a core an answer
// that was due at 71 ms leaves at 73, and the caller counts it as late.
#pragma once

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Follows about the ninth of ten samples: rises by kUp of what a sample lies
// above it and falls by kDown of what one lies below.
struct LagMeter {
  static constexpr double kUp = 0.3;
  static constexpr double kDown = 0.03;
  Millis high;
};

inline void AddLag(LagMeter* meter, Millis sample) {
  const Millis away = sample - meter->high;
  meter->high += away * (away > Millis(0) ? LagMeter::kUp : LagMeter::kDown);
}

}  // namespace hibiscuspick::engine
