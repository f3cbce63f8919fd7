// The budget of extra attempts (hedges and retries) of one service.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// In any window, all instances together may add `ratio` of the requests for the
// service, plus `slack`, extra attempts. The ratio needs no coordination, since
// each instance counts its own requests; the slack is divided among the
// instances.
struct ExtraAttemptLimits {
  double ratio = 0.2;
  Millis window{10000};
  // This instance's share of the slack.
  double slack = 0;
};

// Sliding window of requests and extra attempts, counted in slices. A token
// bucket would allow a full bucket and a window's refill to be spent in one
// window, whereas the limit holds for any window.
struct ExtraAttemptBudget {
  static constexpr size_t kSlices = 20;
  struct Slice {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t extra_attempts = 0;
  };
  std::array<Slice, kSlices + 1> slices;
};

// The share of the budget that is reserved for second attempts that decide
// whether a query succeeds. Second attempts that only make an answer more
// complete use what exceeds it. While no more than the reserve is left, a
// failed attempt may get no retry, so that failing servers are given a higher
// cost.
inline constexpr double kUrgentReserve = 0.4;

// Counts a request for the service.
void CountRequest(ExtraAttemptBudget* budget, const ExtraAttemptLimits& limits,
                  Millis now);

// Whether the window that ends now has room for one more extra attempt while
// the share `reserve` of the allowed number stays free for more urgent ones.
bool HasExtraAttempt(const ExtraAttemptBudget& budget,
                     const ExtraAttemptLimits& limits, Millis now,
                     double reserve = 0);

// Takes one extra attempt from the budget. Returns false if there is no room.
bool TakeExtraAttempt(ExtraAttemptBudget* budget,
                      const ExtraAttemptLimits& limits, Millis now);

}  // namespace hibiscuspick::engine
