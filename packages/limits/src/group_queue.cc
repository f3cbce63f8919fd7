#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "group_internal.h"

namespace hibiscuspick::limits::internal {
namespace {

// A queued task is dropped if its remaining time is below this quantile of the
// lane's latency, since it would probably finish late. While others wait, its
// slot is better used for them: an overloaded earliest-deadline-first queue
// would otherwise spend its slots on tasks that are already too late. With an
// empty queue the attempt delays nobody, so only nearly hopeless tasks are
// dropped.
constexpr double kDropQuantileBusy = 0.75;
constexpr double kDropQuantileIdle = 0.05;

constexpr Millis kRateWindow{1000};

double DecayedStarts(const StartRate& rate, Millis now) {
  return rate.starts * std::exp((rate.at - now).count / kRateWindow.count);
}

bool Contains(const ServerSet& set, uint32_t server) {
  return std::find(set.begin(), set.end(), server) != set.end();
}

bool IsRunningAt(const GroupState& state, const TaskState& task,
                 uint32_t server) {
  return std::any_of(task.running.begin(), task.running.end(), [&](auto& it) {
    const auto attempt = state.attempts.find(it);
    return attempt != state.attempts.end() && attempt->second.server == server;
  });
}

// Whether the set has only ejected servers. One attempt at a time is then sent
// there as a probe, since it costs less than failing the shard without trying.
bool HasOnlyEjected(const EventContext& ctx, const ServerSet& set) {
  return std::all_of(set.begin(), set.end(), [&](uint32_t it) {
    const ServerState& server = ctx.state->servers[it];
    return server.ejected || !AcceptsNewWork(server, ctx.now);
  });
}

// The rule that applies to the lane's next attempt; kNone for all lanes
// but bulk.
BulkReservation ReservationFor(const GroupState& state, Lane lane) {
  const GroupPolicy& policy = state.policy;
  const bool applies =
      lane == Lane::kBulk && policy.slots_enabled && policy.lanes_enabled;
  if (!applies) return BulkReservation::kNone;
  if (policy.bulk_reservation != BulkReservation::kAdaptive) {
    return policy.bulk_reservation;
  }
  return state.bulk_is_long ? BulkReservation::kPerServer
                            : BulkReservation::kPerShard;
}

// Whether bulk attempts use all slots of the set but one. As in
// HasCapacityForBulk, a set with a single slot is exempt.
bool IsBulkAtLimit(const EventContext& ctx, const ServerSet& set) {
  int capacity = 0;
  int bulk = 0;
  for (const uint32_t it : set) {
    const ServerState& server = ctx.state->servers[it];
    if (!AcceptsNewWork(server, ctx.now) || server.ejected) continue;
    capacity += Capacity(server, ctx.state->policy, ctx.now);
    bulk += server.bulk_in_flight;
  }
  return capacity > 1 && bulk >= capacity - 1;
}

ServerSet WithCapacity(const EventContext& ctx, Lane lane,
                       const ServerSet& set) {
  const GroupPolicy& policy = ctx.state->policy;
  const BulkReservation rule = ReservationFor(*ctx.state, lane);
  if (rule == BulkReservation::kPerShard && IsBulkAtLimit(ctx, set)) return {};
  const bool allow_probe = HasOnlyEjected(ctx, set);
  ServerSet found;
  for (const uint32_t it : set) {
    const ServerState& server = ctx.state->servers[it];
    if (!HasCapacity(server, policy, ctx.now, allow_probe)) continue;
    if (rule == BulkReservation::kPerServer &&
        !HasCapacityForBulk(server, policy, ctx.now)) {
      continue;
    }
    found.push_back(it);
  }
  return found;
}

// The cost of choosing the server. A server in slow start is skipped with a
// probability that falls as it warms up, so that it gets some load.
double CostOf(const EventContext& ctx, uint32_t index) {
  const ServerState& server = ctx.state->servers[index];
  const double factor = SlowStartFactor(server, ctx.state->policy, ctx.now);
  const bool skipped = factor < 1 && ctx.random->Fraction() >= factor;
  return skipped ? std::numeric_limits<double>::max() : Cost(server, ctx.now);
}

// Power of two choices: the better of two random servers. Always taking the
// best would send all instances to the same server at once.
uint32_t ChooseServer(const EventContext& ctx, const ServerSet& set) {
  const size_t first = ctx.random->Below(set.size());
  if (!ctx.state->policy.two_choices || set.size() == 1) return set[first];
  size_t second = ctx.random->Below(set.size() - 1);
  if (second >= first) ++second;
  const double first_cost = CostOf(ctx, set[first]);
  const double second_cost = CostOf(ctx, set[second]);
  return second_cost < first_cost ? set[second] : set[first];
}

void Start(const EventContext& ctx, TaskState* task, uint32_t index) {
  GroupState& state = *ctx.state;
  ServerState& server = state.servers[index];
  const AttemptId id(state.next_attempt++);
  AttemptState& attempt = state.attempts[id];
  attempt.task = task->work.task;
  attempt.server = index;
  attempt.lane = task->work.lane;
  attempt.version = task->work.version;
  attempt.deadline = task->work.deadline;
  attempt.kind = task->next_kind;
  attempt.charged = task->charged;
  task->charged = false;
  ++server.in_flight;
  if (task->work.lane == Lane::kBulk) ++server.bulk_in_flight;
  RecordStart(&state.start_rates[LaneIndex(task->position.lane)], ctx.now);
  task->running.push_back(id);
  task->tried.push_back(index);
  Decision decision = MakeDecision(ctx, DecisionKind::kStart, *task);
  decision.attempt = id;
  decision.server = index;
  ctx.actions->emplace_back(decision);
  ctx.actions->emplace_back(StartAttempt{id, task->work.task, index,
                                         task->work.deadline, task->next_kind});
}

bool CannotMeetDeadline(const EventContext& ctx, const TaskState& task) {
  if (!ctx.state->policy.admission_control_enabled) return false;
  const LaneQueue& queue =
      ctx.state->queues.lanes[LaneIndex(task.position.lane)];
  const double quantile =
      queue.size > 0 ? kDropQuantileBusy : kDropQuantileIdle;
  const Millis min_latency = LaneLatency(*ctx.state, task.work.lane, quantile);
  return ctx.now + min_latency > task.work.deadline;
}

void DropTask(const EventContext& ctx, const TaskState& task) {
  ++ctx.state->counters.dropped_waiting;
  Decision decision = MakeDecision(ctx, DecisionKind::kDrop, task);
  decision.code = Code::kDeadlineUnreachable;
  ctx.actions->emplace_back(decision);
  const Code code =
      task.last_code == Code::kOk ? Code::kDeadlineUnreachable : task.last_code;
  FinishTask(ctx, task.work.task, code, {});
}

// Processes the entry at the head of the queue: drops it, queues it anew if its
// eligible servers have changed, or starts it.
void ProcessHead(const EventContext& ctx, const QueuePosition& position) {
  TaskState& task = ctx.state->tasks.at(position.entry.task);
  const bool prioritized = !position.entry.not_prioritized;
  DequeueTask(ctx, &task);
  if (task.running.empty() && CannotMeetDeadline(ctx, task)) {
    DropTask(ctx, task);
    return;
  }
  const ServerSet now_eligible = EligibleServers(ctx, task, task.next_kind);
  if (now_eligible != position.servers) {
    QueueTask(ctx, &task, task.next_kind, prioritized);
    return;
  }
  Start(ctx, &task,
        ChooseServer(ctx, WithCapacity(ctx, task.work.lane, position.servers)));
}

// Handles a task that no server may take. If another attempt is running,
// nothing more is done; otherwise the task fails, with kVersionNotHeld and the
// held versions if that is the reason.
void FailTask(const EventContext& ctx, TaskState* task) {
  if (!task->running.empty()) return;
  Code code = task->last_code == Code::kOk ? Code::kNoServer : task->last_code;
  for (const uint32_t it : task->candidates) {
    const ServerState& server = ctx.state->servers[it];
    if (!AcceptsNewWork(server, ctx.now)) continue;
    if (!LacksVersion(server, task->work.version, ctx.state->policy, ctx.now)) {
      continue;
    }
    code = Code::kVersionNotHeld;
    for (const auto& version : server.held.versions) {
      task->held.push_back(version);
    }
  }
  if (code == Code::kNoServer) ++ctx.state->counters.refused_no_server;
  Decision decision = MakeDecision(ctx, DecisionKind::kRefuse, *task);
  decision.code = code;
  ctx.actions->emplace_back(decision);
  FinishTask(ctx, task->work.task, code, {});
}

}  // namespace

ServerSet EligibleServers(const EventContext& ctx, const TaskState& task,
                          AttemptKind kind) {
  const GroupState& state = *ctx.state;
  ServerSet untried;
  ServerSet tried;
  for (const uint32_t it : task.candidates) {
    const ServerState& server = state.servers[it];
    if (!AcceptsNewWork(server, ctx.now)) continue;
    if (LacksVersion(server, task.work.version, state.policy, ctx.now)) {
      continue;
    }
    if (IsRunningAt(state, task, it)) continue;
    (Contains(task.tried, it) ? tried : untried).push_back(it);
  }
  if (kind == AttemptKind::kHedge || !untried.empty()) return untried;
  return tried;
}

void QueueTask(const EventContext& ctx, TaskState* task, AttemptKind kind,
               bool prioritized) {
  GroupState& state = *ctx.state;
  ServerSet servers = EligibleServers(ctx, *task, kind);
  if (servers.empty()) {
    ReturnIfCharged(ctx, &task->charged);
    FailTask(ctx, task);
    return;
  }
  const bool lanes_enabled = state.policy.lanes_enabled;
  task->next_kind = kind;
  task->is_queued = true;
  task->position.lane = lanes_enabled ? task->work.lane : Lane::kUrgent;
  task->position.servers = std::move(servers);
  task->position.entry = {
      .not_prioritized = !prioritized,
      .order = lanes_enabled ? task->work.deadline : task->added,
      .sequence = state.next_sequence++,
      .task = task->work.task};
  Enqueue(&state.queues, task->position);
}

void DequeueTask(const EventContext& ctx, TaskState* task) {
  if (!task->is_queued) return;
  Dequeue(&ctx.state->queues, task->position);
  task->is_queued = false;
}

void RequeueAll(const EventContext& ctx) {
  std::vector<TaskId> waiting;
  for (const auto& lane : ctx.state->queues.lanes) {
    for (const auto& it : lane.by_servers) {
      for (const auto& entry : it.second) waiting.push_back(entry.task);
    }
  }
  for (const TaskId it : waiting) {
    TaskState& task = ctx.state->tasks.at(it);
    const bool prioritized = !task.position.entry.not_prioritized;
    DequeueTask(ctx, &task);
    QueueTask(ctx, &task, task.next_kind, prioritized);
  }
}

void StartQueuedAttempts(const EventContext& ctx) {
  GroupState& state = *ctx.state;
  const auto has_capacity = [&](Lane lane, const ServerSet& set) {
    return !WithCapacity(ctx, lane, set).empty();
  };
  while (CountWaiting(state.queues) > 0) {
    const auto position =
        NextToStart(&state.queues, state.policy.lanes, has_capacity);
    if (!position) return;
    ProcessHead(ctx, *position);
  }
}

void ReturnIfCharged(const EventContext& ctx, bool* charged) {
  if (*charged) ReturnToken(&ctx.state->budget, ctx.state->policy.budget);
  *charged = false;
}

void RecordStart(StartRate* rate, Millis now) {
  rate->starts = DecayedStarts(*rate, now) + 1;
  rate->at = now;
}

double StartsPerMillisecond(const StartRate& rate, Millis now) {
  return DecayedStarts(rate, now) / kRateWindow.count;
}

Millis LaneLatency(const GroupState& state, Lane lane, double quantile) {
  const LatencySketch* best = &state.latency[LaneIndex(lane)];
  for (const auto& it : state.latency) {
    if (best->total >= kMinSamples) break;
    if (it.total > best->total) best = &it;
  }
  if (best->total < kMinSamples) return Millis(0);
  return Quantile(*best, quantile);
}

Decision MakeDecision(const EventContext& ctx, DecisionKind kind,
                      const TaskState& task) {
  Decision decision;
  decision.kind = kind;
  decision.task = task.work.task;
  decision.lane = task.work.lane;
  decision.attempt_kind = task.next_kind;
  decision.since_arrival = ctx.now - task.added;
  decision.waiting = CountWaiting(ctx.state->queues);
  return decision;
}

}  // namespace hibiscuspick::limits::internal
