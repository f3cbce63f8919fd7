// A thread that runs the timers of all groups.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::dispatch {

class ExecutorGroup;

// Schedules the next tick of each group. A tick that comes early does nothing,
// so entries are only moved to earlier times; the tick itself returns the next
// one.
class GroupTimers {
 public:
  using GroupPtr = std::shared_ptr<ExecutorGroup>;

  // `tick` is called on the thread and returns the group's next due time.
  explicit GroupTimers(std::function<Millis(const GroupPtr&)> tick);
  ~GroupTimers();

  // Ensures that the group is ticked at `due` or earlier.
  void TickBy(const GroupPtr& group, Millis due);

  // Stops and joins the thread.
  void Stop();

 private:
  void Run();
  void SetDue(const GroupPtr& group, Millis due);

  const std::function<Millis(const GroupPtr&)> tick_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::set<std::pair<Millis, GroupPtr>> queue_;
  std::unordered_map<GroupPtr, Millis> due_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hibiscuspick::dispatch
