#include "hibiscuspick/limits/lane_queues.h"

#include <algorithm>
#include <limits>

namespace hibiscuspick::limits {
namespace {

// Maximum credit a lane accumulates while it has no capacity.
constexpr double kMaxCredit = 2;

// The earliest entry of the lane for which a server has capacity.
std::optional<QueuePlace> EarliestOf(
    const LaneQueue& queue, Lane lane,
    const std::function<bool(Lane, const ServerSet&)>& fits) {
  const std::pair<const ServerSet, std::set<QueueEntry>>* best = nullptr;
  for (const auto& it : queue.by_servers) {
    const bool earlier =
        best == nullptr || *it.second.begin() < *best->second.begin();
    if (earlier && fits(lane, it.first)) best = &it;
  }
  if (best == nullptr) return std::nullopt;
  return QueuePlace{lane, best->first, *best->second.begin()};
}

}  // namespace

void Enqueue(LaneQueues* queues, const QueuePlace& place) {
  LaneQueue& queue = queues->lanes[LaneIndex(place.lane)];
  queue.by_servers[place.servers].insert(place.entry);
  ++queue.size;
}

void Dequeue(LaneQueues* queues, const QueuePlace& place) {
  LaneQueue& queue = queues->lanes[LaneIndex(place.lane)];
  const auto it = queue.by_servers.find(place.servers);
  if (it == queue.by_servers.end()) return;
  queue.size -= it->second.erase(place.entry);
  if (it->second.empty()) queue.by_servers.erase(it);
  if (queue.size == 0) queue.credit = 0;
}

size_t Waiting(const LaneQueues& queues) {
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
    size_t behind = 0;
    for (auto e = it.second.rbegin(); e != it.second.rend() && after < *e;
         ++e) {
      ++behind;
    }
    ahead += it.second.size() - behind;
  }
  return ahead;
}

std::optional<QueuePlace> NextToStart(
    LaneQueues* queues, const std::array<LanePolicy, kLaneCount>& policy,
    const std::function<bool(Lane, const ServerSet&)>& fits) {
  std::optional<QueuePlace> most_urgent;
  std::optional<QueuePlace> owed;
  for (const Lane lane : kAllLanes) {
    LaneQueue& queue = queues->lanes[LaneIndex(lane)];
    if (queue.size == 0) continue;
    const auto place = EarliestOf(queue, lane, fits);
    if (!place) continue;
    if (!most_urgent) {
      most_urgent = place;
      continue;
    }
    // The lane was skipped. Without this credit, steady urgent load would
    // starve it.
    queue.credit =
        std::min(kMaxCredit, queue.credit + policy[LaneIndex(lane)].min_share);
    if (queue.credit >= 1 && !owed) owed = place;
  }
  if (!owed) return most_urgent;
  queues->lanes[LaneIndex(owed->lane)].credit -= 1;
  return owed;
}

}  // namespace hibiscuspick::limits
