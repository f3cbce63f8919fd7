// The budget of extra attempts (hedges and retries) of one service.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// What all instances together may add: in any window, `ratio` of the requests
// for the service and `slack` more. The ratio needs no agreement, since each
// instance counts its own requests; the slack is shared evenly.
struct ExtraLimits {
  double ratio = 0.2;
  Millis window{10000};
  // This instance's share of the slack.
  double slack = 0;
};

// Requests and extra attempts of the last window, in slices. A token bucket
// would let a full bucket and a window's income be spent in one window; the
// rule looks at any span of that length, so the counts do too.
struct ExtraBudget {
  static constexpr size_t kSlices = 20;
  struct Slice {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t extras = 0;
  };
  std::array<Slice, kSlices + 1> slices;
};

// The share of the budget that is kept for second attempts without which a
// query fails; those that only make an answer more complete get what is beyond
// it. While no more than that is left a failure may stay unpaid, so that
// failing servers are dearer.
inline constexpr double kKeptForNeed = 0.4;

// Notes a request for the service.
void CountRequest(ExtraBudget* budget, const ExtraLimits& limits, Millis now);

// Whether one more extra attempt fits into the window that ends now, with the
// share `reserve` of what is allowed left for those who need it more.
bool HasExtra(const ExtraBudget& budget, const ExtraLimits& limits, Millis now,
              double reserve = 0);

// Takes one extra attempt if it fits; false if it doesn't.
bool TakeExtra(ExtraBudget* budget, const ExtraLimits& limits, Millis now);

}  // namespace hibiscuspick::engine
