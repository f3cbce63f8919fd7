// How long an attempt's work takes: drawn from a distribution, with
// stragglers and a cold start.
#pragma once

#include <string_view>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"

namespace hibiscuspick::standins {

enum class Distribution { kFixed, kExponential, kLognormal };

struct ServiceTime {
  Distribution distribution = Distribution::kExponential;
  Millis mean{5};
  // Of the logarithm; only for kLognormal.
  double sigma = 0.5;
  // An attempt in so many is a straggler and takes so many times longer.
  double straggler_probability = 0;
  double straggler_factor = 15;
  // All work takes so many times longer, as on a server that shares its
  // machine.
  double slow_factor = 1;
  // The factor just after a start, falling evenly to 1 over `cold_span`.
  double cold_factor = 1;
  Millis cold_span{0};
};

// One attempt's time, `age` after the server's start.
Millis DrawServiceTime(const ServiceTime& it, Millis age, Random& random);

}  // namespace hibiscuspick::standins
