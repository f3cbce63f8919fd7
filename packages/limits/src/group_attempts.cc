#include <algorithm>
#include <utility>

#include "group_internal.h"

namespace hibiscuspick::limits {
namespace internal {
namespace {

// Whether the code shows that the attempt is not running at the server: a
// complete reply came, or nothing was sent. A wrong echo is the reply to
// another attempt, so this attempt may still be running.
bool IsServerDone(Code code) {
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

void CountStart(const EventContext& ctx, AttemptKind kind) {
  GroupCounters& counters = ctx.state->counters;
  if (kind == AttemptKind::kHedge) {
    ++counters.hedges;
  } else if (kind == AttemptKind::kRetry) {
    ++counters.retries;
  } else {
    ++counters.first_attempts;
    CreditFirstAttempt(&ctx.state->budget, ctx.state->policy.budget);
  }
}

void ArmHedge(const EventContext& ctx, const TaskState& task) {
  const HedgePolicy& policy = ctx.state->policy.hedge;
  if (!policy.enabled || !task.work.idempotent || task.hedged) return;
  if (task.work.lane > policy.lowest_lane) return;
  if (task.candidates.size() < 2) return;
  const Millis measured =
      LaneLatency(*ctx.state, task.work.lane, policy.quantile);
  const Millis delay = measured == Millis(0) ? policy.default_delay
                                             : Max(policy.min_delay, measured);
  const Millis at = ctx.now + delay;
  if (at >= task.work.deadline) return;
  ctx.state->timers.insert({at, TimerKind::kHedge, task.work.task.value});
}

// Ratio of median latencies, bulk to urgent, above which bulk counts as long.
constexpr double kLongBulkRatio = 2;

void UpdateBulkIsLong(GroupState* state) {
  const LatencySketch& bulk = state->latency[LaneIndex(Lane::kBulk)];
  const LatencySketch& urgent = state->latency[LaneIndex(Lane::kUrgent)];
  if (bulk.total < kMinSamples || urgent.total < kMinSamples) return;
  state->bulk_is_long =
      Quantile(bulk, 0.5) > Quantile(urgent, 0.5) * kLongBulkRatio;
}

// Whether a task may be retried after this failure.
bool MayRetry(const EventContext& ctx, const TaskState& task, Code code) {
  GroupState& state = *ctx.state;
  if (!task.work.idempotent) return false;
  if (code == Code::kReplyTooLarge) return false;
  if (task.attempts_sent >=
      static_cast<uint32_t>(state.policy.retry.max_attempts)) {
    return false;
  }
  // The server did not run the attempt, and its held versions are remembered,
  // so that this occurs once per server and version rather than per task. Such
  // retries do not draw on the budget, which would otherwise run out whenever
  // versions change.
  if (code == Code::kVersionNotHeld) return true;
  if (TakeExtraAttempt(&state.budget, state.policy.budget, ctx.now)) {
    return true;
  }
  ++state.counters.retries_denied;
  Decision decision = MakeDecision(ctx, DecisionKind::kRetryDenied, task);
  decision.code = code;
  ctx.actions->emplace_back(decision);
  return false;
}

void HandleFailure(const EventContext& ctx, TaskState* task, Code code) {
  task->last_code = code;
  // Another attempt is in flight or queued and may still succeed.
  if (!task->running.empty() || task->is_queued) return;
  if (!MayRetry(ctx, *task, code)) {
    FinishTask(ctx, task->work.task, code, {});
    return;
  }
  // A retry after kVersionNotHeld is not charged, see MayRetry.
  task->charged = code != Code::kVersionNotHeld;
  QueueTask(ctx, task, AttemptKind::kRetry, false);
}

}  // namespace

void ReleaseSlot(const EventContext& ctx, AttemptId id) {
  GroupState& state = *ctx.state;
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

void AbandonAttempt(const EventContext& ctx, AttemptId id) {
  GroupState& state = *ctx.state;
  const auto it = state.attempts.find(id);
  if (it == state.attempts.end() || it->second.abandoned) return;
  AttemptState& attempt = it->second;
  if (!attempt.sent) {
    ReturnIfCharged(ctx, &attempt.charged);
    ReleaseSlot(ctx, id);
    return;
  }
  RecordAbandoned(ctx, attempt);
  ++state.counters.cancels;
  ctx.actions->emplace_back(CancelAttempt{id, attempt.server});
  // The attempt's connection is closed. Opening a replacement now spares the
  // next attempt the connect time.
  if (state.policy.connections.owner &&
      state.policy.connections.preconnect > 0) {
    ctx.actions->emplace_back(Preconnect{attempt.server});
  }
  attempt.abandoned = true;
  ++state.servers[attempt.server].abandoned;
  // The server may still run the attempt. If its slot were reused now, the next
  // attempt would be shed or queue at the server.
  state.timers.insert(
      {attempt.deadline + state.policy.slot_grace, TimerKind::kSlot, id.value});
  if (!state.policy.slots_enabled) ReleaseSlot(ctx, id);
}

void RemoveTask(const EventContext& ctx, TaskId id) {
  GroupState& state = *ctx.state;
  const auto it = state.tasks.find(id);
  if (it == state.tasks.end()) return;
  TaskState task = std::move(it->second);
  ReturnIfCharged(ctx, &task.charged);
  DequeueTask(ctx, &task);
  state.timers.erase({task.work.deadline, TimerKind::kTask, id.value});
  state.tasks.erase(it);
  for (const AttemptId attempt : task.running) AbandonAttempt(ctx, attempt);
}

void FinishTask(const EventContext& ctx, TaskId id, Code code,
                AttemptId winner) {
  const auto it = ctx.state->tasks.find(id);
  if (it == ctx.state->tasks.end()) return;
  const TaskState& task = it->second;
  TaskDone done;
  done.task = id;
  done.code = code;
  done.ran = task.attempts_sent == 0 ? Ran::kNo : Ran::kMaybe;
  done.attempts = task.attempts_sent;
  done.winner = winner;
  done.held = task.held;
  ctx.actions->emplace_back(std::move(done));
  RemoveTask(ctx, id);
}

}  // namespace internal

using internal::EventContext;

bool MayStart(GroupState* state, AttemptId id, Millis now, Random* random,
              Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  const auto it = state->attempts.find(id);
  if (it == state->attempts.end() || it->second.abandoned) return false;
  AttemptState& attempt = it->second;
  TaskState& task = state->tasks.at(attempt.task);
  const bool in_time = now < attempt.deadline;
  // The server may have started to drain while the attempt waited for a thread.
  const bool takes_work = AcceptsNewWork(state->servers[attempt.server], now);
  if (in_time && takes_work) {
    attempt.sent = true;
    attempt.sent_at = now;
    ++task.attempts_sent;
    internal::CountStart(ctx, attempt.kind);
    internal::ArmHedge(ctx, task);
    return true;
  }
  ++state->counters.stopped_before_send;
  const AttemptKind kind = attempt.kind;
  task.charged = attempt.charged;
  internal::RemoveRunning(&task, id);
  internal::ReleaseSlot(ctx, id);
  if (!in_time) {
    internal::FinishTask(ctx, task.work.task, Code::kDeadlineExceeded, {});
  } else {
    internal::QueueTask(ctx, &task, kind, false);
  }
  internal::StartQueuedAttempts(ctx);
  return false;
}

void FinishAttempt(GroupState* state, const AttemptReport& report, Millis now,
                   Random* random, Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  const auto it = state->attempts.find(report.attempt);
  if (it == state->attempts.end()) return;
  const AttemptState attempt = it->second;
  ServerState& server = state->servers[attempt.server];
  if (report.draining || report.incarnation.value != 0) {
    ApplyDrainReport(state, server.config.id, report.incarnation,
                     report.draining, now, random, actions);
  }
  if (report.code == Code::kVersionNotHeld) {
    server.held = {report.held, now};
  }
  if (report.code == Code::kOk) {
    RecordLatency(&server, report.latency, now);
    AddSample(&state->latency[LaneIndex(attempt.lane)], report.latency);
    if (attempt.lane == Lane::kBulk) internal::UpdateBulkIsLong(state);
  }
  internal::RecordResult(ctx, attempt.server, report.code);
  if (attempt.abandoned) {
    if (internal::IsServerDone(report.code)) {
      internal::ReleaseSlot(ctx, report.attempt);
    }
    internal::StartQueuedAttempts(ctx);
    return;
  }
  TaskState& task = state->tasks.at(attempt.task);
  internal::RemoveRunning(&task, report.attempt);
  if (internal::IsServerDone(report.code)) {
    internal::ReleaseSlot(ctx, report.attempt);
  } else {
    internal::AbandonAttempt(ctx, report.attempt);
  }
  // Nothing was sent, so the attempt does not count.
  if (report.code == Code::kConnectFailed) --task.attempts_sent;
  for (const auto& version : report.held) task.held.push_back(version);
  // The I/O timeout may fire slightly before the deadline.
  if (now >= attempt.deadline || report.code == Code::kDeadlineExceeded) {
    internal::FinishTask(ctx, attempt.task, Code::kDeadlineExceeded, {});
  } else if (report.code == Code::kOk) {
    if (attempt.kind == AttemptKind::kHedge) ++state->counters.hedges_won;
    internal::FinishTask(ctx, attempt.task, Code::kOk, report.attempt);
  } else {
    internal::HandleFailure(ctx, &task, report.code);
  }
  internal::StartQueuedAttempts(ctx);
}

void ConfirmCancel(GroupState* state, AttemptId attempt, Millis now,
                   Random* random, Actions* actions) {
  const EventContext ctx{state, now, random, actions};
  const auto it = state->attempts.find(attempt);
  if (it == state->attempts.end() || !it->second.abandoned) return;
  internal::ReleaseSlot(ctx, attempt);
  internal::StartQueuedAttempts(ctx);
}

}  // namespace hibiscuspick::limits
