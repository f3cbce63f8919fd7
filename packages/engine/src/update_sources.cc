#include "hibiscuspick/engine/update_sources.h"

#include <algorithm>
#include <bit>

namespace hibiscuspick::engine {
namespace {

// Steps of StoreFallbackDelay. Before the first update, while callers wait, a
// little longer than the store takes to answer the group before; afterwards
// long enough for an update that the group before got to reach all others.
constexpr Millis kInitialFallbackStep{250};
constexpr Millis kFallbackStep{1000};

// Peers of the own data centre that are polled while the state is outdated: the
// two that all poll, and those that fall back to the store at the next step.
constexpr size_t kLocalPeersWhileOutdated = 4;

// Instances of a data centre that watch a failing store at most, however long
// it fails. If it refuses a third of them, one succeeds almost certainly; more
// would only add to its load. An instance whose peers are unresponsive too is
// first in rank anyway.
constexpr size_t kMaxStoreCallers = 8;

// The first in rank of the next data centre by name that has a responsive
// instance.
std::vector<Peer> FirstRemotePeer(const PeerTable& table,
                                  const DataCentreId& own, Millis now) {
  const auto all = DataCentres(table);
  const auto own_position = std::find(all.begin(), all.end(), own);
  const auto own_index = static_cast<size_t>(own_position - all.begin());
  for (size_t i = 1; i <= all.size(); ++i) {
    const auto& data_centre = all[(own_index + i) % all.size()];
    if (data_centre == own) continue;
    const auto ranking = RankPeers(table, data_centre, now);
    if (!ranking.empty()) return {ranking[0]};
  }
  return {};
}

// Adds the peers that aren't in the list yet, except this instance.
void AddPeers(const PeerTable& table, const std::vector<Peer>& more,
              std::vector<Peer>* peers) {
  for (const auto& it : more) {
    if (it.id == table.own) continue;
    const auto same = [&](auto& known) { return known.id == it.id; };
    if (std::any_of(peers->begin(), peers->end(), same)) continue;
    peers->push_back(it);
  }
}

// The ranking of the own data centre; empty if the own entry isn't known.
std::vector<Peer> RankLocalPeers(const PeerTable& table, Millis now) {
  const auto own = table.peers.find(table.own);
  if (own == table.peers.end()) return {};
  return RankPeers(table, own->second.data_centre, now);
}

std::vector<Peer> FallbackPeersByRank(const PeerTable& table,
                                      const std::vector<Peer>& ranking,
                                      Millis now) {
  if (ranking.empty()) return {};
  auto fallback_peers = FirstRemotePeer(table, ranking[0].data_centre, now);
  for (const auto& it : ranking) {
    if (it.id == table.own) continue;
    fallback_peers.push_back(it);
    break;
  }
  return fallback_peers;
}

UpdateSources NormalSourcesByRank(const PeerTable& table,
                                  const std::vector<Peer>& ranking,
                                  Millis now) {
  UpdateSources sources;
  sources.watch_store = ranking.empty() ||
                        table.peers.size() <= kMaxDirectWatchers ||
                        ranking[0].id == table.own;
  if (sources.watch_store) return sources;
  sources.peers = {ranking[0]};
  if (ranking[1].id != table.own) {
    sources.peers.push_back(ranking[1]);
    return sources;
  }
  AddPeers(table, FirstRemotePeer(table, ranking[0].data_centre, now),
           &sources.peers);
  return sources;
}

Millis StoreFallbackDelayByRank(const PeerTable& table,
                                const std::vector<Peer>& ranking,
                                bool has_updates) {
  if (ranking.empty()) return Millis(0);
  const auto at = std::find_if(ranking.begin(), ranking.end(),
                               [&](auto& it) { return it.id == table.own; });
  const auto rank = static_cast<size_t>(at - ranking.begin());
  if (rank >= kMaxStoreCallers) return kNever;
  // 2 for the second in rank, 4 for the next two, 8 for the next four.
  const auto doubled = static_cast<double>(std::bit_ceil(rank + 1));
  return has_updates ? kMaxUpdateAge + kFallbackStep * (doubled / 2 - 1)
                     : kInitialFallbackStep * (doubled / 2);
}

}  // namespace

Millis WatchWaitFor(Millis max_age) {
  constexpr Millis kShortestWait{100};
  constexpr double kShareOfAge = 1.0 / 3;
  return Max(kShortestWait, Min(kWatchWait, max_age * kShareOfAge));
}

Millis ConfigWatchWait(std::optional<Millis> max_age) {
  return max_age ? WatchWaitFor(*max_age) : kWatchWait;
}

Millis ServersWatchWait(std::optional<Millis> max_age) {
  return Min(ConfigWatchWait(max_age), kServersWatchWait);
}

Millis UpdateAge(const UpdateState& state, Millis now) {
  return now - Max(state.confirmed_at, state.started_at);
}

UpdateSources NormalSources(const PeerTable& table, Millis now) {
  return NormalSourcesByRank(table, RankLocalPeers(table, now), now);
}

std::vector<Peer> FallbackPeers(const PeerTable& table, Millis now) {
  return FallbackPeersByRank(table, RankLocalPeers(table, now), now);
}

Millis StoreFallbackDelay(const PeerTable& table, bool has_updates,
                          Millis now) {
  return StoreFallbackDelayByRank(table, RankLocalPeers(table, now),
                                  has_updates);
}

UpdateSources CurrentSources(const PeerTable& table, const UpdateState& state,
                             Millis now) {
  const bool has_updates = HasUpdates(state);
  const Millis age = UpdateAge(state, now);
  const auto ranking = RankLocalPeers(table, now);
  auto sources = NormalSourcesByRank(table, ranking, now);
  if (!state.list_complete && table.peers.size() <= kMaxDirectWatchers) {
    sources.watch_store = false;
    AddPeers(table, FallbackPeersByRank(table, ranking, now), &sources.peers);
    return sources;
  }
  const bool is_outdated =
      age > (has_updates ? kMaxUpdateAge : kInitialFallbackStep);
  if (is_outdated) {
    auto first_peers = ranking;
    first_peers.resize(std::min(first_peers.size(), kLocalPeersWhileOutdated));
    AddPeers(table, first_peers, &sources.peers);
  }
  if (is_outdated || (sources.watch_store && state.store_failing)) {
    AddPeers(table, FallbackPeersByRank(table, ranking, now), &sources.peers);
  }
  if (age > StoreFallbackDelayByRank(table, ranking, has_updates)) {
    sources.watch_store = true;
  }
  return sources;
}

}  // namespace hibiscuspick::engine
