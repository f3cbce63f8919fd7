// When an instance asks a store again that has failed it.
#pragma once

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

enum class StoreFailure {
  // It answered, and not with what was asked: it is busy, or turns us away.
  kRefused,
  // No connection, no answer, or a broken one.
  kUnreachable,
};

// The shortest time within which an instance must know all again after the
// store, or the way there, is back: the users' sites hold it to the bounds on
// draining from then on.
inline constexpr Millis kKnowsAllAgainIn{4000};

// A store or a way that swallows packets costs a whole connect timeout, which
// may begin just before the return. 400 ms are a hundred times a calm answer.
inline constexpr Millis kStoreConnect{400};

// The first watch after a failure waits for no longer, so that a store that
// accepts requests and says nothing is seen through soon.
inline constexpr Millis kFirstWatch{400};

// How long an answer may take beyond what the watch itself waits. A store that
// cuts a watch may just never answer it, on a connection that stays alive; the
// slowest store of the sites takes 240 ms.
inline constexpr Millis kWatchSlack{400};

inline constexpr Millis kListTimeout{1000};

// The pause before the next call after so many failures in a row, doubled each
// time. `spread`, from 0.5 to 1.5, keeps instances apart that failed together.
// What is refused counts as a call that has its price, so that its pauses grow
// longer than those of what never arrives.
Millis RetryPause(StoreFailure what, int failures, double spread);

// The longest time from the store's return until the first good answer.
Millis LongestReturn();

}  // namespace hibiscuspick::engine
