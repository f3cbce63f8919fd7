#include "hibiscuspick/engine/news_sources.h"

#include <algorithm>
#include <bit>

namespace hibiscuspick::engine {
namespace {

// Steps of StoreFallbackDelay. Before the first update, while callers wait, a
// little longer than the store takes to answer the group before; afterwards
// long enough for an update that the group before got to reach all others.
constexpr Millis kFirstStep{250};
constexpr Millis kStep{1000};

// Peers of the own data centre that are polled while the state is outdated: the
// two that all poll, and those that fall back to the store at the next step.
constexpr size_t kAskedWhileOld = 4;

// Instances of a data centre that watch a failing store at most, however long
// it fails. If it refuses a third of them, one succeeds almost certainly; more
// would only add to its load. An instance whose peers are unresponsive too is
// first in rank anyway.
constexpr size_t kMostAsking = 8;

// The first in rank of the next data centre by name that has a responsive
// instance.
std::vector<Peer> FirstElsewhere(const PeerTable& table,
                                 const DataCentreId& own, Millis now) {
  const auto all = DataCentres(table);
  const auto here = std::find(all.begin(), all.end(), own);
  const auto at = static_cast<size_t>(here - all.begin());
  for (size_t i = 1; i <= all.size(); ++i) {
    const auto& where = all[(at + i) % all.size()];
    if (where == own) continue;
    const auto ranking = Ranking(table, where, now);
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
std::vector<Peer> RankingHere(const PeerTable& table, Millis now) {
  const auto own = table.peers.find(table.own);
  if (own == table.peers.end()) return {};
  return Ranking(table, own->second.data_centre, now);
}

std::vector<Peer> HelpersBy(const PeerTable& table,
                            const std::vector<Peer>& ranking, Millis now) {
  if (ranking.empty()) return {};
  auto helpers = FirstElsewhere(table, ranking[0].data_centre, now);
  for (const auto& it : ranking) {
    if (it.id == table.own) continue;
    helpers.push_back(it);
    break;
  }
  return helpers;
}

NewsSources SourcesBy(const PeerTable& table, const std::vector<Peer>& ranking,
                      Millis now) {
  NewsSources sources;
  sources.store = ranking.empty() || table.peers.size() <= kMostDirect ||
                  ranking[0].id == table.own;
  if (sources.store) return sources;
  sources.peers = {ranking[0]};
  if (ranking[1].id != table.own) {
    sources.peers.push_back(ranking[1]);
    return sources;
  }
  AddPeers(table, FirstElsewhere(table, ranking[0].data_centre, now),
           &sources.peers);
  return sources;
}

Millis PatienceBy(const PeerTable& table, const std::vector<Peer>& ranking,
                  bool has_heard) {
  if (ranking.empty()) return Millis(0);
  const auto at = std::find_if(ranking.begin(), ranking.end(),
                               [&](auto& it) { return it.id == table.own; });
  const auto rank = static_cast<size_t>(at - ranking.begin());
  if (rank >= kMostAsking) return kNever;
  // 2 for the second in rank, 4 for the next two, 8 for the next four.
  const auto doubled = static_cast<double>(std::bit_ceil(rank + 1));
  return has_heard ? kOldestNews + kStep * (doubled / 2 - 1)
                   : kFirstStep * (doubled / 2);
}

}  // namespace

Millis NewsAge(const NewsState& state, Millis now) {
  return now - Max(state.confirmed, state.began);
}

NewsSources SourcesOf(const PeerTable& table, Millis now) {
  return SourcesBy(table, RankingHere(table, now), now);
}

std::vector<Peer> HelpersOf(const PeerTable& table, Millis now) {
  return HelpersBy(table, RankingHere(table, now), now);
}

Millis PatienceOf(const PeerTable& table, bool has_heard, Millis now) {
  return PatienceBy(table, RankingHere(table, now), has_heard);
}

NewsSources SourcesNow(const PeerTable& table, const NewsState& state,
                       Millis now) {
  const bool has_heard = HasHeard(state);
  const Millis age = NewsAge(state, now);
  const auto ranking = RankingHere(table, now);
  auto sources = SourcesBy(table, ranking, now);
  if (!state.list_is_whole && table.peers.size() <= kMostDirect) {
    sources.store = false;
    AddPeers(table, HelpersBy(table, ranking, now), &sources.peers);
    return sources;
  }
  const bool is_old = age > (has_heard ? kOldestNews : kFirstStep);
  if (is_old) {
    auto first = ranking;
    first.resize(std::min(first.size(), kAskedWhileOld));
    AddPeers(table, first, &sources.peers);
  }
  if (is_old || (sources.store && state.store_fails)) {
    AddPeers(table, HelpersBy(table, ranking, now), &sources.peers);
  }
  if (age > PatienceBy(table, ranking, has_heard)) sources.store = true;
  return sources;
}

}  // namespace hibiscuspick::engine
