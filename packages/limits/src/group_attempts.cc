#include <algorithm>
#include <utility>

#include "group_internal.h"

namespace hibiscuspick::limits {
namespace internal {
namespace {

// Whether the code shows that the attempt is not running at the server: a
// complete reply came, or nothing was sent. A wrong echo is the reply to
// another attempt, so this attempt may still be running.
bool EndSeen(Code code) {
  switch (code) {
    case Code::kOk:
    case Code::kShed:
    case Code::kVersionNotHeld:
    case Code::kBackendError:
    case Code::kRecordFailed:
    case Code::kBadReply:
    case Code::kConnectFailed:
      return true;
    default:
      return false;
  }
}

void RemoveRunning(TaskState* task, AttemptId attempt) {
  std::erase(task->running, attempt);
}

void CountStart(const Step& step, AttemptKind kind) {
  GroupCounters& counters = step.state->counters;
  if (kind == AttemptKind::kHedge) {
    ++counters.hedges;
  } else if (kind == AttemptKind::kRetry) {
    ++counters.retries;
  } else {
    ++counters.first_attempts;
    EarnBudget(&step.state->budget, step.state->policy.budget);
  }
}

void ArmHedge(const Step& step, const TaskState& task) {
  const HedgePolicy& policy = step.state->policy.hedge;
  if (!policy.enabled || !task.work.idempotent || task.hedged) return;
  if (task.work.lane > policy.lowest_lane) return;
  if (task.candidates.size() < 2) return;
  const Millis measured =
      LaneLatency(*step.state, task.work.lane, policy.quantile);
  const Millis delay =
      measured == Millis(0) ? policy.cold : Max(policy.min, measured);
  const Millis at = step.now + delay;
  if (at >= task.work.deadline) return;
  step.state->timers.insert({at, TimerKind::kHedge, task.work.task.value});
}

// Ratio of median latencies, bulk to urgent, above which bulk counts as long.
constexpr double kMuchLonger = 2;

void JudgeBulkLength(GroupState* state) {
  const LatencySketch& bulk = state->latency[LaneIndex(Lane::kBulk)];
  const LatencySketch& urgent = state->latency[LaneIndex(Lane::kUrgent)];
  if (bulk.total < kEnoughSamples || urgent.total < kEnoughSamples) return;
  state->bulk_is_long =
      Quantile(bulk, 0.5) > Quantile(urgent, 0.5) * kMuchLonger;
}

// Whether a task may be retried after this failure.
bool MayRetry(const Step& step, const TaskState& task, Code code) {
  GroupState& state = *step.state;
  if (!task.work.idempotent) return false;
  if (code == Code::kReplyTooLarge) return false;
  if (task.handed >= static_cast<uint32_t>(state.policy.retry.max_attempts)) {
    return false;
  }
  // The server did not run the attempt, and its held versions are remembered,
  // so that this occurs once per server and version rather than per task. Such
  // retries do not draw on the budget, which would otherwise run out whenever
  // versions change.
  if (code == Code::kVersionNotHeld) return true;
  if (TakeBudget(&state.budget, state.policy.budget, step.now)) return true;
  ++state.counters.retries_denied;
  Decision decision = MakeDecision(step, DecisionKind::kRetryDenied, task);
  decision.code = code;
  step.actions->emplace_back(decision);
  return false;
}

void AfterFailure(const Step& step, TaskState* task, Code code) {
  task->last_code = code;
  // Another attempt is in flight or queued and may still succeed.
  if (!task->running.empty() || task->waits) return;
  if (!MayRetry(step, *task, code)) {
    FinishTask(step, task->work.task, code, {});
    return;
  }
  // A retry after kVersionNotHeld is not charged, see MayRetry.
  task->paid = code != Code::kVersionNotHeld;
  QueueTask(step, task, AttemptKind::kRetry, false);
}

}  // namespace

void ReleaseSlot(const Step& step, AttemptId id) {
  GroupState& state = *step.state;
  const auto it = state.attempts.find(id);
  if (it == state.attempts.end()) return;
  const AttemptState& attempt = it->second;
  ServerState& server = state.servers[attempt.server];
  --server.in_flight;
  if (attempt.lane == Lane::kBulk) --server.bulk_in_flight;
  if (attempt.abandoned) {
    --server.abandoned;
    state.timers.erase({attempt.deadline + state.policy.slot_grace,
                        TimerKind::kSlot, id.value});
  }
  state.attempts.erase(it);
}

void AbandonAttempt(const Step& step, AttemptId id) {
  GroupState& state = *step.state;
  const auto it = state.attempts.find(id);
  if (it == state.attempts.end() || it->second.abandoned) return;
  AttemptState& attempt = it->second;
  if (!attempt.handed) {
    ReturnIfPaid(step, &attempt.paid);
    ReleaseSlot(step, id);
    return;
  }
  NoteAbandoned(step, attempt);
  ++state.counters.cancels;
  step.actions->emplace_back(CancelAttempt{id, attempt.server});
  // The attempt's connection is closed. Opening a replacement now spares the
  // next attempt the connect time.
  if (state.policy.connections.owner && state.policy.connections.warm > 0) {
    step.actions->emplace_back(PrepareConnection{attempt.server});
  }
  attempt.abandoned = true;
  ++state.servers[attempt.server].abandoned;
  // The server may still run the attempt. If its slot were reused now, the next
  // attempt would be shed or queue at the server.
  state.timers.insert(
      {attempt.deadline + state.policy.slot_grace, TimerKind::kSlot, id.value});
  if (!state.policy.slots_enabled) ReleaseSlot(step, id);
}

void ForgetTask(const Step& step, TaskId id) {
  GroupState& state = *step.state;
  const auto it = state.tasks.find(id);
  if (it == state.tasks.end()) return;
  TaskState task = std::move(it->second);
  ReturnIfPaid(step, &task.paid);
  UnqueueTask(step, &task);
  state.timers.erase({task.work.deadline, TimerKind::kTask, id.value});
  state.tasks.erase(it);
  for (const AttemptId attempt : task.running) AbandonAttempt(step, attempt);
}

void FinishTask(const Step& step, TaskId id, Code code, AttemptId winner) {
  const auto it = step.state->tasks.find(id);
  if (it == step.state->tasks.end()) return;
  const TaskState& task = it->second;
  TaskDone done;
  done.task = id;
  done.code = code;
  done.ran = task.handed == 0 ? Ran::kNo : Ran::kMaybe;
  done.attempts = task.handed;
  done.winner = winner;
  done.held = task.held;
  step.actions->emplace_back(std::move(done));
  ForgetTask(step, id);
}

}  // namespace internal

using internal::Step;

bool MayStart(GroupState* state, AttemptId id, Millis now, Random* random,
              Actions* actions) {
  const Step step{state, now, random, actions};
  const auto it = state->attempts.find(id);
  if (it == state->attempts.end() || it->second.abandoned) return false;
  AttemptState& attempt = it->second;
  TaskState& task = state->tasks.at(attempt.task);
  const bool in_time = now < attempt.deadline;
  // The server may have started to drain while the attempt waited for a thread.
  const bool takes_work = TakesNewWork(state->servers[attempt.server], now);
  if (in_time && takes_work) {
    attempt.handed = true;
    attempt.handed_at = now;
    ++task.handed;
    internal::CountStart(step, attempt.kind);
    internal::ArmHedge(step, task);
    return true;
  }
  ++state->counters.stopped_before_socket;
  const AttemptKind kind = attempt.kind;
  task.paid = attempt.paid;
  internal::RemoveRunning(&task, id);
  internal::ReleaseSlot(step, id);
  if (!in_time) {
    internal::FinishTask(step, task.work.task, Code::kDeadlineExceeded, {});
  } else {
    internal::QueueTask(step, &task, kind, false);
  }
  internal::StartWhatFits(step);
  return false;
}

void FinishAttempt(GroupState* state, const AttemptReport& report, Millis now,
                   Random* random, Actions* actions) {
  const Step step{state, now, random, actions};
  const auto it = state->attempts.find(report.attempt);
  if (it == state->attempts.end()) return;
  const AttemptState attempt = it->second;
  ServerState& server = state->servers[attempt.server];
  if (report.draining || report.incarnation.value != 0) {
    TakeServerNews(state, server.config.id, report.incarnation, report.draining,
                   now, random, actions);
  }
  if (report.code == Code::kVersionNotHeld) {
    server.held = {report.held, now};
  }
  if (report.code == Code::kOk) {
    RecordLatency(&server, report.latency, now);
    AddSample(&state->latency[LaneIndex(attempt.lane)], report.latency);
    if (attempt.lane == Lane::kBulk) internal::JudgeBulkLength(state);
  }
  internal::NoteResult(step, attempt.server, report.code);
  if (attempt.abandoned) {
    if (internal::EndSeen(report.code)) {
      internal::ReleaseSlot(step, report.attempt);
    }
    internal::StartWhatFits(step);
    return;
  }
  TaskState& task = state->tasks.at(attempt.task);
  internal::RemoveRunning(&task, report.attempt);
  if (internal::EndSeen(report.code)) {
    internal::ReleaseSlot(step, report.attempt);
  } else {
    internal::AbandonAttempt(step, report.attempt);
  }
  // Nothing was sent, so the attempt does not count.
  if (report.code == Code::kConnectFailed) --task.handed;
  for (const auto& version : report.held) task.held.push_back(version);
  // The I/O timeout may fire slightly before the deadline.
  if (now >= attempt.deadline || report.code == Code::kDeadlineExceeded) {
    internal::FinishTask(step, attempt.task, Code::kDeadlineExceeded, {});
  } else if (report.code == Code::kOk) {
    if (attempt.kind == AttemptKind::kHedge) ++state->counters.hedges_won;
    internal::FinishTask(step, attempt.task, Code::kOk, report.attempt);
  } else {
    internal::AfterFailure(step, &task, report.code);
  }
  internal::StartWhatFits(step);
}

void ConfirmCancel(GroupState* state, AttemptId attempt, Millis now,
                   Random* random, Actions* actions) {
  const Step step{state, now, random, actions};
  const auto it = state->attempts.find(attempt);
  if (it == state->attempts.end() || !it->second.abandoned) return;
  internal::ReleaseSlot(step, attempt);
  internal::StartWhatFits(step);
}

}  // namespace hibiscuspick::limits
