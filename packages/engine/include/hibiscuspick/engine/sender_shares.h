// How the connections that a service's servers take, and the slack in its
// budget of extra attempts, are shared out. The parts of all instances together
// are never more than the whole.
#pragma once

#include <cstddef>

namespace hibiscuspick::engine {

enum class SenderRole {
  // The first sender of its data centre: sends nearly all fan-outs.
  kFirst,
  // Another sender: while the first is busy, or until it is found to be lost.
  kStandIn,
  // Sends what no sender within reach does; everybody, if there are none.
  kNone,
};

struct SharePlan {
  size_t instances = 1;
  size_t senders = 0;
  // Of these the first of their data centres.
  size_t first_senders = 0;
};

// Parts of the whole, from 0 to 1.
struct SenderShares {
  double connections = 0;
  double slack = 0;
};

// Connections can't be lent: a stand-in without any opens a new one for each
// part. Slack is spent where the queries are.
SenderShares SharesOf(const SharePlan& plan, SenderRole role);

}  // namespace hibiscuspick::engine
