// The one budget for hedges and retries.
#pragma once

#include <algorithm>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/limits/group_policy.h"

namespace hibiscuspick::limits {

// A token bucket filled by first attempts. Without it a slow or shedding group
// would get a second and third attempt for each first one, and the extra load
// would keep it slow after the cause is gone.
struct AttemptBudget {
  double tokens = 0;
  Millis filled_at;
};

inline void FillBudget(AttemptBudget* budget, const BudgetPolicy& policy,
                       Millis now) {
  const double seconds = (now - budget->filled_at).count / 1000;
  budget->filled_at = now;
  budget->tokens =
      std::min(policy.burst, budget->tokens + seconds * policy.per_second);
}

// Called for each first attempt.
inline void EarnBudget(AttemptBudget* budget, const BudgetPolicy& policy) {
  budget->tokens = std::min(policy.burst, budget->tokens + policy.share);
}

// Takes one extra attempt; false if there is none left.
inline bool TakeBudget(AttemptBudget* budget, const BudgetPolicy& policy,
                       Millis now) {
  FillBudget(budget, policy, now);
  if (budget->tokens < 1) return false;
  budget->tokens -= 1;
  return true;
}

// Gives back an extra attempt that was not made.
inline void ReturnBudget(AttemptBudget* budget, const BudgetPolicy& policy) {
  budget->tokens = std::min(policy.burst, budget->tokens + 1);
}

}  // namespace hibiscuspick::limits
