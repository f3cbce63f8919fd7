// A value that one thread replaces and many read.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace hibiscuspick::daemon {

// Holds the newest immutable value. Readers keep the one they took for as long
// as they need, so that one request never sees two. A mutex around the copy of
// a pointer costs some tens of nanoseconds, against a request's many
// microseconds.
template <class T>
class Published {
 public:
  explicit Published(std::shared_ptr<const T> value)
      : value_(std::move(value)) {}

  std::shared_ptr<const T> Get() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  void Set(std::shared_ptr<const T> value) {
    const std::lock_guard lock(mutex_);
    value_.swap(value);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

}  // namespace hibiscuspick::daemon
