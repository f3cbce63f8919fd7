// Requests the parts of a query from instances.
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "query_internal.h"

namespace hibiscuspick::routing {
namespace {

bool WasTried(const ShardState& shard, const InstanceId& instance) {
  return std::find(shard.tried.begin(), shard.tried.end(), instance) !=
         shard.tried.end();
}

// The next instance to request the shard from. The last try is reserved for
// this instance: it depends on no other one, so it is most likely to work when
// this instance is partitioned from the rest.
std::optional<InstanceId> NextCandidate(
    const StepContext& context, const ShardState& shard,
    const std::vector<InstanceId>& candidates) {
  const size_t max_tries =
      std::max(1U, context.state->request.values.max_candidates);
  if (shard.tried.size() >= max_tries) return std::nullopt;
  const InstanceId& self = context.environment.self;
  const bool has_self =
      std::find(candidates.begin(), candidates.end(), self) != candidates.end();
  if (shard.tried.size() + 1 == max_tries && max_tries > 1 && has_self &&
      !WasTried(shard, self)) {
    return self;
  }
  for (const auto& it : candidates) {
    if (!WasTried(shard, it)) return it;
  }
  return std::nullopt;
}

limits::PartRequest MakePart(const StepContext& context, PartId id,
                             const std::vector<size_t>& shards) {
  const QueryState& state = *context.state;
  limits::PartRequest part;
  part.origin = {context.environment.self, context.environment.incarnation, id};
  part.customer = state.request.customer;
  part.route = state.request.route;
  part.lane = state.request.values.lane;
  part.version = state.plan->version;
  part.time_left = Max(Millis(0), state.finish_by - context.now);
  part.limit = state.request.limit;
  part.query = state.request.query;
  for (const size_t i : shards) {
    part.shards.push_back(state.plan->shards[i].work);
  }
  return part;
}

void Send(StepContext* context, const InstanceId& to,
          std::vector<size_t> shards) {
  QueryState* state = context->state;
  const PartId id((state->id.value << kPartBits) + ++state->next_part);
  const bool is_local = to == context->environment.self;
  if (!is_local) state->may_have_run = true;
  for (const size_t i : shards) {
    state->shards[i].tried.push_back(to);
    ++state->shards[i].requests;
  }
  context->actions.push_back(SendPart{to, MakePart(*context, id, shards)});
  PartState part;
  part.at = to;
  part.generation = state->generation;
  part.pending = std::move(shards);
  if (!is_local) {
    part.times_out_at = context->now + state->request.values.owner_timeout;
  }
  state->parts.emplace(id, std::move(part));
}

}  // namespace

size_t RequestShards(StepContext* context, const std::vector<size_t>& shards) {
  QueryState* state = context->state;
  if (context->now >= Min(state->finish_by, state->early_finish_at)) return 0;
  std::map<ServiceId, std::vector<InstanceId>> candidates;
  std::map<InstanceId, std::vector<size_t>> groups;
  for (const size_t i : shards) {
    const ServiceId& service = state->plan->shards[i].work.service;
    const auto [it, added] = candidates.try_emplace(service);
    if (added) it->second = context->environment.candidates(service);
    const auto next = NextCandidate(*context, state->shards[i], it->second);
    if (next) groups[*next].push_back(i);
  }
  for (auto& [to, group] : groups) Send(context, to, std::move(group));
  return groups.size();
}

void Pin(StepContext* context, std::shared_ptr<const Plan> plan) {
  QueryState* state = context->state;
  state->plan = std::move(plan);
  state->tried_versions.push_back(state->plan->version);
  state->documents_covered = 0;
  state->shards_answered = 0;
  state->hits.clear();
  state->early_finish_at = kNever;
  state->shards.assign(state->plan->shards.size(), ShardState{});
  std::vector<size_t> all(state->shards.size());
  for (size_t i = 0; i < all.size(); ++i) all[i] = i;
  RequestShards(context, all);
}

void CancelUnneeded(StepContext* context) {
  QueryState* state = context->state;
  for (auto& [id, part] : state->parts) {
    if (part.cancelled || part.pending.empty()) continue;
    const bool needed =
        part.generation == state->generation &&
        std::any_of(part.pending.begin(), part.pending.end(),
                    [&](size_t i) { return !state->shards[i].answered; });
    if (needed) continue;
    part.cancelled = true;
    part.times_out_at = kNever;
    context->actions.push_back(CancelPart{part.at, id});
  }
}

void CancelAll(StepContext* context) {
  for (auto& [id, part] : context->state->parts) {
    if (part.cancelled || part.pending.empty()) continue;
    part.cancelled = true;
    context->actions.push_back(CancelPart{part.at, id});
  }
}

}  // namespace hibiscuspick::routing
