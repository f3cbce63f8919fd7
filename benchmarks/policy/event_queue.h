// Virtual time: events in order of their instant, and of their making where
// the instants are equal.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::benchmarks {

class EventQueue {
 public:
  Millis now() const { return now_; }

  void At(Millis when, std::function<void()> run) {
    events_.push({Max(when, now_), next_++, std::move(run)});
  }
  void In(Millis span, std::function<void()> run) {
    At(now_ + span, std::move(run));
  }

  // Runs all events up to the instant.
  void RunUntil(Millis end) {
    while (!events_.empty() && events_.top().when <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.when;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    Millis when;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& it) const {
      return std::pair(when, order) > std::pair(it.when, it.order);
    }
  };

  Millis now_;
  uint64_t next_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace hibiscuspick::benchmarks
