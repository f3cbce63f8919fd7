// How many requests a backend server may get while it is cold, and which share
// of them is this instance's. A server that has just started, or come back,
// breaks under what it carries when it is warm.
#pragma once

#include <cstddef>
#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/sender_shares.h"

namespace hibiscuspick::engine {

// A cold server gets at most `per_second` times `overage`, and `slack` more, in
// any second, from all instances together.
struct ColdLimits {
  // 0 for no bound.
  double per_second = 0;
  double overage = 1;
  double slack = 0;
};

// The place of an instance among those of its role, from 0.
struct GroupRank {
  SenderRole role = SenderRole::kNone;
  size_t rank = 0;
};

// Requests that this instance may send to one cold server within kColdWindow.
// The shares of all instances together stay below the bound; where they are
// fewer than the instances, those of low rank have one each.
int ColdAllowance(const ColdLimits& limits, const SharePlan& plan,
                  const GroupRank& own);

// Longer than the second that the bound is over, by the time that a connection
// may take: a request counts when it arrives.
inline constexpr Millis kColdWindow{1400};

// The instants of the requests sent lately.
using SentLately = std::vector<Millis>;

void AddSent(SentLately* sent, Millis now);
bool HasColdRoom(const SentLately& sent, int allowance, Millis now);

}  // namespace hibiscuspick::engine
