// The platform on virtual time: the stand-in's object store without its
// server.
#pragma once

#include <cstdint>

#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/standins/object_store.h"

namespace hibiscuspick::scenario {

struct FakePlatform {
  standins::ObjectStore store;
  bool down = false;
  // PUTs still to come that take effect and are not answered.
  int lose_replies = 0;
  uint64_t calls = 0;
};

// The calls as one instance has them; `reachable` is asked before each.
platform::Calls CallsOf(FakePlatform* platform,
                        std::function<bool()> reachable);

}  // namespace hibiscuspick::scenario
