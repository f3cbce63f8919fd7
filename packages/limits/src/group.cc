#include "hibiscuspick/limits/group.h"

#include <algorithm>
#include <utility>

#include "group_internal.h"

namespace hibiscuspick::limits {
namespace {

using internal::EventContext;

ServerState* FindServer(GroupState* state, const BackendServerId& id) {
  const auto it = state->index_of.find(id);
  return it == state->index_of.end() ? nullptr : &state->servers[it->second];
}

ServerSet IndexesOf(const GroupState& state,
                    const std::vector<BackendServerId>& ids) {
  ServerSet set;
  for (const auto& id : ids) {
    const auto it = state.index_of.find(id);
    if (it == state.index_of.end()) continue;
    if (!state.servers[it->second].removed) set.push_back(it->second);
  }
  std::sort(set.begin(), set.end());
  set.erase(std::unique(set.begin(), set.end()), set.end());
  return set;
}

// Applies a server's new configuration. A new address means a new process, so
// the state learned about the old one is reset.
void Reconfigure(ServerState* server, const settings::BackendServer& config,
                 Millis now) {
  const bool moved = server->config.address != config.address;
  if (server->removed || moved) {
    ServerState fresh;
    fresh.in_flight = server->in_flight;
    fresh.bulk_in_flight = server->bulk_in_flight;
    fresh.abandoned = server->abandoned;
    fresh.slow_start_began = now;
    *server = fresh;
  }
  server->config = config;
}

// Adds or updates one server and returns its index.
uint32_t UpsertServer(GroupState* state, const settings::BackendServer& config,
                      Millis now) {
  const auto next = static_cast<uint32_t>(state->servers.size());
  const auto [it, is_new] = state->index_of.emplace(config.id, next);
  if (!is_new) {
    Reconfigure(&state->servers[it->second], config, now);
    return it->second;
  }
  ServerState fresh;
  fresh.config = config;
  // At the start of this instance all servers are new to it, but they are not
  // starting themselves, so that slow start does not apply.
  if (state->configured) fresh.slow_start_began = now;
  state->servers.push_back(std::move(fresh));
  return next;
}

void PreconnectAll(const EventContext& ctx, uint32_t index) {
  const int n = ctx.state->policy.connections.preconnect;
  for (int i = 0; i < n; ++i) {
    ctx.actions->emplace_back(Preconnect{index});
  }
}

void Refuse(const EventContext& ctx, const NewTask& work, Code code) {
  Decision decision;
  decision.kind = DecisionKind::kRefuse;
  decision.task = work.task;
  decision.lane = work.lane;
  decision.code = code;
  decision.waiting = CountWaiting(ctx.state->queues);
  ctx.actions->emplace_back(decision);
  TaskDone done;
  done.task = work.task;
  done.code = code;
  // The task was never queued, so no attempt was made.
  done.ran = Ran::kNo;
  ctx.actions->emplace_back(done);
}

// Minimum starts for a meaningful rate.
constexpr double kMinStarts = 20;

// Estimates how long the tasks queued in the lane will take at its recent start
// rate. Unlike the estimate from latency, this accounts for the capacity taken
// by more urgent lanes.
Millis EstimateQueueWait(const EventContext& ctx, const TaskState& task) {
  const GroupState& state = *ctx.state;
  const Lane lane = state.policy.lanes_enabled ? task.work.lane : Lane::kUrgent;
  const size_t n = LaneIndex(lane);
  const double rate =
      internal::StartsPerMillisecond(state.start_rates[n], ctx.now);
  if (state.start_rates[n].starts < kMinStarts || rate <= 0) {
    return Millis(0);
  }
  return Millis(static_cast<double>(state.queues.lanes[n].size) / rate);
}

// Estimates when a task queued for these servers would finish, from the tasks
// ahead of it and recent latencies.
Millis EstimateCompletion(const EventContext& ctx, const TaskState& task) {
  const GroupState& state = *ctx.state;
  int capacity = 0;
  int in_use = 0;
  for (const uint32_t it : task.candidates) {
    const ServerState& server = state.servers[it];
    if (!AcceptsNewWork(server, ctx.now) || server.ejected) continue;
    capacity += Capacity(server, state.policy, ctx.now);
    in_use += server.in_flight;
  }
  const Millis median = internal::LaneLatency(state, task.work.lane, 0.5);
  if (capacity == 0 || in_use < capacity) return ctx.now + median;
  const bool lanes = state.policy.lanes_enabled;
  const size_t ahead =
      CountAhead(state.queues, lanes ? task.work.lane : Lane::kUrgent,
                 lanes ? task.work.deadline : ctx.now);
  const double turns = static_cast<double>(ahead + 1) / capacity;
  return ctx.now + Max(median * turns, EstimateQueueWait(ctx, task)) + median;
}

// Returns kOk to admit the task, or the code to refuse it with.
Code CheckAdmission(const EventContext& ctx, const TaskState& task) {
  const GroupState& state = *ctx.state;
  const Lane lane = state.policy.lanes_enabled ? task.work.lane : Lane::kUrgent;
  const size_t n = LaneIndex(lane);
  if (state.queues.lanes[n].size >= state.policy.lanes[n].queue_limit) {
    return Code::kQueueFull;
  }
  if (task.work.deadline <= ctx.now) return Code::kDeadlineUnreachable;
  // A task that misses its deadline still uses slots that others need. Without
  // this check, under overload every task would be answered late.
  if (state.policy.admission_control_enabled &&
      EstimateCompletion(ctx, task) > task.work.deadline) {
    return Code::kDeadlineUnreachable;
  }
  return Code::kOk;
}

void CountRefusal(GroupCounters* counters, Code code) {
  if (code == Code::kQueueFull) ++counters->refused_queue_full;
  if (code == Code::kDeadlineUnreachable) ++counters->refused_deadline;
  if (code == Code::kNoServer) ++counters->refused_no_server;
}

void OnTaskDeadline(const EventContext& ctx, TaskId id) {
  internal::FinishTask(ctx, id, Code::kDeadlineExceeded, {});
}

void OnHedgeTimer(const EventContext& ctx, TaskId id) {
  GroupState& state = *ctx.state;
  const auto it = state.tasks.find(id);
  if (it == state.tasks.end()) return;
  TaskState& task = it->second;
  if (task.hedged || task.is_queued || task.running.size() != 1) return;
  const auto kind = AttemptKind::kHedge;
  if (internal::EligibleServers(ctx, task, kind).empty()) return;
  task.hedged = true;
  if (!TakeExtraAttempt(&state.budget, state.policy.budget, ctx.now)) {
    ++state.counters.hedges_denied;
    ctx.actions->emplace_back(
        internal::MakeDecision(ctx, DecisionKind::kHedgeDenied, task));
    return;
  }
  task.charged = true;
  const bool prioritized =
      state.policy.hedge.prioritize_urgent && task.work.lane == Lane::kUrgent;
  internal::QueueTask(ctx, &task, kind, prioritized);
  internal::StartQueuedAttempts(ctx);
  const auto after = state.tasks.find(id);
  if (prioritized || after == state.tasks.end() || !after->second.is_queued) {
    return;
  }
  // A hedge that waits in the queue would come too late to help, and would take
  // a slot from tasks that have had no attempt yet.
  internal::DequeueTask(ctx, &after->second);
  internal::ReturnIfCharged(ctx, &after->second.charged);
}

void OnTimer(const EventContext& ctx, const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::kTask:
      OnTaskDeadline(ctx, TaskId(timer.id));
      return;
    case TimerKind::kHedge:
      OnHedgeTimer(ctx, TaskId(timer.id));
      return;
    case TimerKind::kSlot:
      internal::ReleaseSlot(ctx, AttemptId(timer.id));
      return;
    case TimerKind::kServer:
      // A pause or an ejection is over; Tick then starts queued attempts.
      return;
  }
}

}  // namespace

void Configure(GroupState* state,
               const std::vector<settings::BackendServer>& servers,
               const std::vector<BackendServerId>& drained,
               const GroupPolicy& policy, Millis now, Random* random,
               Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  if (!state->configured) {
    state->budget = {policy.budget.burst, now};
  }
  const bool becomes_owner =
      policy.connections.owner &&
      !(state->configured && state->policy.connections.owner);
  state->policy = policy;
  std::vector<bool> listed(state->servers.size(), false);
  for (const auto& config : servers) {
    const uint32_t index = UpsertServer(state, config, now);
    const bool is_new = index >= listed.size();
    if (is_new) listed.push_back(false);
    listed[index] = true;
    // Only owners open connections in advance: if all instances did, they would
    // exhaust the servers' connection limits.
    if (becomes_owner || (is_new && policy.connections.owner)) {
      PreconnectAll(ctx, index);
    }
  }
  for (size_t i = 0; i < listed.size(); ++i) {
    ServerState& server = state->servers[i];
    server.removed = !listed[i];
    server.drained = std::find(drained.begin(), drained.end(),
                               server.config.id) != drained.end();
  }
  state->configured = true;
  internal::RequeueAll(ctx);
  internal::StartQueuedAttempts(ctx);
}

void AddTask(GroupState* state, const NewTask& work, Millis now, Random* random,
             Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  ++state->counters.tasks;
  TaskState task;
  task.work = work;
  task.added = now;
  task.candidates = IndexesOf(*state, work.servers);
  Code code = CheckAdmission(ctx, task);
  if (task.candidates.empty()) code = Code::kNoServer;
  if (code != Code::kOk) {
    CountRefusal(&state->counters, code);
    Refuse(ctx, work, code);
    return;
  }
  const auto it = state->tasks.emplace(work.task, std::move(task)).first;
  state->timers.insert({work.deadline, TimerKind::kTask, work.task.value});
  internal::QueueTask(ctx, &it->second, AttemptKind::kFirst, false);
  internal::StartQueuedAttempts(ctx);
}

void CancelTasks(GroupState* state, const std::vector<TaskId>& tasks,
                 Millis now, Random* random, Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  // All tasks are removed before anything is started, so that a slot freed by
  // one is not given to another of them.
  for (const TaskId it : tasks) internal::RemoveTask(ctx, it);
  internal::StartQueuedAttempts(ctx);
}

void ApplyDrainReport(GroupState* state, const BackendServerId& id,
                      Incarnation incarnation, bool draining, Millis now,
                      Random* random, Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  ServerState* server = FindServer(state, id);
  if (server == nullptr) return;
  if (!UpdateDrainState(server, incarnation, draining, state->policy, now)) {
    return;
  }
  Decision decision;
  decision.kind = draining ? DecisionKind::kDrain : DecisionKind::kRestore;
  decision.server = static_cast<uint32_t>(server - state->servers.data());
  actions->emplace_back(decision);
  if (!draining && state->policy.connections.owner) {
    PreconnectAll(ctx, decision.server);
  }
  internal::RequeueAll(ctx);
  internal::StartQueuedAttempts(ctx);
}

void Tick(GroupState* state, Millis now, Random* random, Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  while (!state->timers.empty() && state->timers.begin()->at <= now) {
    const Timer timer = *state->timers.begin();
    state->timers.erase(state->timers.begin());
    OnTimer(ctx, timer);
  }
  internal::StartQueuedAttempts(ctx);
}

Millis NextDue(const GroupState& state) {
  return state.timers.empty() ? kNever : state.timers.begin()->at;
}

int SlotsInUse(const GroupState& state) {
  int n = 0;
  for (const auto& it : state.servers) n += it.in_flight;
  return n;
}

}  // namespace hibiscuspick::limits
