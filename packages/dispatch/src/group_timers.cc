#include "group_timers.h"

namespace hibiscuspick::dispatch {

GroupTimers::GroupTimers(std::function<Millis(const GroupPtr&)> tick)
    : tick_(std::move(tick)), thread_([this] { Run(); }) {}

GroupTimers::~GroupTimers() { Stop(); }

void GroupTimers::TickBy(const GroupPtr& group, Millis due) {
  if (due == kNever) return;
  const std::lock_guard lock(mutex_);
  const auto it = due_.find(group);
  if (it != due_.end() && it->second <= due) return;
  SetDue(group, due);
  if (queue_.begin()->second == group) wake_.notify_one();
}

void GroupTimers::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void GroupTimers::SetDue(const GroupPtr& group, Millis due) {
  const auto it = due_.find(group);
  if (it != due_.end()) queue_.erase({it->second, group});
  queue_.insert({due, group});
  due_[group] = due;
}

void GroupTimers::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (queue_.empty()) {
      wake_.wait(lock);
      continue;
    }
    const Millis left = queue_.begin()->first - SteadyNow();
    if (left > Millis(0)) {
      wake_.wait_for(lock, left.ToMicros());
      continue;
    }
    const GroupPtr group = queue_.begin()->second;
    queue_.erase(queue_.begin());
    due_.erase(group);
    lock.unlock();
    const Millis due = tick_(group);
    lock.lock();
    const auto it = due_.find(group);
    const bool sooner = it == due_.end() || due < it->second;
    if (due != kNever && sooner) SetDue(group, due);
  }
}

}  // namespace hibiscuspick::dispatch
