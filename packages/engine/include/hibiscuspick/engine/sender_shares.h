// Divides the connections that a service's servers accept, and the slack in its
// budget of extra attempts, among the instances. The shares of all instances
// never add up to more than the whole.
#pragma once

#include <cstddef>

namespace hibiscuspick::engine {

enum class SenderRole {
  // The first sender of its data centre: sends nearly all fan-outs.
  kPrimary,
  // Another sender: sends while the primary is busy, or until the primary's
  // loss is detected.
  kStandby,
  // Sends only the queries for which no sender is available. All instances have
  // this role if there are no senders.
  kNotSender,
};

struct SenderCounts {
  size_t instances = 1;
  size_t senders = 0;
  // The senders that are the first of their data centres.
  size_t primary_senders = 0;
};

// Fractions of the whole, from 0 to 1.
struct SenderShares {
  double connections = 0;
  double slack = 0;
};

// The share of one instance with this role. Standbys get a larger part of the
// connections than of the slack: connections can't be lent, and a standby
// without any would open a new one for each part, whereas slack is spent where
// the queries are.
SenderShares ComputeShares(const SenderCounts& counts, SenderRole role);

}  // namespace hibiscuspick::engine
