// Builds the answer of a query.
#include <algorithm>
#include <map>
#include <utility>

#include "query_internal.h"

namespace hibiscuspick::routing {
namespace {

// Retry-after time of transient refusals.
constexpr Millis kTransientRetryAfter{1000};

// `is_early`: the query answers before its deadline.
Code FailureOf(const ShardState& shard, bool is_early) {
  if (shard.requests > 0) {
    return is_early ? Code::kNotWaitedFor : Code::kDeadlineExceeded;
  }
  return shard.failure == Code::kOk ? Code::kNoServer : shard.failure;
}

// The code of an answer without any shard: the most frequent code of its
// shards; of equally frequent ones the lowest.
Code MostFrequentFailure(const std::vector<MissingShard>& missing) {
  std::map<Code, size_t> counts;
  for (const auto& it : missing) ++counts[it.code];
  const auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most == counts.end()) return Code::kNoSnapshot;
  return most->first == Code::kVersionNotHeld ? Code::kSnapshotGone
                                              : most->first;
}

bool IsTransient(Code code) {
  switch (code) {
    case Code::kQueueFull:
    case Code::kDeadlineUnreachable:
    case Code::kShed:
    case Code::kNoServer:
    case Code::kNotReady:
    case Code::kLeaving:
    case Code::kOwnerUnreachable:
      return true;
    default:
      return false;
  }
}

// Whether an attempt may have been sent. A part run here that has not reported
// yet may have sent one.
bool MayHaveRun(const QueryState& state) {
  if (state.may_have_run) return true;
  return std::any_of(state.parts.begin(), state.parts.end(),
                     [](const auto& it) { return !it.second.pending.empty(); });
}

uint64_t UnreportedAttempts(const QueryState& state) {
  uint64_t n = 0;
  for (const auto& [id, part] : state.parts) n += part.pending.size();
  return n;
}

void DescribePlan(const QueryState& state, Millis now, Answer* answer) {
  if (!state.plan) return;
  const bool is_early = now < state.finish_by;
  answer->snapshot_id = state.plan->snapshot_id;
  answer->version = state.plan->version;
  answer->shards_total = state.plan->shards.size();
  answer->documents_total = state.plan->documents_total;
  answer->shards_answered = state.shards_answered;
  answer->documents_covered = state.documents_covered;
  answer->coverage =
      CoverageOf(*state.plan, state.documents_covered, state.shards_answered);
  for (size_t i = 0; i < state.shards.size(); ++i) {
    if (state.shards[i].answered) continue;
    answer->missing.push_back({state.plan->shards[i].work.shard,
                               FailureOf(state.shards[i], is_early)});
  }
}

void Finalize(StepContext* context, Answer answer) {
  QueryState* state = context->state;
  answer.ran = MayHaveRun(*state) ? Ran::kMaybe : Ran::kNo;
  answer.attempts = state->attempts + UnreportedAttempts(*state);
  answer.restarts = state->generation;
  answer.parts_reassigned = state->parts_reassigned;
  answer.elapsed = context->now - state->started;
  if (IsTransient(answer.code)) answer.retry_after = kTransientRetryAfter;
  state->finished = true;
  CancelAll(context);
  context->actions.push_back(Finish{std::move(answer)});
}

}  // namespace

double CoverageOf(const Plan& plan, uint64_t documents, uint64_t shards) {
  if (plan.documents_total > 0) {
    return static_cast<double>(documents) /
           static_cast<double>(plan.documents_total);
  }
  if (plan.shards.empty()) return 0;
  return static_cast<double>(shards) / static_cast<double>(plan.shards.size());
}

void FinishNow(StepContext* context) {
  QueryState* state = context->state;
  Answer answer;
  DescribePlan(*state, context->now, &answer);
  if (state->shards_answered == 0) {
    answer.code = MostFrequentFailure(answer.missing);
  }
  answer.hits = MergeHits(std::move(state->hits), state->request.limit);
  Finalize(context, std::move(answer));
}

void FinishWith(StepContext* context, Code code) {
  Answer answer;
  answer.code = code;
  Finalize(context, std::move(answer));
}

}  // namespace hibiscuspick::routing
