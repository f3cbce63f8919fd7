// How often this instance may call the platform, and how long it rests after a
// failure. Pure.
//
// The platform's rates grow more slowly than the fleet. Without a bound of its
// own each instance that finds it slow or newly back would add its retries, and
// all together would keep it down.
#pragma once

#include <functional>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/platform/calls.h"

namespace hibiscuspick::platform {

// A token bucket: `per_second` calls for ever, `burst` after a quiet time.
struct CallBudget {
  double per_second = 50;
  double burst = 100;
  double tokens = 100;
  Millis filled_at;
};

CallBudget MakeCallBudget(double per_second, double burst, Millis now);

// Takes one call, false if there is none left. A clock that stands still or
// goes back adds nothing.
bool TakeCall(CallBudget* budget, Millis now);

struct BackoffLimits {
  Millis least{100};
  Millis most{5000};
};

// The rest after `failures` failures in a row (1 or more): between nothing and
// a bound that doubles, so that instances that failed together come back
// apart.
Millis BackoffAfter(int failures, BackoffLimits limits, Random* random);

// The same calls, refused with kPlatformUnavailable once the budget is used
// up. Safe from any thread.
Calls LimitCalls(Calls calls, CallBudget budget,
                 std::function<Millis()> clock = SteadyNow);

}  // namespace hibiscuspick::platform
