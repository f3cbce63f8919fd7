// What the parts of allowance_lease.h share: requests and grants
// (allowance_lease.cc) and messages to counting instances
// (allowance_lease_messages.cc).
#pragma once

#include "hibiscuspick/engine/allowance_lease.h"

namespace hibiscuspick::engine {

inline constexpr Millis kLeaseDemandTimeConstant{300};

// Has leases that are too old given back.
void ExpireLeases(AccountLeases* state, Millis now);

// Applies the answer for one account of the message `sequence`. `is_own`: it
// comes from the own pools.
void HandleGrant(AllowanceLeases* leases, const TokenGrant& grant,
                 uint64_t sequence, bool is_own, Millis now);

// Refuses all that wait, since nobody counts the account.
void RefuseUnanswered(AllowanceLeases* leases, AccountLeases* state);

}  // namespace hibiscuspick::engine
