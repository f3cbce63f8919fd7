#include "hibiscuspick/routing/ask_budget.h"

#include <algorithm>

namespace hibiscuspick::routing {

void Earn(AskBudget* budget, size_t shards) {
  const double earned = budget->share * static_cast<double>(shards);
  budget->left = std::min(budget->most, budget->left + earned);
}

bool Spend(AskBudget* budget, size_t shards) {
  const auto price = static_cast<double>(shards);
  if (budget->left < price) return false;
  budget->left -= price;
  return true;
}

}  // namespace hibiscuspick::routing
