#include "hibiscuspick/edge/loop.h"

#include <algorithm>

namespace hibiscuspick::edge {
namespace {

// Upper bound of a wait, so that a Stop from another thread that races with the
// start of the wait is noticed.
constexpr Millis kLongestWait{1000};

// Maximum handlers run between two readings of the clock.
constexpr int kMostInRound = 64;

}  // namespace

Loop::TimerId Loop::At(Millis when, Task task) {
  const TimerId id = ++last_id_;
  due_.push({when, id});
  tasks_.emplace(id, std::move(task));
  return id;
}

void Loop::Cancel(TimerId id) { tasks_.erase(id); }

Millis Loop::UntilNext(Millis at) {
  while (!due_.empty() && !tasks_.contains(due_.top().id)) due_.pop();
  if (due_.empty()) return kLongestWait;
  return Min(kLongestWait, due_.top().when - at);
}

void Loop::RunDue() {
  now_read_ = false;
  while (!due_.empty() && due_.top().when <= now()) {
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
    // The iteration that ends here began at now().
    const Millis began = now();
    const Millis ended = SteadyNow();
    at_work_ += ended - began;
    const Millis wait = UntilNext(ended);
    now_read_ = false;
    if (wait > Millis(0)) io_.run_one_for(wait.ToMicros());
    // Bounded, so that a flood of I/O cannot starve timers.
    for (int i = 0; i < kMostInRound && io_.poll_one() > 0; ++i) {
    }
    RunDue();
  }
}

double Loop::TakeBusyShare() {
  const Millis span = SteadyNow() - counted_from_;
  const double share = span > Millis(0) ? at_work_.count / span.count : 0;
  counted_from_ = counted_from_ + span;
  at_work_ = Millis(0);
  return share;
}

void Loop::Stop() {
  stopped_ = true;
  Post([] {});
}

}  // namespace hibiscuspick::edge
