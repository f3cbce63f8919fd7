#include "hibiscuspick/limits/group.h"

#include <algorithm>
#include <utility>

#include "group_internal.h"

namespace hibiscuspick::limits {
namespace {

using internal::Step;

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
    fresh.cold_since = now;
    *server = fresh;
  }
  server->config = config;
}

// Adds or updates one server and returns its index.
uint32_t TakeConfig(GroupState* state, const settings::BackendServer& config,
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
  if (state->configured) fresh.cold_since = now;
  state->servers.push_back(std::move(fresh));
  return next;
}

void PrepareAll(const Step& step, uint32_t index) {
  const int n = step.state->policy.connections.warm;
  for (int i = 0; i < n; ++i) {
    step.actions->emplace_back(PrepareConnection{index});
  }
}

void Refuse(const Step& step, const NewTask& work, Code code) {
  Decision decision;
  decision.kind = DecisionKind::kRefuse;
  decision.task = work.task;
  decision.lane = work.lane;
  decision.code = code;
  decision.waiting = Waiting(step.state->queues);
  step.actions->emplace_back(decision);
  TaskDone done;
  done.task = work.task;
  done.code = code;
  // The task was never queued, so no attempt was made.
  done.ran = Ran::kNo;
  step.actions->emplace_back(done);
}

// Minimum starts for a meaningful rate.
constexpr double kEnoughStarts = 20;

// Estimates how long the tasks queued in the lane will take at its recent start
// rate. Unlike the estimate from latency, this accounts for the capacity taken
// by more urgent lanes.
Millis WaitByRate(const Step& step, const TaskState& task) {
  const GroupState& state = *step.state;
  const Lane lane = state.policy.lanes_enabled ? task.work.lane : Lane::kUrgent;
  const size_t n = LaneIndex(lane);
  const double rate = internal::StartsPerMilli(state.start_rates[n], step.now);
  if (state.start_rates[n].starts < kEnoughStarts || rate <= 0) {
    return Millis(0);
  }
  return Millis(static_cast<double>(state.queues.lanes[n].size) / rate);
}

// Estimates when a task queued for these servers would finish, from the tasks
// ahead of it and recent latencies.
Millis ExpectedEnd(const Step& step, const TaskState& task) {
  const GroupState& state = *step.state;
  int capacity = 0;
  int taken = 0;
  for (const uint32_t it : task.candidates) {
    const ServerState& server = state.servers[it];
    if (!TakesNewWork(server, step.now) || server.ejected) continue;
    capacity += Capacity(server, state.policy, step.now);
    taken += server.in_flight;
  }
  const Millis typical = internal::LaneLatency(state, task.work.lane, 0.5);
  if (capacity == 0 || taken < capacity) return step.now + typical;
  const bool lanes = state.policy.lanes_enabled;
  const size_t ahead =
      CountAhead(state.queues, lanes ? task.work.lane : Lane::kUrgent,
                 lanes ? task.work.deadline : step.now);
  const double turns = static_cast<double>(ahead + 1) / capacity;
  return step.now + Max(typical * turns, WaitByRate(step, task)) + typical;
}

// Returns kOk to admit the task, or the code to refuse it with.
Code CheckAtTheDoor(const Step& step, const TaskState& task) {
  const GroupState& state = *step.state;
  const Lane lane = state.policy.lanes_enabled ? task.work.lane : Lane::kUrgent;
  const size_t n = LaneIndex(lane);
  if (state.queues.lanes[n].size >= state.policy.lanes[n].queue_limit) {
    return Code::kQueueFull;
  }
  if (task.work.deadline <= step.now) return Code::kDeadlineUnreachable;
  // A task that misses its deadline still uses slots that others need. Without
  // this check, under overload every task would be answered late.
  if (state.policy.refusal_enabled &&
      ExpectedEnd(step, task) > task.work.deadline) {
    return Code::kDeadlineUnreachable;
  }
  return Code::kOk;
}

void CountRefusal(GroupCounters* counters, Code code) {
  if (code == Code::kQueueFull) ++counters->refused_queue_full;
  if (code == Code::kDeadlineUnreachable) ++counters->refused_unreachable;
  if (code == Code::kNoServer) ++counters->refused_no_server;
}

void OnTaskDeadline(const Step& step, TaskId id) {
  internal::FinishTask(step, id, Code::kDeadlineExceeded, {});
}

void OnHedgeTime(const Step& step, TaskId id) {
  GroupState& state = *step.state;
  const auto it = state.tasks.find(id);
  if (it == state.tasks.end()) return;
  TaskState& task = it->second;
  if (task.hedged || task.waits || task.running.size() != 1) return;
  const auto kind = AttemptKind::kHedge;
  if (internal::EligibleServers(step, task, kind).empty()) return;
  task.hedged = true;
  if (!TakeBudget(&state.budget, state.policy.budget, step.now)) {
    ++state.counters.hedges_denied;
    step.actions->emplace_back(
        internal::MakeDecision(step, DecisionKind::kHedgeDenied, task));
    return;
  }
  task.paid = true;
  const bool first =
      state.policy.hedge.first_in_line && task.work.lane == Lane::kUrgent;
  internal::QueueTask(step, &task, kind, first);
  internal::StartWhatFits(step);
  const auto after = state.tasks.find(id);
  if (first || after == state.tasks.end() || !after->second.waits) return;
  // A hedge that waits in the queue would come too late to help, and would take
  // a slot from tasks that have had no attempt yet.
  internal::UnqueueTask(step, &after->second);
  internal::ReturnIfPaid(step, &after->second.paid);
}

void OnTimer(const Step& step, const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::kTask:
      OnTaskDeadline(step, TaskId(timer.id));
      return;
    case TimerKind::kHedge:
      OnHedgeTime(step, TaskId(timer.id));
      return;
    case TimerKind::kSlot:
      internal::ReleaseSlot(step, AttemptId(timer.id));
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
  const Step step{state, now, random, actions};
  if (!state->configured) {
    state->budget = {policy.budget.burst, now};
  }
  const bool becomes_owner =
      policy.connections.owner &&
      !(state->configured && state->policy.connections.owner);
  state->policy = policy;
  std::vector<bool> named(state->servers.size(), false);
  for (const auto& config : servers) {
    const uint32_t index = TakeConfig(state, config, now);
    const bool is_new = index >= named.size();
    if (is_new) named.push_back(false);
    named[index] = true;
    // Only owners open connections in advance: if all instances did, they would
    // exhaust the servers' connection limits.
    if (becomes_owner || (is_new && policy.connections.owner)) {
      PrepareAll(step, index);
    }
  }
  for (size_t i = 0; i < named.size(); ++i) {
    ServerState& server = state->servers[i];
    server.removed = !named[i];
    server.drained = std::find(drained.begin(), drained.end(),
                               server.config.id) != drained.end();
  }
  state->configured = true;
  internal::RequeueAll(step);
  internal::StartWhatFits(step);
}

void AddTask(GroupState* state, const NewTask& work, Millis now, Random* random,
             Actions* actions) {
  const Step step{state, now, random, actions};
  ++state->counters.tasks;
  TaskState task;
  task.work = work;
  task.added = now;
  task.candidates = IndexesOf(*state, work.servers);
  Code code = CheckAtTheDoor(step, task);
  if (task.candidates.empty()) code = Code::kNoServer;
  if (code != Code::kOk) {
    CountRefusal(&state->counters, code);
    Refuse(step, work, code);
    return;
  }
  const auto it = state->tasks.emplace(work.task, std::move(task)).first;
  state->timers.insert({work.deadline, TimerKind::kTask, work.task.value});
  internal::QueueTask(step, &it->second, AttemptKind::kFirst, false);
  internal::StartWhatFits(step);
}

void CancelTasks(GroupState* state, const std::vector<TaskId>& tasks,
                 Millis now, Random* random, Actions* actions) {
  const Step step{state, now, random, actions};
  // All tasks are removed before anything is started, so that a slot freed by
  // one is not given to another of them.
  for (const TaskId it : tasks) internal::ForgetTask(step, it);
  internal::StartWhatFits(step);
}

void TakeServerNews(GroupState* state, const BackendServerId& id,
                    Incarnation incarnation, bool draining, Millis now,
                    Random* random, Actions* actions) {
  const Step step{state, now, random, actions};
  ServerState* server = FindServer(state, id);
  if (server == nullptr) return;
  if (!TakeNews(server, incarnation, draining, state->policy, now)) return;
  Decision decision;
  decision.kind = draining ? DecisionKind::kDrain : DecisionKind::kRestore;
  decision.server = static_cast<uint32_t>(server - state->servers.data());
  actions->emplace_back(decision);
  if (!draining && state->policy.connections.owner) {
    PrepareAll(step, decision.server);
  }
  internal::RequeueAll(step);
  internal::StartWhatFits(step);
}

void Tick(GroupState* state, Millis now, Random* random, Actions* actions) {
  const Step step{state, now, random, actions};
  while (!state->timers.empty() && state->timers.begin()->at <= now) {
    const Timer timer = *state->timers.begin();
    state->timers.erase(state->timers.begin());
    OnTimer(step, timer);
  }
  internal::StartWhatFits(step);
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
