#include "pending_connections.h"

#include <utility>

namespace hibiscuspick::inner {

PendingConnections::PendingConnections(size_t max_count, Millis max_age)
    : max_count_(max_count), max_age_(max_age) {}

uint64_t PendingConnections::Add(int fd) {
  const Millis now = SteadyNow();
  const std::lock_guard lock(mutex_);
  for (const auto& [number, it] : entries_) {
    if (now - it.since > max_age_) it.descriptor.Shutdown();
  }
  Entry entry{Descriptor(fd), now};
  if (entries_.size() >= max_count_) entry.descriptor.Shutdown();
  const uint64_t number = next_++;
  entries_.emplace(number, std::move(entry));
  return number;
}

void PendingConnections::Remove(uint64_t number) {
  const std::lock_guard lock(mutex_);
  entries_.erase(number);
}

}  // namespace hibiscuspick::inner
