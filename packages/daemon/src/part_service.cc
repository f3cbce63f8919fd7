#include "hibiscuspick/daemon/part_service.h"

#include <utility>

namespace hibiscuspick::daemon {
namespace {

inner::PartOutcomes OutcomesFor(const limits::PartOrigin& origin,
                                std::vector<limits::ShardOutcome> outcomes) {
  return {origin.incarnation, origin.part, std::move(outcomes)};
}

}  // namespace

PartService::PartService(dispatch::PartExecutor* executor, Send send)
    : executor_(executor), send_(std::move(send)) {
  thread_ = std::thread([this] { RunHeartbeats(); });
}

PartService::~PartService() { Stop(); }

void PartService::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void PartService::Run(const limits::PartRequest& part) {
  {
    const std::lock_guard lock(mutex_);
    running_[part.origin] = {part.shards.size(), SteadyNow()};
  }
  executor_->Run(part, [this, origin = part.origin](auto outcomes) {
    HandleOutcomes(origin, std::move(outcomes));
  });
}

void PartService::Cancel(const limits::PartOrigin& origin) {
  {
    const std::lock_guard lock(mutex_);
    running_.erase(origin);
  }
  executor_->Cancel(origin);
}

size_t PartService::running() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

void PartService::HandleOutcomes(const limits::PartOrigin& origin,
                                 std::vector<limits::ShardOutcome> outcomes) {
  {
    const std::lock_guard lock(mutex_);
    const auto it = running_.find(origin);
    if (it == running_.end()) return;
    it->second.last_sent = SteadyNow();
    const size_t n = std::min(outcomes.size(), it->second.shards_left);
    it->second.shards_left -= n;
    if (it->second.shards_left == 0) running_.erase(it);
  }
  send_(origin.instance, OutcomesFor(origin, std::move(outcomes)));
}

std::vector<limits::PartOrigin> PartService::DueHeartbeats() {
  const Millis now = SteadyNow();
  std::vector<limits::PartOrigin> due;
  for (auto& [origin, state] : running_) {
    if (now - state.last_sent < kHeartbeatInterval) continue;
    state.last_sent = now;
    due.push_back(origin);
  }
  return due;
}

void PartService::RunHeartbeats() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    wake_.wait_for(lock, kHeartbeatInterval.ToMicros());
    const auto due = DueHeartbeats();
    lock.unlock();
    for (const auto& it : due) send_(it.instance, OutcomesFor(it, {}));
    lock.lock();
  }
}

}  // namespace hibiscuspick::daemon
