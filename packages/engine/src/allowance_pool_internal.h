// What the parts of allowance_pool.h share: grants (allowance_pool.cc) and the
// exchange between data centres (allowance_exchange.cc).
#pragma once

#include "hibiscuspick/engine/allowance_pool.h"

namespace hibiscuspick::engine {

// Short enough that tokens follow demand that moves between data centres within
// a second.
inline constexpr Millis kDemandTimeConstant{300};
inline constexpr Millis kReceivedTimeConstant{500};

// The tokens that a pool keeps for its own data centre.
double ExpectedUse(const AllowancePool& pool, Millis now);

// How long `count` requests without a token should wait for tokens from other
// data centres; 0 if none are to be expected.
Millis WaitForExchange(AllowancePools* pools, const ClientAccountId& account,
                       AllowancePool* pool, double count, Millis now);

// Has the other data centres asked for tokens if the pool will run short.
void NoteShortage(AllowancePools* pools, const ClientAccountId& account,
                  AllowancePool* pool, Millis now);

}  // namespace hibiscuspick::engine
