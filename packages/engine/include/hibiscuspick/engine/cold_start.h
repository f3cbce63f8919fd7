// Limits the requests sent to a backend server that is cold, and divides that
// limit among the instances. A server that has just started or come back fails
// under the load that it handles when it is warm.
#pragma once

#include <cstddef>
#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/sender_shares.h"

namespace hibiscuspick::engine {

// In any second, all instances together send a cold server at most `per_second`
// times `overage`, plus `slack`, requests.
struct ColdLimits {
  // 0 means no limit.
  double per_second = 0;
  double overage = 1;
  double slack = 0;
};

// The rank of an instance, from 0, among the instances with its role.
struct SenderRank {
  SenderRole role = SenderRole::kNotSender;
  size_t rank = 0;
};

// The number of requests that this instance may send to one cold server within
// kColdWindow. The allowances of all instances add up to less than the limit.
// Where the limit is lower than the number of instances, those of the lowest
// ranks get one request each and the others none.
int ColdAllowance(const ColdLimits& limits, const SenderCounts& counts,
                  const SenderRank& own);

// The limit applies to any second of arrivals at the server. The window exceeds
// that second by the time that a connection setup can delay an arrival.
inline constexpr Millis kColdWindow{1400};

// Send times of the requests within the last kColdWindow.
using RecentSends = std::vector<Millis>;

void AddRecentSend(RecentSends* sent, Millis now);
bool HasColdAllowance(const RecentSends& sent, int allowance, Millis now);

}  // namespace hibiscuspick::engine
