// One thread that calls back when a key is due.
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

// When each group wants its next tick. A tick that comes early does nothing,
// so that an entry is only ever moved forward here and set anew by the tick.
class GroupTimers {
 public:
  using GroupPtr = std::shared_ptr<ExecutorGroup>;

  // `tick` is called from the thread and gives the group's next due time.
  explicit GroupTimers(std::function<Millis(const GroupPtr&)> tick);
  ~GroupTimers();

  // Makes sure that the group is ticked at `due` or earlier.
  void WakeBy(const GroupPtr& group, Millis due);

  // Ends the thread.
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
