// What the files of the query's machine share among themselves.
#pragma once

#include <memory>
#include <vector>

#include "hibiscuspick/routing/query.h"

namespace hibiscuspick::routing {

// One Step under way.
struct StepContext {
  QueryState* state;
  const QueryWorld& world;
  Millis now;
  std::vector<Action> actions;
};

// Pins the plan, forgetting everything of an earlier one, and asks for all of
// its shards.
void Pin(StepContext* context, std::shared_ptr<const Plan> plan);

// Asks for the shards, one part for each instance that is next in line for any
// of them. Gives the number of parts; shards that have been asked for
// everywhere stay as they are.
size_t AskShards(StepContext* context, const std::vector<size_t>& shards);

// Cancels the parts in which nothing is wanted any more, or all of them.
void CancelUnwanted(StepContext* context);
void CancelAll(StepContext* context);

// Ends the query with what there is.
void FinishNow(StepContext* context);
void FinishWith(StepContext* context, Code code);

// The share, 0 to 1, of the plan's documents.
double ShareOf(const Plan& plan, uint64_t documents, uint64_t shards);

}  // namespace hibiscuspick::routing
