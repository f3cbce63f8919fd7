#include "hibiscuspick/engine/news_sources.h"

#include <algorithm>
#include <bit>

namespace hibiscuspick::engine {
namespace {

// A step of patience: before the first news, in which callers wait, little more
// than the store's answers to the one before take; later, time enough for the
// news of the step before to come round.
constexpr Millis kFirstStep{250};
constexpr Millis kStep{1000};

// Of the own data centre, asked while the news are old: besides the two that
// all ask, those that come to the store at the next step.
constexpr size_t kAskedWhileOld = 4;

// Instances of a data centre that ask the store at most, however long it says
// nothing. Where it turns away a third of them one is heard all but surely;
// more would only add to what it has to turn away. An instance whose peers are
// silent too comes first by that.
constexpr size_t kMostAsking = 8;

// The first of the next data centre, in the order of names, that has one.
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

// Adds those that aren't there yet, and not the asker itself.
void AddPeers(const PeerTable& table, const std::vector<Peer>& more,
              std::vector<Peer>* peers) {
  for (const auto& it : more) {
    if (it.id == table.own) continue;
    const auto same = [&](auto& known) { return known.id == it.id; };
    if (std::any_of(peers->begin(), peers->end(), same)) continue;
    peers->push_back(it);
  }
}

// The first in rank of the own data centre.
std::vector<Peer> FirstHere(const PeerTable& table, size_t n, Millis now) {
  const auto own = table.peers.find(table.own);
  if (own == table.peers.end()) return {};
  auto ranking = Ranking(table, own->second.data_centre, now);
  ranking.resize(std::min(ranking.size(), n));
  return ranking;
}

}  // namespace

Millis NewsAge(const NewsState& state, Millis now) {
  return now - Max(state.confirmed, state.began);
}

NewsSources SourcesOf(const PeerTable& table, Millis now) {
  NewsSources sources;
  const auto own = table.peers.find(table.own);
  sources.store = own == table.peers.end() || table.peers.size() <= kMostDirect;
  if (sources.store) return sources;
  const auto ranking = Ranking(table, own->second.data_centre, now);
  if (ranking[0].id == table.own) {
    sources.store = true;
    return sources;
  }
  sources.peers = {ranking[0]};
  if (ranking[1].id != table.own) {
    sources.peers.push_back(ranking[1]);
    return sources;
  }
  AddPeers(table, FirstElsewhere(table, own->second.data_centre, now),
           &sources.peers);
  return sources;
}

std::vector<Peer> HelpersOf(const PeerTable& table, Millis now) {
  const auto own = table.peers.find(table.own);
  if (own == table.peers.end()) return {};
  const auto& here = own->second.data_centre;
  auto helpers = FirstElsewhere(table, here, now);
  for (const auto& it : Ranking(table, here, now)) {
    if (it.id == table.own) continue;
    helpers.push_back(it);
    break;
  }
  return helpers;
}

Millis PatienceOf(const PeerTable& table, bool has_heard, Millis now) {
  const auto own = table.peers.find(table.own);
  if (own == table.peers.end()) return Millis(0);
  const auto ranking = Ranking(table, own->second.data_centre, now);
  const auto at = std::find_if(ranking.begin(), ranking.end(),
                               [&](auto& it) { return it.id == table.own; });
  const auto rank = static_cast<size_t>(at - ranking.begin());
  if (rank >= kMostAsking) return kNever;
  // 0, 1, 2 for the second, 4 for the next two, 8 for the four after them.
  const auto doubled = static_cast<double>(std::bit_ceil(rank + 1));
  return has_heard ? kOldestNews + kStep * (doubled / 2 - 1)
                   : kFirstStep * (doubled / 2);
}

NewsSources SourcesNow(const PeerTable& table, const NewsState& state,
                       Millis now) {
  const bool has_heard = HasHeard(state);
  const Millis age = NewsAge(state, now);
  auto sources = SourcesOf(table, now);
  if (!state.list_is_whole && table.peers.size() <= kMostDirect) {
    sources.store = false;
    AddPeers(table, HelpersOf(table, now), &sources.peers);
    return sources;
  }
  const bool is_old = age > (has_heard ? kOldestNews : kFirstStep);
  if (is_old) {
    AddPeers(table, FirstHere(table, kAskedWhileOld, now), &sources.peers);
  }
  if (is_old || (sources.store && state.store_fails)) {
    AddPeers(table, HelpersOf(table, now), &sources.peers);
  }
  if (age > PatienceOf(table, has_heard, now)) sources.store = true;
  return sources;
}

}  // namespace hibiscuspick::engine
