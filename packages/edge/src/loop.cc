#include "hibiscuspick/edge/loop.h"

#include <algorithm>

namespace hibiscuspick::edge {
namespace {

// Upper bound of a wait, so that a Stop from another thread that races with the
// start of the wait is noticed.
constexpr Millis kMaxWait{1000};

// Maximum handlers run between two readings of the clock.
constexpr int kMaxHandlersPerIteration = 64;

}  // namespace

Loop::TimerId Loop::RunAt(Millis when, Task task) {
  const TimerId id = ++last_id_;
  timers_.push({when, id});
  tasks_.emplace(id, std::move(task));
  return id;
}

void Loop::Cancel(TimerId id) { tasks_.erase(id); }

Millis Loop::TimeToNextTimer(Millis at) {
  while (!timers_.empty() && !tasks_.contains(timers_.top().id)) timers_.pop();
  if (timers_.empty()) return kMaxWait;
  return Min(kMaxWait, timers_.top().when - at);
}

void Loop::RunDueTimers() {
  now_read_ = false;
  // Timers that these set are run in a later iteration, even if they are due:
  // one that sets itself again at a past time must not starve the sockets.
  due_.clear();
  while (!timers_.empty() && timers_.top().when <= now()) {
    due_.push_back(timers_.top().id);
    timers_.pop();
  }
  for (const TimerId id : due_) {
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    const Task task = std::move(found->second);
    tasks_.erase(found);
    task();
  }
}

void Loop::Run() {
  while (!stopped_) {
    // The iteration that ends here began at now().
    const Millis started_at = now();
    const Millis ended_at = SteadyNow();
    busy_time_ += ended_at - started_at;
    const Millis wait = TimeToNextTimer(ended_at);
    now_read_ = false;
    if (wait > Millis(0)) io_.run_one_for(wait.ToMicros());
    // Bounded, so that a flood of I/O cannot starve timers.
    for (int i = 0; i < kMaxHandlersPerIteration && io_.poll_one() > 0; ++i) {
    }
    RunDueTimers();
  }
}

double Loop::TakeUtilisation() {
  const Millis span = SteadyNow() - measured_since_;
  const double utilisation =
      span > Millis(0) ? busy_time_.count / span.count : 0;
  measured_since_ = measured_since_ + span;
  busy_time_ = Millis(0);
  return utilisation;
}

void Loop::Stop() {
  stopped_ = true;
  Post([] {});
}

}  // namespace hibiscuspick::edge
