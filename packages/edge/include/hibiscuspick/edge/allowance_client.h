// Takes tokens for requests of client accounts: from this instance's leases or
// from the counting instances. Used by the traffic thread only.
#pragma once

#include <functional>
#include <variant>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::edge {

// The request may run; it has taken one token.
struct TokenTaken {};
// The account's allowance is used up: 429 with this Retry-After.
struct AllowanceUsedUp {
  Millis retry_after;
};
// No counting instance can be reached and this instance's own share is used up:
// 503 with this Retry-After, since another instance may be in touch.
struct AllowanceUnknown {
  Millis retry_after;
};
using TokenOutcome =
    std::variant<TokenTaken, AllowanceUsedUp, AllowanceUnknown>;

using OnToken = std::function<void(const TokenOutcome&)>;

}  // namespace hibiscuspick::edge
