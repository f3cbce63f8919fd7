// Prints SenderCounts in the names of data-driven test cases.
#pragma once

#include <ostream>

#include "hibiscuspick/engine/sender_shares.h"

namespace hibiscuspick::engine {

inline std::ostream& operator<<(std::ostream& out, const SenderCounts& counts) {
  return out << counts.instances << " instances, " << counts.senders
             << " senders in " << counts.primary_senders << " data centres";
}

}  // namespace hibiscuspick::engine
