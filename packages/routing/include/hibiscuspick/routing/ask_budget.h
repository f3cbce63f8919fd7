// The bound on asking again elsewhere because an owner was silent.
#pragma once

#include <cstddef>

namespace hibiscuspick::routing {

// Earns a fraction of a shard for each shard asked the first time and pays a
// whole one for each asked again. Under overload every owner is slow; without
// the bound each silence would double the load just then, which one would
// notice as latency that does not come down when traffic does.
struct AskBudget {
  double share = 0.1;
  // Also what a fresh instance starts with: enough for a lost owner of many
  // shards before the first earnings.
  double most = 2000;
  double left = 2000;
};

void Earn(AskBudget* budget, size_t shards);

// Takes the whole price or nothing.
bool Spend(AskBudget* budget, size_t shards);

}  // namespace hibiscuspick::routing
