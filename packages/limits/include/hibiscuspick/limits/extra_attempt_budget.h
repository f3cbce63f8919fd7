// Token bucket that bounds hedges and retries together.
#pragma once

#include <algorithm>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/limits/group_policy.h"

namespace hibiscuspick::limits {

// A token bucket refilled by first attempts. Without it, a slow or shedding
// group would receive a second and a third attempt for each first one, and the
// extra load would keep it slow after the cause is gone.
struct ExtraAttemptBudget {
  double tokens = 0;
  Millis refilled_at;
};

inline void RefillBudget(ExtraAttemptBudget* budget, const BudgetPolicy& policy,
                         Millis now) {
  const double seconds = (now - budget->refilled_at).count / 1000;
  budget->refilled_at = now;
  budget->tokens =
      std::min(policy.burst, budget->tokens + seconds * policy.per_second);
}

// Credits the budget for one first attempt.
inline void CreditFirstAttempt(ExtraAttemptBudget* budget,
                               const BudgetPolicy& policy) {
  budget->tokens =
      std::min(policy.burst, budget->tokens + policy.per_first_attempt);
}

// Takes a token for one extra attempt. Returns false if none is left.
inline bool TakeExtraAttempt(ExtraAttemptBudget* budget,
                             const BudgetPolicy& policy, Millis now) {
  RefillBudget(budget, policy, now);
  if (budget->tokens < 1) return false;
  budget->tokens -= 1;
  return true;
}

// Returns the token of an extra attempt that was not made.
inline void ReturnToken(ExtraAttemptBudget* budget,
                        const BudgetPolicy& policy) {
  budget->tokens = std::min(policy.burst, budget->tokens + 1);
}

}  // namespace hibiscuspick::limits
