#include "hibiscuspick/platform/call_budget.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace hibiscuspick::platform {
namespace {

// The budget of one Calls object with its mutex and clock.
struct SharedBudget {
  std::mutex mutex;
  CallBudget budget;
  std::function<Millis()> clock;

  bool Take() {
    const std::lock_guard lock(mutex);
    return TakeCall(&budget, clock());
  }
};

// Wraps a call so that it takes a token first.
template <class R, class... Args>
std::function<Result<R>(Args...)> LimitCall(
    const std::shared_ptr<SharedBudget>& gate,
    std::function<Result<R>(Args...)> call) {
  return [gate, call = std::move(call)](Args... args) -> Result<R> {
    if (gate->Take()) return call(std::forward<Args>(args)...);
    return Error{Code::kPlatformUnavailable, "",
                 "this instance's call budget is used up"};
  };
}

}  // namespace

CallBudget MakeCallBudget(double per_second, double burst, Millis now) {
  return {per_second, burst, burst, now};
}

bool TakeCall(CallBudget* budget, Millis now) {
  constexpr double kMillisPerSecond = 1000;
  if (now > budget->filled_at) {
    const double seconds = (now - budget->filled_at).count / kMillisPerSecond;
    budget->tokens =
        std::min(budget->burst, budget->tokens + seconds * budget->per_second);
    budget->filled_at = now;
  }
  if (budget->tokens < 1) return false;
  budget->tokens -= 1;
  return true;
}

Millis BackoffAfter(int failures, BackoffLimits limits, Random* random) {
  // The bound is reached earlier; a larger exponent could only overflow.
  constexpr int kMaxDoublings = 30;
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  const Millis bound = Min(limits.most, limits.least * std::exp2(doublings));
  return bound * random->Fraction();
}

Calls LimitCalls(Calls calls, CallBudget budget,
                 std::function<Millis()> clock) {
  auto gate = std::make_shared<SharedBudget>();
  gate->budget = budget;
  gate->clock = std::move(clock);
  calls.get = LimitCall(gate, std::move(calls.get));
  calls.list = LimitCall(gate, std::move(calls.list));
  calls.watch = LimitCall(gate, std::move(calls.watch));
  calls.put = LimitCall(gate, std::move(calls.put));
  calls.instances = LimitCall(gate, std::move(calls.instances));
  return calls;
}

}  // namespace hibiscuspick::platform
