#include "hibiscuspick/limits/lane_queues.h"

#include <algorithm>
#include <limits>

namespace hibiscuspick::limits {
namespace {

// Maximum credit a lane accumulates while it has no capacity.
constexpr double kMaxCredit = 2;

// The earliest entry of the lane for which a server has capacity.
std::optional<QueuePosition> EarliestOf(
    const LaneQueue& queue, Lane lane,
    const std::function<bool(Lane, const ServerSet&)>& has_capacity) {
  const std::pair<const ServerSet, std::set<QueueEntry>>* best = nullptr;
  for (const auto& it : queue.by_servers) {
    const bool earlier =
        best == nullptr || *it.second.begin() < *best->second.begin();
    if (earlier && has_capacity(lane, it.first)) best = &it;
  }
  if (best == nullptr) return std::nullopt;
  return QueuePosition{lane, best->first, *best->second.begin()};
}

}  // namespace

void Enqueue(LaneQueues* queues, const QueuePosition& position) {
  LaneQueue& queue = queues->lanes[LaneIndex(position.lane)];
  queue.by_servers[position.servers].insert(position.entry);
  ++queue.size;
}

void Dequeue(LaneQueues* queues, const QueuePosition& position) {
  LaneQueue& queue = queues->lanes[LaneIndex(position.lane)];
  const auto it = queue.by_servers.find(position.servers);
  if (it == queue.by_servers.end()) return;
  queue.size -= it->second.erase(position.entry);
  if (it->second.empty()) queue.by_servers.erase(it);
  if (queue.size == 0) queue.credit = 0;
}

size_t CountWaiting(const LaneQueues& queues) {
  size_t n = 0;
  for (const auto& it : queues.lanes) n += it.size;
  return n;
}

size_t CountAhead(const LaneQueues& queues, Lane lane, Millis order) {
  size_t ahead = 0;
  for (size_t i = 0; i < LaneIndex(lane); ++i) ahead += queues.lanes[i].size;
  // Counted from the end, since new entries mostly belong there.
  const QueueEntry after{true, order, std::numeric_limits<uint64_t>::max(), {}};
  for (const auto& it : queues.lanes[LaneIndex(lane)].by_servers) {
    size_t later = 0;
    for (auto e = it.second.rbegin(); e != it.second.rend() && after < *e;
         ++e) {
      ++later;
    }
    ahead += it.second.size() - later;
  }
  return ahead;
}

std::optional<QueuePosition> NextToStart(
    LaneQueues* queues, const std::array<LanePolicy, kLaneCount>& policy,
    const std::function<bool(Lane, const ServerSet&)>& has_capacity) {
  std::optional<QueuePosition> most_urgent;
  std::optional<QueuePosition> credited;
  for (const Lane lane : kAllLanes) {
    LaneQueue& queue = queues->lanes[LaneIndex(lane)];
    if (queue.size == 0) continue;
    const auto position = EarliestOf(queue, lane, has_capacity);
    if (!position) continue;
    if (!most_urgent) {
      most_urgent = position;
      continue;
    }
    // The lane was skipped. Without this credit, steady urgent load would
    // starve it.
    queue.credit =
        std::min(kMaxCredit, queue.credit + policy[LaneIndex(lane)].min_share);
    if (queue.credit >= 1 && !credited) credited = position;
  }
  if (!credited) return most_urgent;
  queues->lanes[LaneIndex(credited->lane)].credit -= 1;
  return credited;
}

}  // namespace hibiscuspick::limits
