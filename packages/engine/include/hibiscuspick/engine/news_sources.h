// Where an instance hears of configuration and servers: from the store, or from
// peers that do. What one instance asks of the store, hundreds may ask at the
// same moment, when all have started, or when the store has been away; so who
// asks follows from a rank that each works out for itself, and the calls grow
// with the number of data centres.
#pragma once

#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::engine {

// How long one watch waits at most. A store, or a connection to it, that
// swallows the question shows by the end of it.
inline constexpr Millis kWatchTime{3000};

// How long a question to a peer waits there if there is nothing to tell.
inline constexpr Millis kNewsWait{700};

// News that the store confirmed longer ago than this are no news: the watch and
// its slack, a question's wait, and the way.
inline constexpr Millis kOldestNews{4100};

// Whoever had to ask the store itself goes on for this long.
inline constexpr Millis kWatchAtLeast{3000};

struct NewsSources {
  // Watches the store itself.
  bool store = false;
  // Asks these peers, each for all news.
  std::vector<Peer> peers;
};

// What an instance has heard.
struct NewsState {
  // When it first knew whom to ask.
  Millis began;
  // When the store last confirmed what is held, by whomever it was told; before
  // `began` if nothing was.
  Millis confirmed{-1};
  // The own watches fail.
  bool store_fails = false;
  // The list of instances is whole: the own entry was found in it, or it was
  // read after all others had the time to write theirs. What is read in the
  // first moments of a fleet names a few, and each of these would take itself
  // for one of few.
  bool list_is_whole = true;
};

// Whether anybody has confirmed what is held since it knew whom to ask.
inline bool HasHeard(const NewsState& state) {
  return state.confirmed >= state.began;
}

// How long ago the store confirmed what is held; before anything was heard, for
// how long it has been asked for.
Millis NewsAge(const NewsState& state, Millis now);

// Where an instance hears while all is well. With few instances all watch. Else
// the first of each data centre watches; the second asks it and a first
// elsewhere; all others ask these two. So one watcher that is cut off from the
// store without knowing it keeps nobody uninformed, and each data centre has
// its own news while it is cut off.
NewsSources SourcesOf(const PeerTable& table, Millis now);

// Whom an instance asks that watches the store itself and hears nothing from
// it: another one of its data centre and one elsewhere. A store may turn away
// some instances only, or be cut off from them; what the others hear is as
// good.
std::vector<Peer> HelpersOf(const PeerTable& table, Millis now);

// How old its news may become before an instance asks the store itself, though
// others watch for it. The second of a data centre comes first, then the two
// after it, then four, each later than those before; the others leave it to
// them, since news that one of them gets come round within a second.
Millis PatienceOf(const PeerTable& table, bool has_heard, Millis now);

// Where to hear from now on: SourcesOf; the store itself once patience is at
// its end; and, while the own news are old or the own watches fail, the next
// few of the data centre and helpers besides.
NewsSources SourcesNow(const PeerTable& table, const NewsState& state,
                       Millis now);

}  // namespace hibiscuspick::engine
