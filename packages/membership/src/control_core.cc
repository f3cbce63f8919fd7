#include "hibiscuspick/membership/control_core.h"

#include <algorithm>
#include <memory>

#include "hibiscuspick/membership/placement.h"
#include "step_context.h"

namespace hibiscuspick::membership {
namespace {

// After a pause of this process all members appear silent although they are
// not.
void HandlePause(StepContext* context) {
  auto& state = *context->state;
  const Millis gap = context->now - state.last_tick;
  if (gap > state.limits.pause) DiscountPause(&state.table, gap);
}

void ReportMemberChanges(StepContext* context,
                         const std::vector<InstanceId>& ids,
                         const std::string& what) {
  for (const auto& it : ids) ReportMemberChange(context, it, what);
}

void UpdateSuspicion(StepContext* context) {
  auto& state = *context->state;
  const auto swept = Sweep(&state.table, state.limits.members, context->now);
  ReportMemberChanges(context, swept.suspected, "is silent");
  ReportMemberChanges(context, swept.recovered, "responds again");
  ReportMemberChanges(context, swept.gone, "is gone");
  ReportMemberChanges(context, swept.forgotten, "is forgotten");
  MembershipDelta delta;
  for (const auto& it : swept.gone) {
    delta.members.push_back(state.table.members.at(it).state);
  }
  PushMembershipDelta(context, std::move(delta), PushScope::kAll, {});
}

bool ShouldWatch(const ControlState& state, Millis now) {
  if (IsWatcher(state)) return true;
  if (IsConfigured(state)) return false;
  // No peer has sent a configuration so far. One more watcher of the platform
  // is better than an instance without configuration.
  return now - *state.started >= state.limits.watch_without_config;
}

void UpdateWatching(StepContext* context) {
  auto& state = *context->state;
  const bool should_watch = ShouldWatch(state, context->now);
  if (should_watch == state.watching) return;
  state.watching = should_watch;
  if (should_watch) {
    context->actions.push_back(StartWatching{});
  } else {
    context->actions.push_back(StopWatching{});
  }
}

void Handle(StepContext* context, const Tick&) {
  auto& state = *context->state;
  if (state.started) {
    HandlePause(context);
  } else {
    state.started = context->now;
  }
  state.last_tick = context->now;
  ++state.ticks;
  auto& self = SelfOf(&state.table);
  ++self.state.heartbeat;
  self.last_heard = context->now;
  state.table.refute_leaving =
      context->now - *state.started < state.limits.max_list_lag;
  UpdateSuspicion(context);
  SendDigests(context);
  UpdateWatching(context);
}

void HandleMessage(StepContext* context, const InstanceId& from,
                   const Digest& digest) {
  HandleDigest(context, from, digest);
}

void HandleMessage(StepContext* context, const InstanceId& from,
                   const MembershipDelta& delta) {
  HandleMembershipDelta(context, from, delta);
}

void HandleMessage(StepContext* context, const InstanceId& from,
                   const settings::ConfigDelta& delta) {
  HandleDelta(context, from, delta);
}

void Handle(StepContext* context, const MessageFrom& event) {
  std::visit([&](const auto& it) { HandleMessage(context, event.from, it); },
             event.message);
}

void Handle(StepContext* context, const PeerFailed& event) {
  MarkFailed(&context->state->table, event.peer, context->now);
}

// Whether the list entry is about the known incarnation. The list carries no
// incarnation and may show an earlier one for a while.
bool IsKnownIncarnation(ControlState* state, const MemberState& known) {
  const auto [it, first] = state->listed_leaving.try_emplace(known.id, known);
  return first || (it->second.incarnation == known.incarnation &&
                   it->second.refutations == known.refutations);
}

void HandleListedInstance(StepContext* context,
                          const platform::ListedInstance& listed) {
  auto& state = *context->state;
  if (!listed.leaving) {
    state.listed_leaving.erase(listed.id);
    return;
  }
  const auto it = state.table.members.find(listed.id);
  if (it == state.table.members.end()) return;
  auto report = it->second.state;
  if (!IsKnownIncarnation(&state, report)) return;
  if (report.phase >= Phase::kLeaving) return;
  report.phase = Phase::kLeaving;
  if (MergeReport(context, report) != MergeResult::kChanged) return;
  MembershipDelta delta;
  delta.members.push_back(std::move(report));
  PushMembershipDelta(context, std::move(delta), PushScope::kAll, {});
}

void Handle(StepContext* context, const PlatformList& event) {
  auto& state = *context->state;
  state.listed.clear();
  for (const auto& it : event.instances) {
    if (it.id != state.table.self) {
      state.listed.push_back({it.id, it.inner, {}});
    }
    HandleListedInstance(context, it);
  }
}

void MergeAndPushDrain(StepContext* context, const DrainReport& report) {
  auto& state = *context->state;
  if (!MergeDrainReport(&state.servers, report)) return;
  ++state.servers_generation;
  MembershipDelta delta;
  delta.servers.push_back(report);
  PushMembershipDelta(context, std::move(delta), PushScope::kAll, {});
}

void Handle(StepContext* context, const LocalDrain& event) {
  MergeAndPushDrain(context, event.report);
}

void Handle(StepContext* context, const LocalUndrain& event) {
  MergeAndPushDrain(context,
                    MakeUndrainReport(context->state->servers, event.server));
}

void Handle(StepContext* context, const AcceptedConfig& event) {
  HandleAccepted(context, event.delta);
}

void Handle(StepContext* context, const WatchedConfig& event) {
  HandleWatched(context, event);
}

void Handle(StepContext* context, const SelfPhase& event) {
  auto& self = SelfOf(&context->state->table).state;
  if (event.phase <= self.phase) return;
  self.phase = event.phase;
  ++context->state->table.generation;
  PushSelf(context);
}

ViewPointer MakeView(const ControlState& state) {
  auto view = std::make_shared<MembershipView>();
  view->self = state.table.self;
  view->data_centre = state.table.data_centre;
  view->servers = state.servers;
  view->number = state.view_number;
  for (const auto& [id, it] : state.table.members) {
    if (it.state.phase == Phase::kGone) continue;
    view->members[id] = {id,
                         it.state.data_centre,
                         it.state.inner,
                         it.state.incarnation,
                         it.state.phase,
                         it.suspect};
  }
  return view;
}

void PublishIfChanged(StepContext* context) {
  auto& state = *context->state;
  if (state.view_number != 0 &&
      state.view_generation == state.table.generation &&
      state.view_servers_generation == state.servers_generation) {
    return;
  }
  state.view_generation = state.table.generation;
  state.view_servers_generation = state.servers_generation;
  ++state.view_number;
  context->actions.push_back(PublishView{MakeView(state)});
}

}  // namespace

ControlState StartControl(const MemberState& self, std::vector<Address> seeds,
                          const ControlLimits& limits) {
  ControlState state;
  state.limits = limits;
  state.table.self = self.id;
  state.table.data_centre = self.data_centre;
  state.table.members[self.id].state = self;
  state.seeds = std::move(seeds);
  std::erase(state.seeds, self.inner);
  return state;
}

std::vector<Action> Step(ControlState* state, const Event& event, Millis now,
                         Random* random) {
  StepContext context{state, now, random, {}};
  std::visit([&](const auto& it) { Handle(&context, it); }, event);
  PublishIfChanged(&context);
  return std::move(context.actions);
}

bool IsConfigured(const ControlState& state) { return state.config.loaded; }

bool IsWatcher(const ControlState& state) {
  std::vector<InstanceId> ids;
  for (const auto& [id, it] : state.table.members) {
    if (it.state.data_centre != state.table.data_centre) continue;
    if (it.state.phase > Phase::kServing || it.suspect) continue;
    ids.push_back(id);
  }
  const auto order =
      RendezvousOrder("watch " + state.table.data_centre.text, ids);
  const size_t n = std::min(order.size(), state.limits.watchers);
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(n);
  return std::find(order.begin(), end, state.table.self) != end;
}

}  // namespace hibiscuspick::membership
