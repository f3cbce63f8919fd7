// What an answer tells the caller: whether its request has run, and when to
// retry.
#pragma once

#include <string>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/retry_bookings.h"

namespace hibiscuspick::engine {

// Whether callers and peers take an answer of this status as a guarantee that
// the request has not run and never will. Such a status is given to nothing
// that may have run, also if a server replied with it.
bool PromisesNotRun(int status);

// Retry-After of an instance without a configuration that has listened for this
// long. A start that has taken some time is expected to take as long again: the
// other instances may have started at the same time, after a power loss, and
// could not serve a retry after 50 ms either.
Millis RetryAfterNotReady(Millis listening_for);

// Why a request that has not run is refused.
enum class RefusalCause {
  // Its queues are too long.
  kQueues,
  // Its account's allowance is used up.
  kAllowance,
  // Servers refused it, and no other server or budget is left.
  kShed,
  // No server is reachable.
  kNoServer,
  // This data centre is cut off, or all its servers' are evacuated.
  kPartitioned,
  // No server had room until the deadline.
  kNoRoom,
  kStopping,
};

struct RefusalInputs {
  RefusalCause cause = RefusalCause::kQueues;
  // Empty where callers have no accounts.
  std::string account;
  Millis now;
  // When the answer should arrive, and when the caller stops waiting.
  Millis target;
  Millis deadline;
  // When capacity is expected: the queues have drained, the servers are probed
  // or the allowance is refilled.
  Millis capacity_in;
  Millis service_time;
  // Time between two requests that this instance's capacity serves; 0 if it is
  // unknown or not for one service alone.
  Millis interval;
};

// The decision when the caller of a refused request is to retry. With
// `bookings`, a retry that can still meet the target gets a place of its own in
// the expected capacity.
Millis DecideRetryAfter(const RefusalInputs& it, RetryBookings* bookings);

// Formats a Retry-After.
std::string InSeconds(Millis it);

}  // namespace hibiscuspick::engine
