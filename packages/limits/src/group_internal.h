// Functions shared by the source files of group.h.
#pragma once

#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::limits::internal {

// Context of the event being handled.
struct EventContext {
  GroupState* state;
  Millis now;
  Random* random;
  Actions* actions;
};

// Minimum samples for a meaningful latency quantile of a lane.
inline constexpr float kMinSamples = 20;

// The latency quantile of the lane or, if it has fewer than kMinSamples, of
// another lane that has enough; 0 if none has.
Millis LaneLatency(const GroupState& state, Lane lane, double quantile);

// Recent start rate of a lane, see StartRate.
void RecordStart(StartRate* rate, Millis now);
double StartsPerMillisecond(const StartRate& rate, Millis now);

// Queued tasks (group_queue.cc).

// The candidates for the task's next attempt. A hedge only goes to servers not
// tried yet; other attempts may return to a server that failed when no untried
// one is left.
ServerSet EligibleServers(const EventContext& ctx, const TaskState& task,
                          AttemptKind kind);

// Queues the task, or finishes it if no server may take it.
void QueueTask(const EventContext& ctx, TaskState* task, AttemptKind kind,
               bool prioritized);

// Removes the task from its queue if it is queued.
void DequeueTask(const EventContext& ctx, TaskState* task);

// Requeues all queued tasks after a change of the servers.
void RequeueAll(const EventContext& ctx);

// Returns the token of a charged attempt that was not made.
void ReturnIfCharged(const EventContext& ctx, bool* charged);

// Starts queued attempts while servers have capacity.
void StartQueuedAttempts(const EventContext& ctx);

// Attempts (group_attempts.cc).

// Frees the attempt's slot and removes the attempt.
void ReleaseSlot(const EventContext& ctx, AttemptId attempt);

// Abandons an attempt that is no longer needed: requests its cancellation and
// keeps its slot in use until its end is observed or slot_grace after its
// deadline.
void AbandonAttempt(const EventContext& ctx, AttemptId attempt);

// Finishes the task with a TaskDone and abandons its running attempts.
void FinishTask(const EventContext& ctx, TaskId task, Code code,
                AttemptId winner);

// As FinishTask, but without a TaskDone.
void RemoveTask(const EventContext& ctx, TaskId task);

// Health (group_health.cc).

// Updates the health of a server from the result of an attempt.
void RecordResult(const EventContext& ctx, uint32_t server, Code code);

// Updates latency and health from an attempt that is being abandoned.
void RecordAbandoned(const EventContext& ctx, const AttemptState& attempt);

Decision MakeDecision(const EventContext& ctx, DecisionKind kind,
                      const TaskState& task);

}  // namespace hibiscuspick::limits::internal
