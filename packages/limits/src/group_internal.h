// Functions shared by the source files of group.h.
#pragma once

#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::limits::internal {

// Context of the event being handled.
struct Step {
  GroupState* state;
  Millis now;
  Random* random;
  Actions* actions;
};

// Minimum samples for a meaningful latency quantile of a lane.
inline constexpr float kEnoughSamples = 20;

// The latency quantile of the lane or, if it has fewer than kMinSamples, of
// another lane that has enough; 0 if none has.
Millis LaneLatency(const GroupState& state, Lane lane, double quantile);

// Recent start rate of a lane, see StartRate.
void CountStartOf(StartRate* rate, Millis now);
double StartsPerMilli(const StartRate& rate, Millis now);

// Queued tasks (group_queue.cc).

// The candidates for the task's next attempt. A hedge only goes to servers not
// tried yet; other attempts may return to a server that failed when no untried
// one is left.
ServerSet EligibleServers(const Step& step, const TaskState& task,
                          AttemptKind kind);

// Queues the task, or finishes it if no server may take it.
void QueueTask(const Step& step, TaskState* task, AttemptKind kind,
               bool first_in_line);

// Removes the task from its queue if it is queued.
void UnqueueTask(const Step& step, TaskState* task);

// Requeues all queued tasks after a change of the servers.
void RequeueAll(const Step& step);

// Returns the token of a charged attempt that was not made.
void ReturnIfPaid(const Step& step, bool* paid);

// Starts queued attempts while servers have capacity.
void StartWhatFits(const Step& step);

// Attempts (group_attempts.cc).

// Frees the attempt's slot and removes the attempt.
void ReleaseSlot(const Step& step, AttemptId attempt);

// Abandons an attempt that is no longer needed: requests its cancellation and
// keeps its slot in use until its end is observed or slot_grace after its
// deadline.
void AbandonAttempt(const Step& step, AttemptId attempt);

// Finishes the task with a TaskDone and abandons its running attempts.
void FinishTask(const Step& step, TaskId task, Code code, AttemptId winner);

// As FinishTask, but without a TaskDone.
void ForgetTask(const Step& step, TaskId task);

// Health (group_health.cc).

// Updates the health of a server from the result of an attempt.
void NoteResult(const Step& step, uint32_t server, Code code);

// Updates latency and health from an attempt that is being abandoned.
void NoteAbandoned(const Step& step, const AttemptState& attempt);

Decision MakeDecision(const Step& step, DecisionKind kind,
                      const TaskState& task);

}  // namespace hibiscuspick::limits::internal
