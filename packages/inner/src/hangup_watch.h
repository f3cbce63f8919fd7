// Notices at once that the other side of an idle connection is gone.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "descriptor.h"

namespace hibiscuspick::inner {

// One thread that waits on all outgoing connections. A crashed peer would
// otherwise be noticed only by the next message to it, and parts that it had
// already taken would wait for their deadline.
class HangupWatch {
 public:
  HangupWatch() = default;
  ~HangupWatch();
  HangupWatch(const HangupWatch&) = delete;
  HangupWatch& operator=(const HangupWatch&) = delete;

  void Start();
  void Stop();

  // Calls `on_hangup` once, from the watch's thread and holding its lock, when
  // the other side closes. Gives a number to remove it by.
  uint64_t Add(int fd, std::function<void()> on_hangup);
  // Afterwards `on_hangup` is not running and will not be called.
  void Remove(uint64_t number);

 private:
  struct Entry {
    Descriptor descriptor;
    std::function<void()> on_hangup;
  };

  void Run();
  void Wake();

  std::mutex mutex_;
  std::map<uint64_t, Entry> entries_;
  uint64_t next_ = 1;
  bool stopping_ = false;
  int wake_ = -1;
  std::thread thread_;
};

}  // namespace hibiscuspick::inner
