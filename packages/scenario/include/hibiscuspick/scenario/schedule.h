// Virtual time: what is to happen, in order.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::scenario {

// Events at one instant happen in the order in which they were added, so that
// a run repeats exactly.
class Schedule {
 public:
  Millis now() const { return now_; }

  void At(Millis when, std::function<void()> action) {
    queue_.emplace(std::pair(Max(when, now_), ++last_), std::move(action));
  }
  void After(Millis span, std::function<void()> action) {
    At(now_ + span, std::move(action));
  }

  // Runs everything up to and at `until`, and stands there.
  void RunUntil(Millis until) {
    while (!queue_.empty() && queue_.begin()->first.first <= until) {
      now_ = queue_.begin()->first.first;
      const auto action = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      action();
    }
    now_ = until;
  }

 private:
  Millis now_{0};
  uint64_t last_ = 0;
  std::map<std::pair<Millis, uint64_t>, std::function<void()>> queue_;
};

}  // namespace hibiscuspick::scenario
