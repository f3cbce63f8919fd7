#include "hangup_watch.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>
#include <vector>

namespace hibiscuspick::inner {

HangupWatch::~HangupWatch() { Stop(); }

void HangupWatch::Start() {
  wake_fd_ = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  thread_ = std::thread([this] { Run(); });
}

void HangupWatch::Stop() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  Wake();
  thread_.join();
  ::close(wake_fd_);
}

void HangupWatch::Wake() {
  const uint64_t one = 1;
  // EAGAIN means that a wake-up is pending already.
  [[maybe_unused]] const auto n = ::write(wake_fd_, &one, sizeof one);
}

uint64_t HangupWatch::Add(int fd, std::function<void()> on_hangup) {
  uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = next_++;
    entries_.emplace(number, Entry{Descriptor(fd), std::move(on_hangup)});
  }
  Wake();
  return number;
}

void HangupWatch::Remove(uint64_t number) {
  const std::lock_guard lock(mutex_);
  entries_.erase(number);
}

void HangupWatch::Run() {
  std::vector<pollfd> polled;
  std::vector<uint64_t> numbers;
  for (;;) {
    polled.assign(1, pollfd{wake_fd_, POLLIN, 0});
    numbers.assign(1, 0);
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      for (const auto& [number, it] : entries_) {
        polled.push_back({it.descriptor.get(), POLLIN | POLLRDHUP, 0});
        numbers.push_back(number);
      }
    }
    // The number of a descriptor that is closed in the meantime may be reused.
    // That costs at most one spurious iteration: the callback is looked up by
    // entry number below, and Add wakes this thread.
    ::poll(polled.data(), polled.size(), -1);
    uint64_t drained = 0;
    [[maybe_unused]] const auto n = ::read(wake_fd_, &drained, sizeof drained);
    const std::lock_guard lock(mutex_);
    for (size_t i = 1; i < polled.size(); ++i) {
      if (polled[i].revents == 0) continue;
      const auto it = entries_.find(numbers[i]);
      if (it == entries_.end()) continue;
      const auto on_hangup = std::move(it->second.on_hangup);
      entries_.erase(it);
      on_hangup();
    }
  }
}

}  // namespace hibiscuspick::inner
