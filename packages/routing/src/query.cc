#include "hibiscuspick/routing/query.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "query_internal.h"

namespace hibiscuspick::routing {
namespace {

// Failures of the instance rather than of the shard's servers, which another
// instance may avoid. All others have been retried by the instance itself.
// Refusals for lack of capacity must not be retried elsewhere, since all
// instances share the same backend servers.
bool IsRetryableElsewhere(Code code) {
  switch (code) {
    case Code::kNotReady:
    case Code::kLeaving:
    case Code::kNoServer:
    case Code::kConnectFailed:
    case Code::kOwnerUnreachable:
    case Code::kPeerRefused:
    case Code::kPeerVersion:
    case Code::kPeerUnreachable:
      return true;
    default:
      return false;
  }
}

// Hits kept while a query runs, as a multiple of its limit.
constexpr size_t kHitsKeptFactor = 8;

bool IsDone(const ShardState& shard) {
  return shard.answered || shard.requests == 0;
}

bool AreAllDone(const QueryState& state) {
  return std::all_of(state.shards.begin(), state.shards.end(), IsDone);
}

void HandleAnswer(StepContext* context, size_t index,
                  limits::ShardOutcome* outcome) {
  QueryState* state = context->state;
  const PlannedShard& planned = state->plan->shards[index];
  state->shards[index].answered = true;
  ++state->shards_answered;
  // The manifest's count, not the server's: the denominator is the sum of the
  // same counts, so coverage can't exceed 1.
  state->documents_covered += planned.documents;
  for (auto& it : outcome->hits) {
    state->hits.push_back({std::move(it), planned.work.shard});
  }
  // Hits ranked below `limit` others are pruned. Keeping them would cost a
  // query over many shards the memory of thousands of hits.
  if (state->hits.size() > kHitsKeptFactor * state->request.limit) {
    state->hits = MergeHits(std::move(state->hits), state->request.limit);
  }
  context->actions.push_back(
      VersionObserved{planned.work.shard, state->plan->version, true, {}});
}

void HandleFailure(StepContext* context, size_t index,
                   const limits::ShardOutcome& outcome) {
  QueryState* state = context->state;
  state->shards[index].failure = outcome.code;
  if (outcome.code != Code::kVersionNotHeld) return;
  RecordRefusal(&state->held, outcome.shard, state->plan->version, outcome.held,
                context->now);
  context->actions.push_back(VersionObserved{
      outcome.shard, state->plan->version, false, outcome.held});
}

// Finds the shard among those the part still waits for. Returns nullopt for a
// shard that was not requested in this part or has been reported already; its
// outcome is dropped.
std::optional<size_t> FindPending(const QueryState& state,
                                  const PartState& part, const ShardId& shard) {
  const auto& shards = state.plan->shards;
  for (size_t n = 0; n < part.pending.size(); ++n) {
    if (shards[part.pending[n]].work.shard == shard) return n;
  }
  return std::nullopt;
}

// Handles one outcome of a part of the pinned plan. Returns the shard's index
// if it should be requested from another instance.
std::optional<size_t> HandleOutcome(StepContext* context, PartState* part,
                                    limits::ShardOutcome* outcome) {
  QueryState* state = context->state;
  const auto position = FindPending(*state, *part, outcome->shard);
  if (!position) return std::nullopt;
  const size_t index = part->pending[*position];
  part->pending.erase(part->pending.begin() +
                      static_cast<std::ptrdiff_t>(*position));
  state->attempts += outcome->attempts;
  if (outcome->ran == Ran::kMaybe) state->may_have_run = true;
  ShardState* shard = &state->shards[index];
  --shard->requests;
  if (shard->answered) return std::nullopt;
  if (outcome->code == Code::kOk && !AreHitsValid(outcome->hits)) {
    outcome->code = Code::kBadReply;
  }
  if (outcome->code == Code::kOk) {
    HandleAnswer(context, index, outcome);
    return std::nullopt;
  }
  HandleFailure(context, index, *outcome);
  if (shard->requests > 0 || !IsRetryableElsewhere(outcome->code)) {
    return std::nullopt;
  }
  return index;
}

// Handles outcomes of a superseded plan: only their attempts are counted,
// nothing enters the answer.
void CountSuperseded(StepContext* context, PartState* part,
                     const std::vector<limits::ShardOutcome>& outcomes) {
  // The indexes refer to the earlier plan, which is gone, so each outcome just
  // removes one of the pending shards.
  for (const auto& it : outcomes) {
    if (part->pending.empty()) return;
    part->pending.pop_back();
    context->state->attempts += it.attempts;
  }
}

// The coverage that can still be reached with the pinned plan.
double ReachableCoverage(const QueryState& state) {
  uint64_t documents = 0;
  uint64_t shards = 0;
  for (size_t i = 0; i < state.shards.size(); ++i) {
    const ShardState& it = state.shards[i];
    if (IsDone(it) && !it.answered) continue;
    documents += state.plan->shards[i].documents;
    ++shards;
  }
  return CoverageOf(*state.plan, documents, shards);
}

bool HasVersionNotHeld(const QueryState& state) {
  return std::any_of(state.shards.begin(), state.shards.end(),
                     [](const ShardState& it) {
                       return IsDone(it) && !it.answered &&
                              it.failure == Code::kVersionNotHeld;
                     });
}

// Restarts the query on another manifest if the pinned one is no longer held
// widely enough and the other has a higher expected coverage. Results of the
// two are never mixed, since a document could then appear twice or not at all.
bool RestartIfBetter(StepContext* context) {
  QueryState* state = context->state;
  const RouteValues& values = state->request.values;
  if (state->generation >= values.max_restarts) return false;
  if (state->finish_by - context->now < values.min_restart_time) return false;
  if (!HasVersionNotHeld(*state)) return false;
  const double reachable = ReachableCoverage(*state);
  const bool is_sufficient = values.prefer == settings::Prefer::kLatency &&
                             reachable >= state->request.min_coverage;
  if (is_sufficient) return false;
  const Plans plans = context->environment.plans();
  const auto choice =
      ChoosePlan(plans, state->held, state->tried_versions, context->now);
  if (!choice) return false;
  const double expected =
      ExpectedCoverage(*plans[*choice], state->held, context->now);
  if (expected <= reachable) return false;
  ++state->generation;
  CancelUnneeded(context);
  Pin(context, plans[*choice]);
  return true;
}

void UpdateEarlyFinish(StepContext* context) {
  QueryState* state = context->state;
  if (state->request.values.prefer != settings::Prefer::kLatency) return;
  if (state->early_finish_at != kNever || state->shards_answered == 0) return;
  const double share = CoverageOf(*state->plan, state->documents_covered,
                                  state->shards_answered);
  if (share < state->request.min_coverage) return;
  state->early_finish_at = context->now + state->request.values.latency_grace;
}

// Runs after every event: restarts, keeps waiting or answers.
void Proceed(StepContext* context) {
  QueryState* state = context->state;
  if (state->finished) return;
  RestartIfBetter(context);
  UpdateEarlyFinish(context);
  const bool is_time =
      context->now >= Min(state->finish_by, state->early_finish_at);
  if (is_time || AreAllDone(*state)) {
    FinishNow(context);
    return;
  }
  CancelUnneeded(context);
}

void On(StepContext* context, const Started& event) {
  QueryState* state = context->state;
  state->held = event.held;
  const Plans plans = context->environment.plans();
  const auto choice = ChoosePlan(plans, state->held, {}, context->now);
  if (!choice) {
    FinishWith(context, Code::kNoSnapshot);
    return;
  }
  Pin(context, plans[*choice]);
  Proceed(context);
}

void On(StepContext* context, OutcomesArrived&& event) {
  QueryState* state = context->state;
  const auto it = state->parts.find(event.part);
  if (it == state->parts.end()) return;
  PartState* part = &it->second;
  if (part->at != context->environment.self) {
    context->actions.emplace_back(PeerObserved{part->at, false});
  }
  if (part->generation != state->generation) {
    CountSuperseded(context, part, event.outcomes);
    return;
  }
  if (part->times_out_at != kNever) {
    part->times_out_at = context->now + state->request.values.owner_timeout;
  }
  std::vector<size_t> to_reassign;
  for (auto& outcome : event.outcomes) {
    const auto index = HandleOutcome(context, part, &outcome);
    if (index) to_reassign.push_back(*index);
  }
  if (!to_reassign.empty()) {
    state->parts_reassigned +=
        static_cast<uint32_t>(RequestShards(context, to_reassign));
  }
  Proceed(context);
}

// Shards of the part that have not been answered.
std::vector<size_t> MissingOf(const QueryState& state, const PartState& part) {
  std::vector<size_t> missing;
  for (const size_t i : part.pending) {
    if (!state.shards[i].answered) missing.push_back(i);
  }
  return missing;
}

void FailPart(StepContext* context, PartState* part,
              std::vector<size_t>* to_reassign) {
  QueryState* state = context->state;
  part->times_out_at = kNever;
  part->cancelled = true;
  for (const size_t i : part->pending) {
    ShardState* shard = &state->shards[i];
    --shard->requests;
    if (shard->answered) continue;
    shard->failure = Code::kOwnerUnreachable;
    if (shard->requests == 0) to_reassign->push_back(i);
  }
  // How many attempts the instance made for these shards is unknown; one each
  // is counted.
  state->attempts += part->pending.size();
  part->pending.clear();
}

void On(StepContext* context, const PeerFailed& event) {
  QueryState* state = context->state;
  std::vector<size_t> to_reassign;
  for (auto& [id, part] : state->parts) {
    const bool is_affected = part.at == event.instance &&
                             part.generation == state->generation &&
                             !part.pending.empty();
    if (is_affected) FailPart(context, &part, &to_reassign);
  }
  if (!to_reassign.empty()) {
    state->parts_reassigned +=
        static_cast<uint32_t>(RequestShards(context, to_reassign));
  }
  Proceed(context);
}

void On(StepContext* context, const Tick&) {
  QueryState* state = context->state;
  std::vector<size_t> to_reassign;
  for (auto& [id, part] : state->parts) {
    if (part.times_out_at > context->now || part.pending.empty()) continue;
    context->actions.emplace_back(PeerObserved{part.at, true});
    const std::vector<size_t> missing = MissingOf(*state, part);
    if (!context->environment.may_reassign(missing.size())) {
      part.times_out_at = context->now + state->request.values.owner_timeout;
      continue;
    }
    part.times_out_at = kNever;
    to_reassign.insert(to_reassign.end(), missing.begin(), missing.end());
  }
  if (!to_reassign.empty()) {
    std::sort(to_reassign.begin(), to_reassign.end());
    to_reassign.erase(std::unique(to_reassign.begin(), to_reassign.end()),
                      to_reassign.end());
    state->parts_reassigned +=
        static_cast<uint32_t>(RequestShards(context, to_reassign));
  }
  Proceed(context);
}

void On(StepContext* context, const CallerGone&) {
  FinishWith(context, Code::kCallerGone);
}

}  // namespace

QueryId QueryOf(PartId part) { return QueryId(part.value >> kPartBits); }

QueryState MakeQuery(QueryRequest request, QueryId id, Millis arrived) {
  QueryState state;
  state.id = id;
  state.started = arrived;
  // With a very short deadline the reserve must not use most of it.
  const Millis reserve =
      Min(request.values.answer_reserve, request.deadline * 0.1);
  state.finish_by = arrived + request.deadline - reserve;
  state.request = std::move(request);
  return state;
}

std::vector<Action> Step(QueryState* state, Event event,
                         const QueryEnvironment& environment, Millis now) {
  if (state->finished) return {};
  StepContext context{state, environment, now, {}};
  std::visit([&](auto& it) { On(&context, std::move(it)); }, event);
  return std::move(context.actions);
}

Millis NextDue(const QueryState& state) {
  Millis due = Min(state.finish_by, state.early_finish_at);
  for (const auto& [id, part] : state.parts) {
    if (!part.pending.empty()) due = Min(due, part.times_out_at);
  }
  return due;
}

}  // namespace hibiscuspick::routing
