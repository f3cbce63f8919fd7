// A duplicated file descriptor for a socket that Thrift owns.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace hibiscuspick::inner {

// The duplicate stays valid until it is closed here. Using Thrift's own
// descriptor from another thread could affect an unrelated socket that got the
// same number after Thrift closed its own.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd < 0 ? -1 : ::dup(fd)) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int get() const { return fd_; }

  // Shuts down both directions; a thread blocked on the connection returns.
  void Shutdown() const {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }

 private:
  int fd_ = -1;
};

}  // namespace hibiscuspick::inner
