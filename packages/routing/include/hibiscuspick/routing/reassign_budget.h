// Token bucket that bounds the shards reassigned to another instance because
// the first one timed out.
#pragma once

#include <cstddef>

namespace hibiscuspick::routing {

// Credits a fraction of a token for each shard requested and charges one token
// for each shard reassigned. Under overload every owner is slow; without the
// bound each timeout would double the load, and latency would stay high after
// the traffic has fallen.
struct ReassignBudget {
  double tokens_per_shard = 0.1;
  // Capacity, and the initial number of tokens: enough for the loss of an owner
  // of many shards soon after the start.
  double capacity = 2000;
  double tokens = 2000;
};

void AddTokens(ReassignBudget* budget, size_t shards);

// Takes one token per shard. Returns false and takes none if there are too few.
bool TakeTokens(ReassignBudget* budget, size_t shards);

}  // namespace hibiscuspick::routing
