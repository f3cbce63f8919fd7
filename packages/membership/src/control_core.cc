#include "hibiscuspick/membership/control_core.h"

#include <algorithm>
#include <memory>

#include "hibiscuspick/membership/placement.h"
#include "turn.h"

namespace hibiscuspick::membership {
namespace {

// After a pause of this process all members appear silent although they are
// not.
void NoticePause(Turn* turn) {
  auto& state = *turn->state;
  const Millis gap = turn->now - state.last_tick;
  if (gap > state.limits.pause) ForgivePause(&state.table, gap);
}

void NoteAll(Turn* turn, const std::vector<InstanceId>& ids,
             const std::string& what) {
  for (const auto& it : ids) NoteMember(turn, it, what);
}

void JudgeSilence(Turn* turn) {
  auto& state = *turn->state;
  const auto swept = Sweep(&state.table, state.limits.members, turn->now);
  NoteAll(turn, swept.suspected, "is silent");
  NoteAll(turn, swept.trusted, "responds again");
  NoteAll(turn, swept.gone, "is gone");
  NoteAll(turn, swept.forgotten, "is forgotten");
  News news;
  for (const auto& it : swept.gone) {
    news.members.push_back(state.table.members.at(it).state);
  }
  PushNews(turn, std::move(news), Reach::kAll, {});
}

bool WantsWatch(const ControlState& state, Millis now) {
  if (IsWatcher(state)) return true;
  if (IsConfigured(state)) return false;
  // No peer has sent a configuration so far. One more watcher of the platform
  // is better than an instance without configuration.
  return now - *state.started >= state.limits.watch_without_config;
}

void ChooseWatch(Turn* turn) {
  auto& state = *turn->state;
  const bool wants = WantsWatch(state, turn->now);
  if (wants == state.watching) return;
  state.watching = wants;
  if (wants) {
    turn->actions.push_back(StartWatching{});
  } else {
    turn->actions.push_back(StopWatching{});
  }
}

void Handle(Turn* turn, const Tick&) {
  auto& state = *turn->state;
  if (state.started) {
    NoticePause(turn);
  } else {
    state.started = turn->now;
  }
  state.last_tick = turn->now;
  ++state.ticks;
  auto& self = SelfOf(&state.table);
  ++self.state.heartbeat;
  self.heard = turn->now;
  state.table.refute_leaving =
      turn->now - *state.started < state.limits.list_lag;
  JudgeSilence(turn);
  SendDigests(turn);
  ChooseWatch(turn);
}

void Take(Turn* turn, const InstanceId& from, const Digest& digest) {
  HandleDigest(turn, from, digest);
}

void Take(Turn* turn, const InstanceId& from, const News& news) {
  HandleNews(turn, from, news);
}

void Take(Turn* turn, const InstanceId& from,
          const settings::ConfigDelta& delta) {
  HandleDelta(turn, from, delta);
}

void Handle(Turn* turn, const MessageFrom& event) {
  std::visit([&](const auto& it) { Take(turn, event.from, it); },
             event.message);
}

void Handle(Turn* turn, const PeerFailed& event) {
  MarkFailed(&turn->state->table, event.peer, turn->now);
}

// Whether the list entry is about the known incarnation. The list carries no
// incarnation and may show an earlier one for a while.
bool IsOfThisLife(ControlState* state, const MemberState& known) {
  const auto [it, first] = state->listed_leaving.try_emplace(known.id, known);
  return first || (it->second.incarnation == known.incarnation &&
                   it->second.refutations == known.refutations);
}

void TakeListed(Turn* turn, const platform::ListedInstance& listed) {
  auto& state = *turn->state;
  if (!listed.leaving) {
    state.listed_leaving.erase(listed.id);
    return;
  }
  const auto it = state.table.members.find(listed.id);
  if (it == state.table.members.end()) return;
  auto report = it->second.state;
  if (!IsOfThisLife(&state, report)) return;
  if (report.phase >= Phase::kLeaving) return;
  report.phase = Phase::kLeaving;
  if (TakeMember(turn, report) != Merge::kChanged) return;
  News news;
  news.members.push_back(std::move(report));
  PushNews(turn, std::move(news), Reach::kAll, {});
}

void Handle(Turn* turn, const PlatformList& event) {
  auto& state = *turn->state;
  state.listed.clear();
  for (const auto& it : event.instances) {
    if (it.id != state.table.self) {
      state.listed.push_back({it.id, it.inner, {}});
    }
    TakeListed(turn, it);
  }
}

void TakeServer(Turn* turn, const ServerNews& server) {
  auto& state = *turn->state;
  if (!MergeServer(&state.servers, server)) return;
  ++state.servers_generation;
  News news;
  news.servers.push_back(server);
  PushNews(turn, std::move(news), Reach::kAll, {});
}

void Handle(Turn* turn, const LocalNews& event) {
  TakeServer(turn, event.news);
}

void Handle(Turn* turn, const LocalUndrain& event) {
  TakeServer(turn, UndrainOf(turn->state->servers, event.server));
}

void Handle(Turn* turn, const AcceptedConfig& event) {
  HandleAccepted(turn, event.delta);
}

void Handle(Turn* turn, const WatchedConfig& event) {
  HandleWatched(turn, event);
}

void Handle(Turn* turn, const SelfPhase& event) {
  auto& self = SelfOf(&turn->state->table).state;
  if (event.phase <= self.phase) return;
  self.phase = event.phase;
  ++turn->state->table.generation;
  PushSelf(turn);
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

void PublishIfChanged(Turn* turn) {
  auto& state = *turn->state;
  if (state.view_number != 0 &&
      state.view_generation == state.table.generation &&
      state.view_servers_generation == state.servers_generation) {
    return;
  }
  state.view_generation = state.table.generation;
  state.view_servers_generation = state.servers_generation;
  ++state.view_number;
  turn->actions.push_back(PublishView{MakeView(state)});
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
  Turn turn{state, now, random, {}};
  std::visit([&](const auto& it) { Handle(&turn, it); }, event);
  PublishIfChanged(&turn);
  return std::move(turn.actions);
}

bool IsConfigured(const ControlState& state) { return state.config.known; }

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
