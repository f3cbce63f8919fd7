// A small seeded generator, so that a decision that needs chance repeats
// exactly from its seed. Not for secrets.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hibiscuspick {

// The splitmix64 sequence: 8 bytes of state, any seed is good.
struct Random {
  uint64_t state = 1;

  explicit Random(uint64_t seed) : state(seed) {}

  uint64_t Next() {
    state += 0x9e3779b97f4a7c15ULL;
    uint64_t n = state;
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31);
  }

  // A number below `bound`, 0 if the bound is 0. The bias of the plain
  // remainder is below 2^-40 for the small bounds used here.
  size_t Below(size_t bound) {
    return bound == 0 ? 0 : static_cast<size_t>(Next() % bound);
  }

  // A fraction in [0, 1).
  double Fraction() {
    constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
    return static_cast<double>(Next() >> 11) * kTwoToMinus53;
  }
};

}  // namespace hibiscuspick
