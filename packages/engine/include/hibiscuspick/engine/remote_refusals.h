// What an instance remembers of accounts whose requests another instance
// refused: it refuses further ones itself instead of forwarding them. See
// docs/design/hard-load.md, part 2.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/allowance_messages.h"

namespace hibiscuspick::engine {

struct RemoteRefusal {
  Millis told_at;
  // Until then no new request of the account gets a token.
  Millis refuse_until;
  // When the next refused caller is to return, and how much later each further
  // one.
  Millis next_place;
  Millis spacing;
};

struct RemoteRefusals {
  // Only accounts that are refused now, and some whose time has just ended.
  std::unordered_map<ClientAccountId, RemoteRefusal> accounts;
  Millis cleaned_at{0};
};

// The instances that callers connect to. The reported spacing leaves room for
// the places of all of them; each starts at another one, so that callers who
// are refused at different instances don't return at the same time.
struct EntryInstances {
  size_t count = 1;
  // The position of this one among them, from 0.
  size_t rank = 0;
};

// Records a refusal that another instance reported: a grant without tokens.
void RecordRemoteRefusal(RemoteRefusals* refusals, const TokenGrant& refusal,
                         const EntryInstances& instances, Millis now);

// The Retry-After of a new request of the account, and the age of what is
// remembered; nullopt if the request isn't to be refused.
struct EarlyRefusal {
  Millis retry_after;
  Millis age;
};
std::optional<EarlyRefusal> RefuseEarly(RemoteRefusals* refusals,
                                        const ClientAccountId& account,
                                        Millis now);

}  // namespace hibiscuspick::engine
