// Incoming connections that have not sent a valid hello yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include "descriptor.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::inner {

// Limits their number and their lifetime. A client that sends a byte now and
// then never triggers the timeout of a single read; without this limit, a few
// thousand such connections would use up the threads that peers need.
class PendingConnections {
 public:
  PendingConnections(size_t max_count, Millis max_age);

  // Adds a new connection, and closes those that have exceeded their time, or
  // this one if there are too many. Returns a number for Remove.
  uint64_t Add(int fd);

  // Called after a valid hello, or when the connection ends.
  void Remove(uint64_t number);

 private:
  struct Entry {
    Descriptor descriptor;
    Millis since;
  };

  const size_t max_count_;
  const Millis max_age_;
  std::mutex mutex_;
  std::map<uint64_t, Entry> entries_;
  uint64_t next_ = 1;
};

}  // namespace hibiscuspick::inner
