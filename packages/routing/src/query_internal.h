// Functions shared by the source files of query.h.
#pragma once

#include <memory>
#include <vector>

#include "hibiscuspick/routing/query.h"

namespace hibiscuspick::routing {

// Context of one call of Step.
struct StepContext {
  QueryState* state;
  const QueryEnvironment& environment;
  Millis now;
  std::vector<Action> actions;
};

// Pins the plan, discards the results of an earlier one and requests all of its
// shards.
void Pin(StepContext* context, std::shared_ptr<const Plan> plan);

// Requests the shards, in one part for each instance that is the next candidate
// of any of them. Returns the number of parts. Shards without another candidate
// are left as they are.
size_t RequestShards(StepContext* context, const std::vector<size_t>& shards);

// Cancels the parts none of whose shards is still needed, or all parts.
void CancelUnneeded(StepContext* context);
void CancelAll(StepContext* context);

// Finishes the query with the results so far, or with a failure code.
void FinishNow(StepContext* context);
void FinishWith(StepContext* context, Code code);

// The share of the plan's documents, 0 to 1; of its shards if the plan has no
// document counts.
double CoverageOf(const Plan& plan, uint64_t documents, uint64_t shards);

}  // namespace hibiscuspick::routing
