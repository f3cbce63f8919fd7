#include "strangers.h"

#include <utility>

namespace hibiscuspick::inner {

Strangers::Strangers(size_t most, Millis longest)
    : most_(most), longest_(longest) {}

uint64_t Strangers::Enter(int fd) {
  const Millis now = SteadyNow();
  const std::lock_guard lock(mutex_);
  for (const auto& [number, it] : entries_) {
    if (now - it.since > longest_) it.descriptor.Shutdown();
  }
  Entry entry{Descriptor(fd), now};
  if (entries_.size() >= most_) entry.descriptor.Shutdown();
  const uint64_t number = next_++;
  entries_.emplace(number, std::move(entry));
  return number;
}

void Strangers::Leave(uint64_t number) {
  const std::lock_guard lock(mutex_);
  entries_.erase(number);
}

}  // namespace hibiscuspick::inner
