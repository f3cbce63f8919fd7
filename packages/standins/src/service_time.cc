#include "hibiscuspick/standins/service_time.h"

#include <cmath>
#include <numbers>

namespace hibiscuspick::standins {
namespace {

// A draw with mean 1.
double DrawUnit(const ServiceTime& it, Random& random) {
  switch (it.distribution) {
    case Distribution::kFixed:
      return 1;
    case Distribution::kExponential:
      return -std::log(1 - random.Fraction());
    case Distribution::kLognormal: {
      // Box and Muller's transform of two even draws to a normal one.
      const double radius = std::sqrt(-2 * std::log(1 - random.Fraction()));
      const double angle = 2 * std::numbers::pi * random.Fraction();
      const double normal = radius * std::cos(angle);
      return std::exp(it.sigma * normal - it.sigma * it.sigma / 2);
    }
  }
  return 1;
}

double ColdFactor(const ServiceTime& it, Millis age) {
  if (age >= it.cold_span) return 1;
  const double left = 1 - age.count / it.cold_span.count;
  return 1 + (it.cold_factor - 1) * left;
}

}  // namespace

Millis DrawServiceTime(const ServiceTime& it, Millis age, Random& random) {
  double factor = it.slow_factor * ColdFactor(it, age);
  if (random.Fraction() < it.straggler_probability) {
    factor *= it.straggler_factor;
  }
  return it.mean * (factor * DrawUnit(it, random));
}

}  // namespace hibiscuspick::standins
