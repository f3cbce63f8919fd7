// The one clock type: milliseconds, as a span or as an instant since a start
// that the clock in use defines. Decisions take instants as arguments and
// never read a clock, so that tests drive them with virtual time.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace hibiscuspick {

// A span or an instant in milliseconds, with fractions.
struct Millis {
  double count = 0;

  constexpr Millis() = default;
  explicit constexpr Millis(double value) : count(value) {}
  constexpr auto operator<=>(const Millis&) const = default;

  constexpr Millis& operator+=(Millis it) {
    count += it.count;
    return *this;
  }
  // The nearest whole microseconds, for calls of the C++ library.
  constexpr std::chrono::microseconds ToMicros() const {
    return std::chrono::microseconds(static_cast<int64_t>(count * 1000));
  }
};

constexpr Millis operator+(Millis a, Millis b) {
  return Millis(a.count + b.count);
}
constexpr Millis operator-(Millis a, Millis b) {
  return Millis(a.count - b.count);
}
constexpr Millis operator*(Millis a, double n) { return Millis(a.count * n); }

constexpr Millis Min(Millis a, Millis b) { return a < b ? a : b; }
constexpr Millis Max(Millis a, Millis b) { return a < b ? b : a; }

// An instant later than all others: "never".
inline constexpr Millis kNever{1e18};

// Milliseconds since this process's clock started: never goes back.
Millis SteadyNow();

// Milliseconds since 1970 by the machine's clock, which may be set back. Only
// for what people read and for ages between machines.
Millis WallNow();

}  // namespace hibiscuspick
