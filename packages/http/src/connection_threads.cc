#include "hibiscuspick/http/connection_threads.h"

#include <utility>

namespace hibiscuspick::http {

ConnectionThreads::ConnectionThreads(size_t max_threads)
    : max_threads_(max_threads) {}

void ConnectionThreads::enqueue(std::function<void()> job) {
  const std::lock_guard lock(mutex_);
  jobs_.push_back(std::move(job));
  if (idle_ >= jobs_.size() || threads_.size() >= max_threads_) {
    wake_.notify_one();
    return;
  }
  threads_.emplace_back([this] { Work(); });
}

void ConnectionThreads::shutdown() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (auto& it : threads_) it.join();
}

void ConnectionThreads::Work() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    --idle_;
    if (jobs_.empty()) return;
    const auto job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

}  // namespace hibiscuspick::http
