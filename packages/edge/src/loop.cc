#include "hibiscuspick/edge/loop.h"

#include <algorithm>

namespace hibiscuspick::edge {
namespace {

// The longest wait without a timer, so that a stop from another thread that
// raced the wait is seen.
constexpr Millis kLongestWait{1000};

}  // namespace

Loop::TimerId Loop::At(Millis when, Task task) {
  const TimerId id = ++last_id_;
  due_.push({when, id});
  tasks_.emplace(id, std::move(task));
  return id;
}

void Loop::Cancel(TimerId id) { tasks_.erase(id); }

Millis Loop::UntilNext() {
  while (!due_.empty() && !tasks_.contains(due_.top().id)) due_.pop();
  if (due_.empty()) return kLongestWait;
  return Min(kLongestWait, due_.top().when - SteadyNow());
}

void Loop::RunDue() {
  while (!due_.empty() && due_.top().when <= now_) {
    const TimerId id = due_.top().id;
    due_.pop();
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    const Task task = std::move(found->second);
    tasks_.erase(found);
    task();
  }
}

void Loop::Run() {
  while (!stopped_) {
    const Millis wait = UntilNext();
    if (wait > Millis(0)) {
      // The instant is read by the first handler's Refresh below.
      io_.run_one_for(wait.ToMicros());
    }
    now_ = SteadyNow();
    io_.poll();
    now_ = SteadyNow();
    RunDue();
  }
}

void Loop::Stop() {
  stopped_ = true;
  Post([] {});
}

}  // namespace hibiscuspick::edge
