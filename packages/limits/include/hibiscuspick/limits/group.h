// The decisions for one group: the backend servers of one service, the work
// that waits for them and the attempts that run there. No threads, sockets or
// clocks: each function takes an event, the time and a source of randomness,
// changes the state and appends the actions to be carried out.
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
#include "hibiscuspick/limits/attempt_budget.h"
#include "hibiscuspick/limits/group_policy.h"
#include "hibiscuspick/limits/lane_queues.h"
#include "hibiscuspick/limits/latency_sketch.h"
#include "hibiscuspick/limits/server_state.h"

namespace hibiscuspick::limits {

enum class AttemptKind : uint8_t { kFirst, kHedge, kRetry };

// One shard's work, from a PartRequest.
struct NewTask {
  TaskId task;
  Lane lane = Lane::kOrdinary;
  // An instant of this process's clock.
  Millis deadline;
  std::vector<BackendServerId> servers;
  IndexVersion version;
  // False for a record: one attempt at most is ever handed over.
  bool idempotent = true;
};

// How an attempt ended, as the shell saw it.
struct AttemptReport {
  AttemptId attempt;
  Code code = Code::kOk;
  // From the hand-over to the whole reply or the failure.
  Millis latency;
  // With kVersionNotHeld.
  std::vector<IndexVersion> held;
  bool draining = false;
  // 0 if the server does not say.
  Incarnation incarnation;
};

// Actions. `server` is an index into GroupState::servers and stays valid.

// Hand the attempt to a worker, which asks MayStart just before the socket.
struct StartAttempt {
  AttemptId attempt;
  TaskId task;
  uint32_t server = 0;
  Millis deadline;
  AttemptKind kind = AttemptKind::kFirst;
};

// Close the attempt's connection, ask the server to cancel it, and report
// ConfirmCancel once the server has answered that.
struct CancelAttempt {
  AttemptId attempt;
  uint32_t server = 0;
};

// The task is over; the last that is said of it.
struct TaskDone {
  TaskId task;
  Code code = Code::kOk;
  // kNo only if no attempt was handed to a socket.
  Ran ran = Ran::kMaybe;
  uint32_t attempts = 0;
  // With kOk: the attempt whose reply counts.
  AttemptId winner;
  std::vector<IndexVersion> held;
};

struct PrepareConnection {
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

// For the log: why something was or was not done.
struct Decision {
  DecisionKind kind = DecisionKind::kStart;
  TaskId task;
  AttemptId attempt;
  uint32_t server = 0;
  Lane lane = Lane::kOrdinary;
  AttemptKind attempt_kind = AttemptKind::kFirst;
  Code code = Code::kOk;
  Millis waited;
  // Tasks still waiting in the group.
  size_t waiting = 0;
};

using Action = std::variant<StartAttempt, CancelAttempt, TaskDone,
                            PrepareConnection, Decision>;
using Actions = std::vector<Action>;

struct TaskState {
  NewTask work;
  Millis added;
  // Indexes of the servers that may hold it, and of those already tried.
  ServerSet candidates;
  ServerSet tried;
  std::vector<AttemptId> running;
  bool waits = false;
  QueuePlace place;
  AttemptKind next_kind = AttemptKind::kFirst;
  // Whether the waiting attempt was taken from the budget.
  bool paid = false;
  bool hedged = false;
  // Attempts handed to a socket.
  uint32_t handed = 0;
  Code last_code = Code::kOk;
  std::vector<IndexVersion> held;
};

struct AttemptState {
  TaskId task;
  uint32_t server = 0;
  Lane lane = Lane::kOrdinary;
  IndexVersion version;
  Millis deadline;
  Millis handed_at;
  AttemptKind kind = AttemptKind::kFirst;
  bool paid = false;
  bool handed = false;
  // Its task is over or has gone on; only the slot is still counted.
  bool abandoned = false;
};

// How often a lane's attempts were started of late: a count that fades over
// about a second.
struct StartRate {
  double starts = 0;
  Millis at;
};

enum class TimerKind : uint8_t { kTask, kHedge, kSlot, kServer };

struct Timer {
  Millis at;
  TimerKind kind = TimerKind::kTask;
  // A task, an attempt, or a server's index.
  uint64_t id = 0;
  auto operator<=>(const Timer&) const = default;
};

// Counted since the state was made.
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
  uint64_t refused_unreachable = 0;
  uint64_t refused_no_server = 0;
  uint64_t dropped_waiting = 0;
  uint64_t stopped_before_socket = 0;
  uint64_t ejections = 0;
  uint64_t cancels = 0;
};

struct GroupState {
  // Attempt numbers start here; give each group its own range, since a number
  // is never used twice by one instance.
  uint64_t next_attempt = 1;
  GroupPolicy policy;
  std::vector<ServerState> servers;
  std::unordered_map<BackendServerId, uint32_t> index_of;
  std::unordered_map<TaskId, TaskState> tasks;
  std::unordered_map<AttemptId, AttemptState> attempts;
  LaneQueues queues;
  uint64_t next_sequence = 0;
  // By lane, since an export's query takes other times than a fraud check's.
  std::array<LatencySketch, kLaneCount> latency;
  std::array<StartRate, kLaneCount> start_rates;
  // Whether bulk attempts were found to take much longer than urgent ones.
  // Taken for granted until measured.
  bool bulk_is_long = true;
  AttemptBudget budget;
  std::set<Timer> timers;
  GroupCounters counters;
  bool configured = false;
};

// The servers and values now in force. A server that leaves the list gets
// nothing new; what runs there may finish.
void Configure(GroupState* state,
               const std::vector<settings::BackendServer>& servers,
               const std::vector<BackendServerId>& drained,
               const GroupPolicy& policy, Millis now, Random* random,
               Actions* actions);

// Takes in a task, or refuses it at once with a TaskDone and ran "no". The
// task's number must be new to the state.
void AddTask(GroupState* state, const NewTask& task, Millis now, Random* random,
             Actions* actions);

// The last check, made just before the request is written to a socket: false
// if the task was cancelled, its deadline has passed or the server drains.
// After false the attempt is forgotten and must not be reported; after true it
// counts as run and must be reported.
bool MayStart(GroupState* state, AttemptId attempt, Millis now, Random* random,
              Actions* actions);

// An attempt ended. One that is not known any more is passed over. kOk after
// the deadline does not count.
void FinishAttempt(GroupState* state, const AttemptReport& report, Millis now,
                   Random* random, Actions* actions);

// The server confirmed that the attempt no longer runs.
void ConfirmCancel(GroupState* state, AttemptId attempt, Millis now,
                   Random* random, Actions* actions);

// Nobody wants the tasks any more: no TaskDone follows, and none of them is
// started in the place of another.
void CancelTasks(GroupState* state, const std::vector<TaskId>& tasks,
                 Millis now, Random* random, Actions* actions);

// News of a server from a peer, the platform or a reply.
void TakeServerNews(GroupState* state, const BackendServerId& server,
                    Incarnation incarnation, bool draining, Millis now,
                    Random* random, Actions* actions);

// To be called at NextDue or later.
void Tick(GroupState* state, Millis now, Random* random, Actions* actions);

// When Tick has something to do; kNever if nothing is pending.
Millis NextDue(const GroupState& state);

// Slots taken now, over all servers.
int SlotsInUse(const GroupState& state);

}  // namespace hibiscuspick::limits
