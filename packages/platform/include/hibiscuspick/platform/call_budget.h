// Limits this instance's call rate to the platform, and its backoff after
// failures. Pure functions, except for LimitCalls.
//
// The platform's capacity grows more slowly than the number of instances.
// Without a limit, the retries of all instances would keep a slow or recovering
// platform overloaded.
#pragma once

#include <functional>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/platform/calls.h"

namespace hibiscuspick::platform {

// A token bucket: `per_second` calls on average, `burst` after an idle time.
struct CallBudget {
  double per_second = 50;
  double burst = 100;
  double tokens = 100;
  Millis filled_at;
};

CallBudget MakeCallBudget(double per_second, double burst, Millis now);

// Takes a token; returns false if there is none. A clock that stands still or
// goes back adds no tokens.
bool TakeCall(CallBudget* budget, Millis now);

struct BackoffLimits {
  Millis least{100};
  Millis most{5000};
};

// Returns the backoff after `failures` (at least 1) failures in a row: random
// between zero and a bound that doubles with each failure (full jitter), so
// that instances that failed together do not retry together.
Millis BackoffAfter(int failures, BackoffLimits limits, Random* random);

// Wraps `calls` to return kPlatformUnavailable once the budget is exhausted.
// Thread-safe.
Calls LimitCalls(Calls calls, CallBudget budget,
                 std::function<Millis()> clock = SteadyNow);

}  // namespace hibiscuspick::platform
