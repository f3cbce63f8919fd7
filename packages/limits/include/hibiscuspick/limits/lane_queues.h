// The tasks that wait for a slot, by lane.
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

// Indexes into GroupState::servers, ascending.
using ServerSet = std::vector<uint32_t>;

// A waiting attempt. Earlier in the order means started sooner.
struct QueueEntry {
  // A hedge that jumps the queue sorts as false before true.
  bool in_order = true;
  // The deadline, or the time of arrival where lanes are off.
  Millis order;
  uint64_t sequence = 0;
  TaskId task;
  auto operator<=>(const QueueEntry&) const = default;
};

// Where an entry waits.
struct QueuePlace {
  Lane lane = Lane::kUrgent;
  ServerSet servers;
  QueueEntry entry;
};

// Entries are kept by the servers they may go to, so that the next one for a
// free server is found without passing over those that wait for others.
struct LaneQueue {
  std::map<ServerSet, std::set<QueueEntry>> by_servers;
  size_t size = 0;
  // Starts owed to the lane from its guaranteed share.
  double credit = 0;
};

struct LaneQueues {
  std::array<LaneQueue, kLaneCount> lanes;
};

void Enqueue(LaneQueues* queues, const QueuePlace& place);
void Dequeue(LaneQueues* queues, const QueuePlace& place);
size_t Waiting(const LaneQueues& queues);

// Entries that would be started before one with this lane and order.
size_t CountAhead(const LaneQueues& queues, Lane lane, Millis order);

// Finds the entry to start next: the most urgent lane's earliest, unless a
// lane below has a start owed to it. `fits` tells whether some server of the
// set has room for the lane. Nothing is taken out; credits are settled.
std::optional<QueuePlace> NextToStart(
    LaneQueues* queues, const std::array<LanePolicy, kLaneCount>& policy,
    const std::function<bool(Lane, const ServerSet&)>& fits);

}  // namespace hibiscuspick::limits
