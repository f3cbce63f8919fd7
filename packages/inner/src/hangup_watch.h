// Detects immediately when the peer closes an idle connection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "descriptor.h"

namespace hibiscuspick::inner {

// One thread that polls all outgoing connections. Without it, a crashed peer
// would be detected only by the next message to it, and parts that it had
// already received would wait for their deadline.
class HangupWatch {
 public:
  HangupWatch() = default;
  ~HangupWatch();
  HangupWatch(const HangupWatch&) = delete;
  HangupWatch& operator=(const HangupWatch&) = delete;

  void Start();
  void Stop();

  // Calls `on_hangup` once when the other side closes the connection, on the
  // watch's thread while it holds its lock. Returns a number for Remove.
  uint64_t Add(int fd, std::function<void()> on_hangup);
  // After the return `on_hangup` is not running and will not be called.
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
  int wake_fd_ = -1;
  std::thread thread_;
};

}  // namespace hibiscuspick::inner
