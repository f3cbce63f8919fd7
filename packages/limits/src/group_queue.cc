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
constexpr double kHopelessBusy = 0.75;
constexpr double kHopelessIdle = 0.05;

constexpr Millis kRateSpan{1000};

double Faded(const StartRate& rate, Millis now) {
  return rate.starts * std::exp((rate.at - now).count / kRateSpan.count);
}

bool Contains(const ServerSet& set, uint32_t server) {
  return std::find(set.begin(), set.end(), server) != set.end();
}

bool RunsAt(const GroupState& state, const TaskState& task, uint32_t server) {
  return std::any_of(task.running.begin(), task.running.end(), [&](auto& it) {
    const auto attempt = state.attempts.find(it);
    return attempt != state.attempts.end() && attempt->second.server == server;
  });
}

// Whether the set has only ejected servers. One attempt at a time is then sent
// there as a probe, since it costs less than failing the shard without trying.
bool IsDesperate(const Step& step, const ServerSet& set) {
  return std::all_of(set.begin(), set.end(), [&](uint32_t it) {
    const ServerState& server = step.state->servers[it];
    return server.ejected || !TakesNewWork(server, step.now);
  });
}

// The reservation that applies to the lane's next attempt; kNone for all lanes
// but bulk.
BulkRule RuleFor(const GroupState& state, Lane lane) {
  const GroupPolicy& policy = state.policy;
  const bool applies =
      lane == Lane::kBulk && policy.slots_enabled && policy.lanes_enabled;
  if (!applies) return BulkRule::kNone;
  if (policy.bulk_rule != BulkRule::kByLength) return policy.bulk_rule;
  return state.bulk_is_long ? BulkRule::kEachServer : BulkRule::kOneOfServers;
}

// Whether bulk attempts use all slots of the set but one. As in
// HasCapacityForBulk, a set with a single slot is exempt.
bool BulkHasItsShare(const Step& step, const ServerSet& set) {
  int capacity = 0;
  int bulk = 0;
  for (const uint32_t it : set) {
    const ServerState& server = step.state->servers[it];
    if (!TakesNewWork(server, step.now) || server.ejected) continue;
    capacity += Capacity(server, step.state->policy, step.now);
    bulk += server.bulk_in_flight;
  }
  return capacity > 1 && bulk >= capacity - 1;
}

ServerSet WithRoom(const Step& step, Lane lane, const ServerSet& set) {
  const GroupPolicy& policy = step.state->policy;
  const BulkRule rule = RuleFor(*step.state, lane);
  if (rule == BulkRule::kOneOfServers && BulkHasItsShare(step, set)) return {};
  const bool desperate = IsDesperate(step, set);
  ServerSet found;
  for (const uint32_t it : set) {
    const ServerState& server = step.state->servers[it];
    if (!HasRoom(server, policy, step.now, desperate)) continue;
    if (rule == BulkRule::kEachServer &&
        !HasRoomForBulk(server, policy, step.now)) {
      continue;
    }
    found.push_back(it);
  }
  return found;
}

// The cost of choosing the server. A server in slow start is skipped with a
// probability that falls as it warms up, so that it gets some load.
double CostOf(const Step& step, uint32_t index) {
  const ServerState& server = step.state->servers[index];
  const double warmth = Warmth(server, step.state->policy, step.now);
  const bool passed_over = warmth < 1 && step.random->Fraction() >= warmth;
  return passed_over ? std::numeric_limits<double>::max()
                     : Cost(server, step.now);
}

// Power of two choices: the better of two random servers. Always taking the
// best would send all instances to the same server at once.
uint32_t Choose(const Step& step, const ServerSet& set) {
  const size_t first = step.random->Below(set.size());
  if (!step.state->policy.choice_enabled || set.size() == 1) return set[first];
  size_t second = step.random->Below(set.size() - 1);
  if (second >= first) ++second;
  const double first_cost = CostOf(step, set[first]);
  const double second_cost = CostOf(step, set[second]);
  return second_cost < first_cost ? set[second] : set[first];
}

void Start(const Step& step, TaskState* task, uint32_t index) {
  GroupState& state = *step.state;
  ServerState& server = state.servers[index];
  const AttemptId id(state.next_attempt++);
  AttemptState& attempt = state.attempts[id];
  attempt.task = task->work.task;
  attempt.server = index;
  attempt.lane = task->work.lane;
  attempt.version = task->work.version;
  attempt.deadline = task->work.deadline;
  attempt.kind = task->next_kind;
  attempt.paid = task->paid;
  task->paid = false;
  ++server.in_flight;
  if (task->work.lane == Lane::kBulk) ++server.bulk_in_flight;
  CountStartOf(&state.start_rates[LaneIndex(task->place.lane)], step.now);
  task->running.push_back(id);
  task->tried.push_back(index);
  Decision decision = MakeDecision(step, DecisionKind::kStart, *task);
  decision.attempt = id;
  decision.server = index;
  step.actions->emplace_back(decision);
  step.actions->emplace_back(StartAttempt{
      id, task->work.task, index, task->work.deadline, task->next_kind});
}

bool IsHopeless(const Step& step, const TaskState& task) {
  if (!step.state->policy.refusal_enabled) return false;
  const LaneQueue& queue = step.state->queues.lanes[LaneIndex(task.place.lane)];
  const double quantile = queue.size > 0 ? kHopelessBusy : kHopelessIdle;
  const Millis least = LaneLatency(*step.state, task.work.lane, quantile);
  return step.now + least > task.work.deadline;
}

void DropHopeless(const Step& step, const TaskState& task) {
  ++step.state->counters.dropped_waiting;
  Decision decision = MakeDecision(step, DecisionKind::kDrop, task);
  decision.code = Code::kDeadlineUnreachable;
  step.actions->emplace_back(decision);
  const Code code =
      task.last_code == Code::kOk ? Code::kDeadlineUnreachable : task.last_code;
  FinishTask(step, task.work.task, code, {});
}

// Processes the entry at the head of the queue: drops it, queues it anew if its
// eligible servers have changed, or starts it.
void TakeHead(const Step& step, const QueuePlace& place) {
  TaskState& task = step.state->tasks.at(place.entry.task);
  const bool first_in_line = !place.entry.in_order;
  UnqueueTask(step, &task);
  if (task.running.empty() && IsHopeless(step, task)) {
    DropHopeless(step, task);
    return;
  }
  const ServerSet now_eligible = EligibleServers(step, task, task.next_kind);
  if (now_eligible != place.servers) {
    QueueTask(step, &task, task.next_kind, first_in_line);
    return;
  }
  Start(step, &task,
        Choose(step, WithRoom(step, task.work.lane, place.servers)));
}

// Handles a task that no server may take. If another attempt is running,
// nothing more is done; otherwise the task fails, with kVersionNotHeld and the
// held versions if that is the reason.
void GiveUp(const Step& step, TaskState* task) {
  if (!task->running.empty()) return;
  Code code = task->last_code == Code::kOk ? Code::kNoServer : task->last_code;
  for (const uint32_t it : task->candidates) {
    const ServerState& server = step.state->servers[it];
    if (!TakesNewWork(server, step.now)) continue;
    if (!KnownToLack(server, task->work.version, step.state->policy,
                     step.now)) {
      continue;
    }
    code = Code::kVersionNotHeld;
    for (const auto& version : server.held.versions) {
      task->held.push_back(version);
    }
  }
  if (code == Code::kNoServer) ++step.state->counters.refused_no_server;
  Decision decision = MakeDecision(step, DecisionKind::kRefuse, *task);
  decision.code = code;
  step.actions->emplace_back(decision);
  FinishTask(step, task->work.task, code, {});
}

}  // namespace

ServerSet EligibleServers(const Step& step, const TaskState& task,
                          AttemptKind kind) {
  const GroupState& state = *step.state;
  ServerSet untried;
  ServerSet tried;
  for (const uint32_t it : task.candidates) {
    const ServerState& server = state.servers[it];
    if (!TakesNewWork(server, step.now)) continue;
    if (KnownToLack(server, task.work.version, state.policy, step.now)) {
      continue;
    }
    if (RunsAt(state, task, it)) continue;
    (Contains(task.tried, it) ? tried : untried).push_back(it);
  }
  if (kind == AttemptKind::kHedge || !untried.empty()) return untried;
  return tried;
}

void QueueTask(const Step& step, TaskState* task, AttemptKind kind,
               bool first_in_line) {
  GroupState& state = *step.state;
  ServerSet servers = EligibleServers(step, *task, kind);
  if (servers.empty()) {
    ReturnIfPaid(step, &task->paid);
    GiveUp(step, task);
    return;
  }
  const bool lanes = state.policy.lanes_enabled;
  task->next_kind = kind;
  task->waits = true;
  task->place.lane = lanes ? task->work.lane : Lane::kUrgent;
  task->place.servers = std::move(servers);
  task->place.entry = {.in_order = !first_in_line,
                       .order = lanes ? task->work.deadline : task->added,
                       .sequence = state.next_sequence++,
                       .task = task->work.task};
  Enqueue(&state.queues, task->place);
}

void UnqueueTask(const Step& step, TaskState* task) {
  if (!task->waits) return;
  Dequeue(&step.state->queues, task->place);
  task->waits = false;
}

void RequeueAll(const Step& step) {
  std::vector<TaskId> waiting;
  for (const auto& lane : step.state->queues.lanes) {
    for (const auto& it : lane.by_servers) {
      for (const auto& entry : it.second) waiting.push_back(entry.task);
    }
  }
  for (const TaskId it : waiting) {
    TaskState& task = step.state->tasks.at(it);
    const bool first_in_line = !task.place.entry.in_order;
    UnqueueTask(step, &task);
    QueueTask(step, &task, task.next_kind, first_in_line);
  }
}

void StartWhatFits(const Step& step) {
  GroupState& state = *step.state;
  const auto fits = [&](Lane lane, const ServerSet& set) {
    return !WithRoom(step, lane, set).empty();
  };
  while (Waiting(state.queues) > 0) {
    const auto place = NextToStart(&state.queues, state.policy.lanes, fits);
    if (!place) return;
    TakeHead(step, *place);
  }
}

void ReturnIfPaid(const Step& step, bool* paid) {
  if (*paid) ReturnBudget(&step.state->budget, step.state->policy.budget);
  *paid = false;
}

void CountStartOf(StartRate* rate, Millis now) {
  rate->starts = Faded(*rate, now) + 1;
  rate->at = now;
}

double StartsPerMilli(const StartRate& rate, Millis now) {
  return Faded(rate, now) / kRateSpan.count;
}

Millis LaneLatency(const GroupState& state, Lane lane, double quantile) {
  const LatencySketch* best = &state.latency[LaneIndex(lane)];
  for (const auto& it : state.latency) {
    if (best->total >= kEnoughSamples) break;
    if (it.total > best->total) best = &it;
  }
  if (best->total < kEnoughSamples) return Millis(0);
  return Quantile(*best, quantile);
}

Decision MakeDecision(const Step& step, DecisionKind kind,
                      const TaskState& task) {
  Decision decision;
  decision.kind = kind;
  decision.task = task.work.task;
  decision.lane = task.work.lane;
  decision.attempt_kind = task.next_kind;
  decision.waited = step.now - task.added;
  decision.waiting = Waiting(step.state->queues);
  return decision;
}

}  // namespace hibiscuspick::limits::internal
