// Steps shared by the files that make up the group's decisions.
#pragma once

#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::limits::internal {

// What every step needs of the event being handled.
struct Step {
  GroupState* state;
  Millis now;
  Random* random;
  Actions* actions;
};

// Samples below which a lane's latencies say nothing yet.
inline constexpr float kEnoughSamples = 20;

// The latency quantile of the lane, or of the best known lane if it has too
// few samples; 0 if none has enough.
Millis LaneLatency(const GroupState& state, Lane lane, double quantile);

// Starts of a lane in a millisecond, over the last second or so.
void CountStartOf(StartRate* rate, Millis now);
double StartsPerMilli(const StartRate& rate, Millis now);

// Waiting tasks (group_queue.cc).

// Candidates the task's next attempt may go to. A hedge goes to servers not
// tried yet; anything else may come back to one that failed.
ServerSet EligibleServers(const Step& step, const TaskState& task,
                          AttemptKind kind);

// Puts the task in line, or ends it if no server may take it.
void QueueTask(const Step& step, TaskState* task, AttemptKind kind,
               bool first_in_line);

// Takes the task out of line, if it waits.
void UnqueueTask(const Step& step, TaskState* task);

// Puts all waiting tasks in line again, after servers came or went.
void RequeueAll(const Step& step);

// Gives back an extra attempt that was taken from the budget but not made.
void ReturnIfPaid(const Step& step, bool* paid);

// Starts waiting attempts while servers have room.
void StartWhatFits(const Step& step);

// Attempts (group_attempts.cc).

// Frees the attempt's slot and forgets it.
void ReleaseSlot(const Step& step, AttemptId attempt);

// Nobody waits for the attempt any more: asks for its cancel and keeps its
// slot until the end is seen.
void AbandonAttempt(const Step& step, AttemptId attempt);

// Ends the task, says so, and abandons what still runs for it.
void FinishTask(const Step& step, TaskId task, Code code, AttemptId winner);

// As FinishTask, but nothing is said.
void ForgetTask(const Step& step, TaskId task);

// Health (group_health.cc).

// Takes note of what an attempt's end says about its server.
void NoteResult(const Step& step, uint32_t server, Code code);

// What an attempt that is given up now says about its server.
void NoteAbandoned(const Step& step, const AttemptState& attempt);

Decision MakeDecision(const Step& step, DecisionKind kind,
                      const TaskState& task);

}  // namespace hibiscuspick::limits::internal
