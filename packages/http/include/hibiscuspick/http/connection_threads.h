// The threads that serve connections: one each, reused, up to a limit.
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hibiscuspick::http {

// cpp-httplib serves a keep-alive connection on one thread for its whole life.
// Its own pool has a fixed number of threads, so that a few idle connections
// would leave new callers waiting unseen; this one adds a thread whenever none
// is free, up to `max_threads`, and only then lets work wait.
class ConnectionThreads : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(size_t max_threads);
  ~ConnectionThreads() override = default;

  void enqueue(std::function<void()> job) override;
  // Waits for all jobs, the waiting ones too.
  void shutdown() override;

 private:
  void Work();

  const size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> jobs_;
  std::vector<std::thread> threads_;
  size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace hibiscuspick::http
