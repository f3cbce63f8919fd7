// Connections that have not said hello yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include "descriptor.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::inner {

// Bounds how many there are and for how long. A stranger that sends a byte now
// and then keeps every timeout of a single read from firing; without this, a
// few thousand such connections would use up the threads that peers need.
class Strangers {
 public:
  Strangers(size_t most, Millis longest);

  // Takes in a new connection and ends those that are over their time, or this
  // one if there are too many. Gives a number to leave by.
  uint64_t Enter(int fd);

  // After a good hello, or at the connection's end.
  void Leave(uint64_t number);

 private:
  struct Entry {
    Descriptor descriptor;
    Millis since;
  };

  const size_t most_;
  const Millis longest_;
  std::mutex mutex_;
  std::map<uint64_t, Entry> entries_;
  uint64_t next_ = 1;
};

}  // namespace hibiscuspick::inner
