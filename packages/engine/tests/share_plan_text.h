// Prints SenderCounts in the names of data-driven test cases.
#pragma once

#include <ostream>

#include "hibiscuspick/engine/sender_shares.h"

namespace hibiscuspick::engine {

inline std::ostream& operator<<(std::ostream& out, const SharePlan& plan) {
  return out << plan.instances << " instances, " << plan.senders
             << " senders in " << plan.first_senders << " data centres";
}

}  // namespace hibiscuspick::engine
