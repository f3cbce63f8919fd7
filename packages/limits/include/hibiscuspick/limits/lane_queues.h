// Queues of the tasks that wait for a slot, one per lane.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/limits/group_policy.h"

namespace hibiscuspick::limits {

// Indexes into GroupState::servers, in ascending order.
using ServerSet = std::vector<uint32_t>;

// A queued attempt. Entries are started in ascending order.
struct QueueEntry {
  // False for a prioritized hedge, since false sorts before true.
  bool not_prioritized = true;
  // The deadline, or the arrival time if lanes are disabled.
  Millis order;
  uint64_t sequence = 0;
  TaskId task;
  auto operator<=>(const QueueEntry&) const = default;
};

// The position of an entry in the queues.
struct QueuePosition {
  Lane lane = Lane::kUrgent;
  ServerSet servers;
  QueueEntry entry;
};

// Entries are grouped by the set of servers they may go to, so that the next
// entry for a free server is found without scanning entries for other servers.
struct LaneQueue {
  std::map<ServerSet, std::set<QueueEntry>> by_servers;
  size_t size = 0;
  // Starts the lane is entitled to by its minimum share and has not yet had.
  double credit = 0;
};

struct LaneQueues {
  std::array<LaneQueue, kLaneCount> lanes;
};

void Enqueue(LaneQueues* queues, const QueuePosition& position);
void Dequeue(LaneQueues* queues, const QueuePosition& position);
size_t CountWaiting(const LaneQueues& queues);

// Counts the entries that would be started before an entry of this lane and
// order.
size_t CountAhead(const LaneQueues& queues, Lane lane, Millis order);

// Finds the entry to start next: the earliest of the most urgent lane, unless a
// less urgent lane has a credit of one start. `has_capacity` tells whether a
// server of the set can take an attempt of the lane. Does not remove the entry,
// but updates the lanes' credits.
std::optional<QueuePosition> NextToStart(
    LaneQueues* queues, const std::array<LanePolicy, kLaneCount>& policy,
    const std::function<bool(Lane, const ServerSet&)>& has_capacity);

}  // namespace hibiscuspick::limits
