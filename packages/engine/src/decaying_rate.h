// A rate of events per second as an exponentially decaying average.
#pragma once

#include <cmath>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// The average at `now` if its last value was computed at `at`.
inline double DecayedRate(double per_second, Millis at, Millis now,
                          Millis time_constant) {
  const double elapsed = Max(now - at, Millis(0)).count;
  return per_second * std::exp(-elapsed / time_constant.count);
}

// Adds events to the average.
inline void AddToRate(double* per_second, Millis* at, double events, Millis now,
                      Millis time_constant) {
  *per_second = DecayedRate(*per_second, *at, now, time_constant) +
                events * 1000 / time_constant.count;
  *at = now;
}

}  // namespace hibiscuspick::engine
