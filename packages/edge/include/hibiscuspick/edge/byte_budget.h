// Limit on the bytes of messages between instances: a rate, and a burst for
// the start of an event.
#pragma once

#include <algorithm>
#include <cstddef>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::edge {

struct ByteBudget {
  double bytes_per_ms = 3;
  double burst = 60000;
  double left = burst;
  Millis filled_at = SteadyNow();
};

// Takes bytes from the budget; false if they exceed it.
inline bool TakeBytes(ByteBudget* budget, size_t bytes, Millis now) {
  const double filled = (now - budget->filled_at).count * budget->bytes_per_ms;
  budget->left = std::min(budget->left + filled, budget->burst);
  budget->filled_at = now;
  if (budget->left < static_cast<double>(bytes)) return false;
  budget->left -= static_cast<double>(bytes);
  return true;
}

}  // namespace hibiscuspick::edge
