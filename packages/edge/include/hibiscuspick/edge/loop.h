// One thread's event loop: sockets by Asio, timers by a heap of its own.
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

// Asio's timers set a kernel timer whenever the earliest one changes, a system
// call for most attempts. Here the wait for sockets ends when the next timer
// is due, which costs no call of its own.
class Loop {
 public:
  using Task = std::function<void()>;
  using TimerId = uint64_t;

  Loop() : guard_(boost::asio::make_work_guard(io_)) {}

  boost::asio::io_context& io() { return io_; }

  // The instant at which the present round of work began, the same for all
  // decisions of a round. Read at the first use after a wait: an instant from
  // before the wait would make a request that ends it look old already, and its
  // answer would go out before its parts are in.
  Millis now() const {
    if (!now_read_) now_ = SteadyNow();
    now_read_ = true;
    return now_;
  }

  // Runs `task` once at or after `when`. Only from the loop's thread.
  TimerId At(Millis when, Task task);
  // Does nothing if the timer ran already or is 0.
  void Cancel(TimerId id);

  // Runs `task` soon; from any thread.
  void Post(Task task) { boost::asio::post(io_, std::move(task)); }

  // The share of the time since the last call in which the loop was at work,
  // and not waiting; from the loop's thread.
  double TakeBusyShare();

  // Serves until Stop.
  void Run();
  void Stop();

 private:
  struct Due {
    Millis when;
    TimerId id;
    bool operator>(const Due& it) const { return when > it.when; }
  };

  // How long to wait at that instant.
  Millis UntilNext(Millis at);
  void RunDue();

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::atomic<bool> stopped_{false};
  mutable Millis now_;
  mutable bool now_read_ = false;
  // Since when, and for how long since then, the loop was at work.
  Millis counted_from_ = SteadyNow();
  Millis at_work_;
  TimerId last_id_ = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::unordered_map<TimerId, Task> tasks_;
};

}  // namespace hibiscuspick::edge
