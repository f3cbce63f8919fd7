// Retry delays and timeouts of calls to a store that has failed.
#pragma once

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

enum class StoreFailure {
  // The store answered with an error: it is overloaded or refuses the instance.
  kRefused,
  // There was no connection, no answer, or an incomplete one.
  kUnreachable,
};

// The longest time that an instance may take to be up to date again after the
// store, or the connection to it, has recovered: from then on it must meet the
// users' limits on draining time.
inline constexpr Millis kRecoveryTimeLimit{4000};

// A store or network that drops packets costs a whole connect timeout, which
// may begin just before the recovery. 400 ms is a hundred times the answer time
// of an idle store.
inline constexpr Millis kStoreConnectTimeout{400};

// The first watch after a failure waits no longer than this, so that a store
// that accepts requests and never answers is detected soon.
inline constexpr Millis kFirstWatchWait{400};

// How long an answer may take beyond the wait of the watch itself. A store that
// ends a watch may simply never answer it, on a connection that stays open; the
// slowest store in use takes 240 ms.
inline constexpr Millis kWatchTimeoutMargin{400};

inline constexpr Millis kListTimeout{1000};

// A reply that has begun to arrive is abandoned when nothing more of it has
// arrived for this long, or for up to twice as long, since progress is checked
// at this interval.
inline constexpr Millis kTransferStallTimeout{500};

// The longest time that a reply may take while it makes progress. A source that
// sends very slowly would otherwise be kept for minutes.
inline constexpr Millis kMaxTransferTime{10000};

// The delay before the next call after this number of consecutive failures,
// doubled for each. `jitter`, from 0.5 to 1.5, spreads out instances that
// failed together. Refused calls put load on the store, so that their delays
// grow longer than those of calls that never arrive.
Millis RetryDelay(StoreFailure failure, int failures, double jitter);

// The longest time from the store's recovery until the first successful answer.
Millis MaxRecoveryTime();

}  // namespace hibiscuspick::engine
