// Scheduler state of one group: the backend servers of one service, the tasks
// queued for them and the attempts in flight. It has no threads, sockets or
// clocks: each function takes an event, the current time and a source of
// randomness, updates the state and appends the actions that the caller must
// perform.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/limits/extra_attempt_budget.h"
#include "hibiscuspick/limits/group_policy.h"
#include "hibiscuspick/limits/lane_queues.h"
#include "hibiscuspick/limits/latency_sketch.h"
#include "hibiscuspick/limits/server_state.h"

namespace hibiscuspick::limits {

enum class AttemptKind : uint8_t { kFirst, kHedge, kRetry };

// The work for one shard of a PartRequest, or a record.
struct NewTask {
  TaskId task;
  Lane lane = Lane::kOrdinary;
  // Absolute time on this process's steady clock.
  Millis deadline;
  std::vector<BackendServerId> servers;
  IndexVersion version;
  // False for a record: at most one attempt is ever sent.
  bool idempotent = true;
};

// The result of an attempt as observed by the I/O code.
struct AttemptReport {
  AttemptId attempt;
  Code code = Code::kOk;
  // Time from sending the request to the complete reply or the failure.
  Millis latency;
  // With kVersionNotHeld: the versions that the server holds.
  std::vector<IndexVersion> held;
  bool draining = false;
  // 0 if the server did not report one.
  Incarnation incarnation;
};

// Actions. `server` is an index into GroupState::servers; indexes never change.

// Run the attempt on a worker. The worker calls MayStart just before it writes
// to the socket.
struct StartAttempt {
  AttemptId attempt;
  TaskId task;
  uint32_t server = 0;
  Millis deadline;
  AttemptKind kind = AttemptKind::kFirst;
};

// Close the attempt's connection, ask the server to cancel the attempt, and
// call ConfirmCancel once the server has confirmed it.
struct CancelAttempt {
  AttemptId attempt;
  uint32_t server = 0;
};

// The task is finished. No further action refers to it.
struct TaskDone {
  TaskId task;
  Code code = Code::kOk;
  // kNo only if no attempt was sent.
  Ran ran = Ran::kMaybe;
  uint32_t attempts = 0;
  // With kOk: the attempt whose reply is the answer.
  AttemptId winner;
  std::vector<IndexVersion> held;
};

struct Preconnect {
  uint32_t server = 0;
};

enum class DecisionKind : uint8_t {
  kStart,
  kRefuse,
  kDrop,
  kHedgeDenied,
  kRetryDenied,
  kEject,
  kRestore,
  kDrain,
};

// A scheduling decision, for the log.
struct Decision {
  DecisionKind kind = DecisionKind::kStart;
  TaskId task;
  AttemptId attempt;
  uint32_t server = 0;
  Lane lane = Lane::kOrdinary;
  AttemptKind attempt_kind = AttemptKind::kFirst;
  Code code = Code::kOk;
  Millis since_arrival;
  // Tasks queued in the group.
  size_t waiting = 0;
};

using Action =
    std::variant<StartAttempt, CancelAttempt, TaskDone, Preconnect, Decision>;
using Actions = std::vector<Action>;

struct TaskState {
  NewTask work;
  Millis added;
  // Indexes of the servers that hold the shard, and of those already tried.
  ServerSet candidates;
  ServerSet tried;
  std::vector<AttemptId> running;
  bool is_queued = false;
  QueuePosition position;
  AttemptKind next_kind = AttemptKind::kFirst;
  // Whether the queued attempt has taken a token from the budget.
  bool charged = false;
  bool hedged = false;
  // Attempts sent.
  uint32_t attempts_sent = 0;
  Code last_code = Code::kOk;
  std::vector<IndexVersion> held;
};

struct AttemptState {
  TaskId task;
  uint32_t server = 0;
  Lane lane = Lane::kOrdinary;
  IndexVersion version;
  Millis deadline;
  Millis sent_at;
  AttemptKind kind = AttemptKind::kFirst;
  bool charged = false;
  bool sent = false;
  // The task no longer needs the attempt, but the server may still run it, so
  // its slot stays in use.
  bool abandoned = false;
};

// Start rate of a lane: a count that decays exponentially with a time constant
// of one second.
struct StartRate {
  double starts = 0;
  Millis at;
};

enum class TimerKind : uint8_t { kTask, kHedge, kSlot, kServer };

struct Timer {
  Millis at;
  TimerKind kind = TimerKind::kTask;
  // A task, an attempt or the index of a server, by kind.
  uint64_t id = 0;
  auto operator<=>(const Timer&) const = default;
};

// Totals since the state was created.
struct GroupCounters {
  uint64_t tasks = 0;
  uint64_t first_attempts = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;
  uint64_t hedges_denied = 0;
  uint64_t retries_denied = 0;
  uint64_t hedges_won = 0;
  uint64_t sheds = 0;
  uint64_t refused_queue_full = 0;
  uint64_t refused_deadline = 0;
  uint64_t refused_no_server = 0;
  uint64_t dropped_waiting = 0;
  uint64_t stopped_before_send = 0;
  uint64_t ejections = 0;
  uint64_t cancels = 0;
};

struct GroupState {
  // The next attempt id. Attempt ids must be unique within an instance, so each
  // group needs its own range.
  uint64_t next_attempt = 1;
  GroupPolicy policy;
  std::vector<ServerState> servers;
  std::unordered_map<BackendServerId, uint32_t> index_of;
  std::unordered_map<TaskId, TaskState> tasks;
  std::unordered_map<AttemptId, AttemptState> attempts;
  LaneQueues queues;
  uint64_t next_sequence = 0;
  // Per lane, because bulk exports and fraud checks differ in latency.
  std::array<LatencySketch, kLaneCount> latency;
  std::array<StartRate, kLaneCount> start_rates;
  // Whether bulk attempts take much longer than urgent ones. Assumed until both
  // lanes have enough samples.
  bool bulk_is_long = true;
  ExtraAttemptBudget budget;
  std::set<Timer> timers;
  GroupCounters counters;
  bool configured = false;
};

// Applies the current servers and policy. A server missing from the list gets
// no new attempts; its running attempts may finish.
void Configure(GroupState* state,
               const std::vector<settings::BackendServer>& servers,
               const std::vector<BackendServerId>& drained,
               const GroupPolicy& policy, Millis now, Random* random,
               Actions* actions);

// Queues a task, or refuses it at once with a TaskDone whose `ran` is kNo. The
// task id must be new to the state.
void AddTask(GroupState* state, const NewTask& task, Millis now, Random* random,
             Actions* actions);

// Final check just before the request is written to a socket. Returns false if
// the task was cancelled, its deadline has passed or the server is draining;
// the attempt is then removed and must not be reported. After true the attempt
// counts as sent and must be reported by FinishAttempt.
bool MayStart(GroupState* state, AttemptId attempt, Millis now, Random* random,
              Actions* actions);

// Handles the end of an attempt; unknown attempts are ignored. A kOk after the
// deadline counts as kDeadlineExceeded.
void FinishAttempt(GroupState* state, const AttemptReport& report, Millis now,
                   Random* random, Actions* actions);

// Handles the server's confirmation that a cancelled attempt is not running.
void ConfirmCancel(GroupState* state, AttemptId attempt, Millis now,
                   Random* random, Actions* actions);

// Cancels tasks without a TaskDone. A slot freed by one of them is not given to
// another of them.
void CancelTasks(GroupState* state, const std::vector<TaskId>& tasks,
                 Millis now, Random* random, Actions* actions);

// Handles a report of a server's incarnation and drain state from a peer, the
// platform or a reply.
void ApplyDrainReport(GroupState* state, const BackendServerId& server,
                      Incarnation incarnation, bool draining, Millis now,
                      Random* random, Actions* actions);

// Runs the timers that are due. Call it at NextDue or later.
void Tick(GroupState* state, Millis now, Random* random, Actions* actions);

// The time at which Tick is next needed; kNever if no timer is set.
Millis NextDue(const GroupState& state);

// Slots in use over all servers.
int SlotsInUse(const GroupState& state);

}  // namespace hibiscuspick::limits
