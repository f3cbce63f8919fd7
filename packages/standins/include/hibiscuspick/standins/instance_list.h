// The platform's list of instances, which tells each change only after a lag.
#pragma once

#include <deque>
#include <string>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::standins {

struct InstanceList {
  // How long a change stays unseen.
  Millis lag;
  // What readers see, as JSON text.
  std::string visible = "[]";
  struct Pending {
    Millis seen_at;
    std::string list;
  };
  std::deque<Pending> pending;
};

// Sets the list; readers see it once the lag has passed.
void SetInstances(InstanceList& list, std::string value, Millis now);

// What a reader gets now.
const std::string& VisibleInstances(InstanceList& list, Millis now);

}  // namespace hibiscuspick::standins
