#include "hibiscuspick/routing/reassign_budget.h"

#include <algorithm>

namespace hibiscuspick::routing {

void AddTokens(ReassignBudget* budget, size_t shards) {
  const double earned = budget->tokens_per_shard * static_cast<double>(shards);
  budget->tokens = std::min(budget->capacity, budget->tokens + earned);
}

bool TakeTokens(ReassignBudget* budget, size_t shards) {
  const auto cost = static_cast<double>(shards);
  if (budget->tokens < cost) return false;
  budget->tokens -= cost;
  return true;
}

}  // namespace hibiscuspick::routing
