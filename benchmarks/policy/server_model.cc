#include "server_model.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace hibiscuspick::benchmarks {

void ServerModel::Arrive(uint64_t id, double work, Millis deadline,
                         OnEnd on_end) {
  if (lost_) {
    on_end(Ending::kLost);
    return;
  }
  queue_.push_back({id, work, deadline, std::move(on_end)});
  StartNext();
}

void ServerModel::Cancel(uint64_t id) {
  std::erase_if(queue_, [&](auto& it) { return it.id == id; });
  if (running_.erase(id) > 0) StartNext();
}

void ServerModel::Lose() {
  lost_ = true;
  std::vector<uint64_t> ids;
  for (const auto& it : running_) ids.push_back(it.first);
  // The map's order is the library's; the run must repeat exactly.
  std::sort(ids.begin(), ids.end());
  for (const uint64_t it : ids) End(it, Ending::kLost);
  while (!queue_.empty()) {
    const Request request = std::move(queue_.front());
    queue_.pop_front();
    request.on_end(Ending::kLost);
  }
}

Millis ServerModel::ServiceTime(double work) {
  double time =
      -work * std::log(1 - random_.Fraction()) * parameters_.mean.count;
  if (random_.Fraction() < parameters_.straggler_share) {
    time *= parameters_.straggler_factor;
  }
  const double age =
      (events_->now() - cold_since_).count / parameters_.cold_span.count;
  const double slower = (parameters_.cold_factor - 1) * std::max(0.0, 1 - age);
  return Millis(time * (1 + slower));
}

void ServerModel::StartNext() {
  while (!lost_ && !queue_.empty() &&
         running_.size() < static_cast<size_t>(parameters_.slots)) {
    Request request = std::move(queue_.front());
    queue_.pop_front();
    if (events_->now() >= request.deadline) {
      request.on_end(Ending::kExpired);
      continue;
    }
    const uint64_t id = request.id;
    const Millis end = events_->now() + ServiceTime(request.work);
    const bool in_time = end <= request.deadline;
    const Millis stop = Min(end, request.deadline);
    running_.emplace(id, std::move(request));
    events_->At(stop, [this, id, in_time] {
      End(id, in_time ? Ending::kAnswered : Ending::kExpired);
    });
  }
}

void ServerModel::End(uint64_t id, Ending ending) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  const Request request = std::move(it->second);
  running_.erase(it);
  request.on_end(ending);
  StartNext();
}

}  // namespace hibiscuspick::benchmarks
