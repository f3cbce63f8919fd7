#include "hibiscuspick/base/millis.h"

namespace hibiscuspick {
namespace {

template <class Clock>
Millis Read() {
  const auto span = Clock::now().time_since_epoch();
  return Millis(std::chrono::duration<double, std::milli>(span).count());
}

}  // namespace

Millis SteadyNow() { return Read<std::chrono::steady_clock>(); }

Millis WallNow() { return Read<std::chrono::system_clock>(); }

}  // namespace hibiscuspick
