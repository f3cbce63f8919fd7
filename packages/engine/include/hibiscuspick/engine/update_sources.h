// Where an instance gets updates of the configuration and of the servers: from
// the store, or from peers that watch it. Hundreds of instances may call the
// store at the same moment, after a common start or a store outage. Which of
// them watch it follows from a rank that each computes for itself, so that the
// number of calls grows with the number of data centres only.
#pragma once

#include <optional>
#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::engine {

// The longest wait of one watch (long poll). A store or connection that drops
// the request is detected at the end of this time.
inline constexpr Millis kWatchWait{3000};

// The longest wait of a watch of the servers. If its connection is dead without
// a reset, this time, the retry and the delay of removals (directory.h) pass
// until a server that has left gets no more requests; together they stay below
// kRecoveryTimeLimit.
inline constexpr Millis kServersWatchWait{1100};

// How long a poll of a peer waits there if there is no update.
inline constexpr Millis kPeerPollWait{700};

// How long a watch waits if state must not be older than `max_age`: a third of
// it, at most kWatchWait. The poll of a peer and one call that fails come on
// top; with 3000 ms and a bound of 5000 ms a single lost reply of the store
// exceeds the bound.
Millis WatchWaitFor(Millis max_age);

// How long a watch of the configuration waits, and one of the servers;
// `max_age`: none if state may be of any age.
Millis ConfigWatchWait(std::optional<Millis> max_age);
Millis ServersWatchWait(std::optional<Millis> max_age);

// State that the store confirmed longer ago than this is outdated: 3000 + 400 +
// 700 ms for a watch with its timeout margin and a poll of a peer.
inline constexpr Millis kMaxUpdateAge{4100};

// An instance that had to fall back to the store keeps watching it for at least
// this long.
inline constexpr Millis kMinWatchTime{3000};

struct UpdateSources {
  // Watches the store itself.
  bool watch_store = false;
  // Polls these peers, each for all updates.
  std::vector<Peer> peers;
};

// What is known about an instance's own updates.
struct UpdateState {
  // When the instance first knew its sources.
  Millis started_at;
  // When the store last confirmed the state held here, to this instance or to
  // the peer that passed it on; before `started_at` if it never did.
  Millis confirmed_at{-1};
  // This instance's own watches fail.
  bool store_failing = false;
  // The list of instances is complete: it contained the own entry, or was read
  // after all others had the time to write theirs. A list read in the first
  // moments after a common start contains only a few instances, and each of
  // these would assume a small fleet.
  bool list_complete = true;
};

// Whether the store has confirmed the state held here since the instance first
// knew its sources.
inline bool HasUpdates(const UpdateState& state) {
  return state.confirmed_at >= state.started_at;
}

// The time since the store last confirmed the state held here; if it never did,
// the time since the instance first knew its sources.
Millis UpdateAge(const UpdateState& state, Millis now);

// The sources in normal operation. In a small fleet all instances watch the
// store. Otherwise the first in rank of each data centre watches it, the second
// polls the first and the first of another data centre, and all others poll
// these two. A watcher that is cut off from the store without noticing
// therefore leaves nobody without updates, and a data centre that is cut off
// from the others still has its own.
UpdateSources NormalSources(const PeerTable& table, Millis now);

// The peers that a watching instance polls if its own watches fail: one of its
// own data centre and one of another. The store may refuse or be unreachable
// for some instances only, and the updates that the others get are as good.
std::vector<Peer> FallbackPeers(const PeerTable& table, Millis now);

// How old its state may become before an instance that isn't a watcher watches
// the store too. The second in rank of a data centre comes first, then the next
// two, then the next four, each group later than the one before. The others
// never do, since they get any update that reaches one of these within a
// second.
Millis StoreFallbackDelay(const PeerTable& table, bool has_updates, Millis now);

// The sources to use from now on: NormalSources; also the store once
// StoreFallbackDelay has passed; also, while the own state is outdated or the
// own watches fail, the next peers in rank of the own data centre and
// FallbackPeers. While an incomplete list shows a small fleet, peers only.
UpdateSources CurrentSources(const PeerTable& table, const UpdateState& state,
                             Millis now);

}  // namespace hibiscuspick::engine
