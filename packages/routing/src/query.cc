#include "hibiscuspick/routing/query.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "query_steps.h"

namespace hibiscuspick::routing {
namespace {

// Failures of the instance rather than of the shard's servers, which another
// instance may avoid. All others have been retried by the instance itself.
// Refusals for lack of capacity must not be retried elsewhere, since all
// instances share the same backend servers.
bool IsWorthAskingElsewhere(Code code) {
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
constexpr size_t kHitsKept = 8;

bool IsSettled(const ShardState& shard) {
  return shard.answered || shard.asks == 0;
}

bool IsAllSettled(const QueryState& state) {
  return std::all_of(state.shards.begin(), state.shards.end(), IsSettled);
}

void TakeAnswer(StepContext* context, size_t index,
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
  if (state->hits.size() > kHitsKept * state->request.limit) {
    state->hits = MergeHits(std::move(state->hits), state->request.limit);
  }
  context->actions.push_back(
      VersionSeen{planned.work.shard, state->plan->version, true, {}});
}

void TakeFailure(StepContext* context, size_t index,
                 const limits::ShardOutcome& outcome) {
  QueryState* state = context->state;
  state->shards[index].failure = outcome.code;
  if (outcome.code != Code::kVersionNotHeld) return;
  LearnRefused(&state->held, outcome.shard, state->plan->version, outcome.held,
               context->now);
  context->actions.push_back(
      VersionSeen{outcome.shard, state->plan->version, false, outcome.held});
}

// Finds the shard among those the part still waits for. Returns nullopt for a
// shard that was not requested in this part or has been reported already; its
// outcome is dropped.
std::optional<size_t> PlaceIn(const QueryState& state, const PartState& part,
                              const ShardId& shard) {
  const auto& shards = state.plan->shards;
  for (size_t n = 0; n < part.waiting.size(); ++n) {
    if (shards[part.waiting[n]].work.shard == shard) return n;
  }
  return std::nullopt;
}

// Handles one outcome of a part of the pinned plan. Returns the shard's index
// if it should be requested from another instance.
std::optional<size_t> TakeOutcome(StepContext* context, PartState* part,
                                  limits::ShardOutcome* outcome) {
  QueryState* state = context->state;
  const auto place = PlaceIn(*state, *part, outcome->shard);
  if (!place) return std::nullopt;
  const size_t index = part->waiting[*place];
  part->waiting.erase(part->waiting.begin() +
                      static_cast<std::ptrdiff_t>(*place));
  state->attempts += outcome->attempts;
  if (outcome->ran == Ran::kMaybe) state->may_have_run = true;
  ShardState* shard = &state->shards[index];
  --shard->asks;
  if (shard->answered) return std::nullopt;
  if (outcome->code == Code::kOk && !AreHitsSound(outcome->hits)) {
    outcome->code = Code::kBadReply;
  }
  if (outcome->code == Code::kOk) {
    TakeAnswer(context, index, outcome);
    return std::nullopt;
  }
  TakeFailure(context, index, *outcome);
  if (shard->asks > 0 || !IsWorthAskingElsewhere(outcome->code)) {
    return std::nullopt;
  }
  return index;
}

// Handles outcomes of a superseded plan: only their attempts are counted,
// nothing enters the answer.
void CountAbandoned(StepContext* context, PartState* part,
                    const std::vector<limits::ShardOutcome>& outcomes) {
  // The indexes refer to the earlier plan, which is gone, so each outcome just
  // removes one of the pending shards.
  for (const auto& it : outcomes) {
    if (part->waiting.empty()) return;
    part->waiting.pop_back();
    context->state->attempts += it.attempts;
  }
}

// The coverage that can still be reached with the pinned plan.
double ReachableShare(const QueryState& state) {
  uint64_t documents = 0;
  uint64_t shards = 0;
  for (size_t i = 0; i < state.shards.size(); ++i) {
    const ShardState& it = state.shards[i];
    if (IsSettled(it) && !it.answered) continue;
    documents += state.plan->shards[i].documents;
    ++shards;
  }
  return ShareOf(*state.plan, documents, shards);
}

bool HasLostVersion(const QueryState& state) {
  return std::any_of(state.shards.begin(), state.shards.end(),
                     [](const ShardState& it) {
                       return IsSettled(it) && !it.answered &&
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
  if (!HasLostVersion(*state)) return false;
  const double reachable = ReachableShare(*state);
  const bool is_enough = values.prefer == settings::Prefer::kLatency &&
                         reachable >= state->request.min_coverage;
  if (is_enough) return false;
  const Plans plans = context->world.plans();
  const auto choice =
      ChoosePlan(plans, state->held, state->tried_versions, context->now);
  if (!choice) return false;
  const double promised =
      PresumedShare(*plans[*choice], state->held, context->now);
  if (promised <= reachable) return false;
  ++state->generation;
  CancelUnwanted(context);
  Pin(context, plans[*choice]);
  return true;
}

void NoteGoodEnough(StepContext* context) {
  QueryState* state = context->state;
  if (state->request.values.prefer != settings::Prefer::kLatency) return;
  if (state->good_enough_at != kNever || state->shards_answered == 0) return;
  const double share =
      ShareOf(*state->plan, state->documents_covered, state->shards_answered);
  if (share < state->request.min_coverage) return;
  state->good_enough_at = context->now + state->request.values.latency_grace;
}

// Runs after every event: restarts, keeps waiting or answers.
void Conclude(StepContext* context) {
  QueryState* state = context->state;
  if (state->finished) return;
  RestartIfBetter(context);
  NoteGoodEnough(context);
  const bool is_time =
      context->now >= Min(state->finish_by, state->good_enough_at);
  if (is_time || IsAllSettled(*state)) {
    FinishNow(context);
    return;
  }
  CancelUnwanted(context);
}

void On(StepContext* context, const Started& event) {
  QueryState* state = context->state;
  state->held = event.held;
  const Plans plans = context->world.plans();
  const auto choice = ChoosePlan(plans, state->held, {}, context->now);
  if (!choice) {
    FinishWith(context, Code::kNoSnapshot);
    return;
  }
  Pin(context, plans[*choice]);
  Conclude(context);
}

void On(StepContext* context, OutcomesArrived&& event) {
  QueryState* state = context->state;
  const auto it = state->parts.find(event.part);
  if (it == state->parts.end()) return;
  PartState* part = &it->second;
  if (part->at != context->world.self) {
    context->actions.emplace_back(PeerSeen{part->at, false});
  }
  if (part->generation != state->generation) {
    CountAbandoned(context, part, event.outcomes);
    return;
  }
  if (part->silent_at != kNever) {
    part->silent_at = context->now + state->request.values.owner_timeout;
  }
  std::vector<size_t> again;
  for (auto& outcome : event.outcomes) {
    const auto index = TakeOutcome(context, part, &outcome);
    if (index) again.push_back(*index);
  }
  if (!again.empty()) {
    state->asked_again += static_cast<uint32_t>(AskShards(context, again));
  }
  Conclude(context);
}

// Shards of the part that have not been answered.
std::vector<size_t> MissingOf(const QueryState& state, const PartState& part) {
  std::vector<size_t> missing;
  for (const size_t i : part.waiting) {
    if (!state.shards[i].answered) missing.push_back(i);
  }
  return missing;
}

void FailPart(StepContext* context, PartState* part,
              std::vector<size_t>* again) {
  QueryState* state = context->state;
  part->silent_at = kNever;
  part->cancelled = true;
  for (const size_t i : part->waiting) {
    ShardState* shard = &state->shards[i];
    --shard->asks;
    if (shard->answered) continue;
    shard->failure = Code::kOwnerUnreachable;
    if (shard->asks == 0) again->push_back(i);
  }
  // How many attempts the instance made for these shards is unknown; one each
  // is counted.
  state->attempts += part->waiting.size();
  part->waiting.clear();
}

void On(StepContext* context, const PeerFailed& event) {
  QueryState* state = context->state;
  std::vector<size_t> again;
  for (auto& [id, part] : state->parts) {
    const bool is_hit = part.at == event.instance &&
                        part.generation == state->generation &&
                        !part.waiting.empty();
    if (is_hit) FailPart(context, &part, &again);
  }
  if (!again.empty()) {
    state->asked_again += static_cast<uint32_t>(AskShards(context, again));
  }
  Conclude(context);
}

void On(StepContext* context, const Tick&) {
  QueryState* state = context->state;
  std::vector<size_t> again;
  for (auto& [id, part] : state->parts) {
    if (part.silent_at > context->now || part.waiting.empty()) continue;
    context->actions.emplace_back(PeerSeen{part.at, true});
    const std::vector<size_t> missing = MissingOf(*state, part);
    if (!context->world.may_ask_again(missing.size())) {
      part.silent_at = context->now + state->request.values.owner_timeout;
      continue;
    }
    part.silent_at = kNever;
    again.insert(again.end(), missing.begin(), missing.end());
  }
  if (!again.empty()) {
    std::sort(again.begin(), again.end());
    again.erase(std::unique(again.begin(), again.end()), again.end());
    state->asked_again += static_cast<uint32_t>(AskShards(context, again));
  }
  Conclude(context);
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
                         const QueryWorld& world, Millis now) {
  if (state->finished) return {};
  StepContext context{state, world, now, {}};
  std::visit([&](auto& it) { On(&context, std::move(it)); }, event);
  return std::move(context.actions);
}

Millis NextDue(const QueryState& state) {
  Millis due = Min(state.finish_by, state.good_enough_at);
  for (const auto& [id, part] : state.parts) {
    if (!part.waiting.empty()) due = Min(due, part.silent_at);
  }
  return due;
}

}  // namespace hibiscuspick::routing
