// Single-threaded event loop: sockets through Asio, timers in a heap of its
// own.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::edge {

class ExchangeCounters;

// Asio timers reprogram a kernel timer whenever the earliest one changes, which
// costs a system call for most attempts. Here the wait for sockets times out at
// the next timer instead, without an extra call.
class Loop {
 public:
  using Task = std::function<void()>;
  using TimerId = uint64_t;

  Loop() : guard_(boost::asio::make_work_guard(io_)) {}

  boost::asio::io_context& io() { return io_; }

  // Time at which the current iteration began, the same for all decisions in
  // it. The clock is read on first use after a wait: a time from before the
  // wait would make the request that ended the wait look old, and its answer
  // would be sent before its parts arrive.
  Millis now() const {
    if (!now_read_) now_ = SteadyNow();
    now_read_ = true;
    return now_;
  }

  // Runs `task` once at or after `when`; if a timer's task sets it, not before
  // the next iteration. Only from the loop's thread.
  TimerId RunAt(Millis when, Task task);
  // Cancels a timer. Does nothing if it has fired or `id` is 0.
  void Cancel(TimerId id);

  // Runs `task` in a later iteration; may be called from any thread.
  void Post(Task task) { boost::asio::post(io_, std::move(task)); }

  // Fraction of the time since the last call that the loop spent running tasks
  // rather than waiting. Only from the loop's thread.
  double TakeUtilisation();

  // Counters of the connections on this loop; null to count nothing. They must
  // outlive the loop's last task.
  void set_exchange_counters(const ExchangeCounters* it) {
    exchange_counters_ = it;
  }
  const ExchangeCounters* exchange_counters() const {
    return exchange_counters_;
  }

  // Runs until Stop, which may be called from any thread.
  void Run();
  void Stop();

 private:
  struct TimerEntry {
    Millis when;
    TimerId id;
    bool operator>(const TimerEntry& it) const { return when > it.when; }
  };

  // Time from `at` to the next timer, bounded by the longest wait.
  Millis TimeToNextTimer(Millis at);
  void RunDueTimers();

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::atomic<bool> stopped_{false};
  const ExchangeCounters* exchange_counters_ = nullptr;
  mutable Millis now_;
  mutable bool now_read_ = false;
  // Start of the current utilisation measurement and the busy time since.
  Millis measured_since_ = SteadyNow();
  Millis busy_time_;
  TimerId last_id_ = 0;
  std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>>
      timers_;
  std::unordered_map<TimerId, Task> tasks_;
  // Timers that the current iteration runs.
  std::vector<TimerId> due_;
};

}  // namespace hibiscuspick::edge
