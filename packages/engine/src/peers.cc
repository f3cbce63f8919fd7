#include "hibiscuspick/engine/peers.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::engine {
namespace {

constexpr Millis kFirstSilence{2000};
constexpr Millis kLongestSilence{10000};

// A capable instance has at least this multiple of the smallest CPU share.
constexpr double kAbler = 2;

// If a pause delays one of seven parts in three of ten answers, the average is
// 0.04; at more than twice that the servers are slow or overloaded.
constexpr double kMostLacking = 0.1;
constexpr double kAnswerWeight = 0.1;
constexpr Millis kRelayAvoidance{2000};

bool IsThere(const PeerTable& table, const InstanceId& id, Millis now) {
  if (id == table.own) return true;
  const auto silent = table.silent.find(id);
  return silent == table.silent.end() || now >= silent->second.until;
}

// Orders by CPU share, the largest first, then by hash. `peers` are ordered by
// id, and those of equal hash stay so. The hashes are computed once for each,
// since an instance ranks hundreds several times per second.
std::vector<Peer> Ranked(const std::vector<const Peer*>& peers) {
  std::vector<std::tuple<double, uint64_t, const Peer*>> keyed;
  keyed.reserve(peers.size());
  for (const auto* it : peers) {
    keyed.emplace_back(-it->processor, Hash(it->id.text), it);
  }
  std::stable_sort(keyed.begin(), keyed.end(), [](auto& a, auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) <
           std::tie(std::get<0>(b), std::get<1>(b));
  });
  std::vector<Peer> ranked;
  ranked.reserve(keyed.size());
  for (const auto& it : keyed) ranked.push_back(*std::get<2>(it));
  return ranked;
}

// The first in rank of each data centre.
std::vector<Peer> FirstOfEach(const PeerTable& table, Millis now) {
  std::vector<Peer> first;
  for (const auto& it : DataCentres(table)) {
    const auto ranking = Ranking(table, it, now);
    if (!ranking.empty()) first.push_back(ranking[0]);
  }
  return first;
}

// The senders in the own data centre if that has servers of the shards, or else
// those in data centres that have.
std::vector<const Peer*> Nearest(const std::vector<Peer>& senders,
                                 const Peer& own,
                                 const std::vector<DataCentreId>& places) {
  const auto rank = [&](const Peer& it) {
    const bool holds =
        places.empty() ||
        std::find(places.begin(), places.end(), it.data_centre) != places.end();
    if (!holds) return 2;
    return it.data_centre == own.data_centre ? 0 : 1;
  };
  int best = 2;
  for (const auto& it : senders) best = std::min(best, rank(it));
  std::vector<const Peer*> nearest;
  for (const auto& it : senders) {
    if (rank(it) == best) nearest.push_back(&it);
  }
  return nearest;
}

}  // namespace

void NoteSilent(PeerTable* table, const InstanceId& peer, Millis now) {
  auto& silence = table->silent[peer];
  const Millis pause = Min(kFirstSilence * (1 << std::min(silence.failures, 4)),
                           kLongestSilence);
  ++silence.failures;
  silence.until = now + pause;
}

void NoteAnswered(PeerTable* table, const InstanceId& peer) {
  table->silent.erase(peer);
}

Millis ListPause(size_t instances) {
  constexpr Millis kOften{4000};
  const double times =
      static_cast<double>(instances) / static_cast<double>(kListedOften);
  return kOften * std::max(1.0, times);
}

std::vector<DataCentreId> DataCentres(const PeerTable& table) {
  std::set<DataCentreId> all;
  for (const auto& [id, peer] : table.peers) all.insert(peer.data_centre);
  return {all.begin(), all.end()};
}

std::vector<Peer> Ranking(const PeerTable& table, const DataCentreId& where,
                          Millis now) {
  std::vector<const Peer*> there;
  for (const auto& [id, peer] : table.peers) {
    if (peer.data_centre == where && IsThere(table, id, now)) {
      there.push_back(&peer);
    }
  }
  return Ranked(there);
}

std::vector<Peer> PeersThere(const PeerTable& table, Millis now) {
  std::vector<Peer> there;
  for (const auto& [id, peer] : table.peers) {
    if (id != table.own && IsThere(table, id, now)) there.push_back(peer);
  }
  return there;
}

size_t RankById(const PeerTable& table) {
  return static_cast<size_t>(
      std::distance(table.peers.begin(), table.peers.lower_bound(table.own)));
}

std::vector<Peer> SomeElsewhere(const PeerTable& table) {
  constexpr size_t kSome = 3;
  // Each instance gets a different sample: while a data centre is unreachable
  // all instances probe it, five times per second.
  const auto rank = [&](const Peer& it) {
    return Hash(table.own.text + it.id.text);
  };
  std::map<DataCentreId, std::vector<Peer>> places;
  for (const auto& [id, peer] : table.peers) {
    places[peer.data_centre].push_back(peer);
  }
  const auto own = table.peers.find(table.own);
  if (own != table.peers.end()) places.erase(own->second.data_centre);
  std::vector<Peer> some;
  for (auto& [where, there] : places) {
    std::sort(there.begin(), there.end(),
              [&](auto& a, auto& b) { return rank(a) < rank(b); });
    there.resize(std::min(there.size(), kSome));
    some.insert(some.end(), there.begin(), there.end());
  }
  return some;
}

std::vector<Peer> FanOutSenders(const PeerTable& table, Millis now) {
  if (!table.few_senders) return {};
  if (table.peers.size() <= kMostDirect) return FirstOfEach(table, now);
  double least = 1e9;
  double most = 0;
  for (const auto& [id, peer] : table.peers) {
    least = std::min(least, peer.processor);
    most = std::max(most, peer.processor);
  }
  std::vector<Peer> senders;
  if (most < least * kAbler) return senders;
  // Only these are ranked, since there may be hundreds of others.
  std::map<DataCentreId, std::vector<const Peer*>> ablest;
  for (const auto& [id, peer] : table.peers) {
    if (peer.processor >= most && IsThere(table, id, now)) {
      ablest[peer.data_centre].push_back(&peer);
    }
  }
  for (const auto& [where, peers] : ablest) {
    const auto ranked = Ranked(peers);
    senders.insert(senders.end(), ranked.begin(), ranked.end());
  }
  return senders;
}

std::vector<Peer> FirstSenders(const std::vector<Peer>& senders) {
  std::vector<Peer> first;
  std::set<DataCentreId> seen;
  for (const auto& it : senders) {
    if (seen.insert(it.data_centre).second) first.push_back(it);
  }
  return first;
}

const Peer* SenderFor(const std::vector<Peer>& senders, const Peer& own,
                      const std::vector<DataCentreId>& shard_places,
                      size_t turn,
                      const std::function<double(const InstanceId&)>& busy) {
  const auto nearest = Nearest(senders, own, shard_places);
  if (nearest.empty()) return nullptr;
  // The first of each data centre, beginning with a different data centre each
  // time, before the others.
  std::vector<const Peer*> order;
  std::vector<const Peer*> others;
  std::set<DataCentreId> seen;
  for (const auto* it : nearest) {
    (seen.insert(it->data_centre).second ? order : others).push_back(it);
  }
  const auto by = static_cast<std::ptrdiff_t>(turn % order.size());
  std::rotate(order.begin(), order.begin() + by, order.end());
  order.insert(order.end(), others.begin(), others.end());
  auto at = std::find_if(order.begin(), order.end(),
                         [&](auto* it) { return busy(it->id) < kBusySender; });
  if (at == order.end()) {
    at = std::min_element(order.begin(), order.end(), [&](auto* a, auto* b) {
      return busy(a->id) < busy(b->id);
    });
  }
  return (*at)->id == own.id ? nullptr : *at;
}

std::vector<Peer> SendersAtHome(const std::vector<Peer>& senders,
                                const Homes& homes) {
  std::vector<Peer> at_home;
  std::copy_if(senders.begin(), senders.end(), std::back_inserter(at_home),
               [&](auto& it) { return IsHome(homes, it.data_centre); });
  return at_home;
}

std::vector<RelayGroup> GroupRelays(
    const std::vector<std::vector<DataCentreId>>& places,
    const DataCentreId& own,
    const std::function<bool(const DataCentreId&)>& has_peer) {
  std::map<DataCentreId, std::vector<size_t>> shards_at;
  for (size_t i = 0; i < places.size(); ++i) {
    const auto& here = places[i];
    if (std::find(here.begin(), here.end(), own) != here.end()) continue;
    for (const auto& it : here) shards_at[it].push_back(i);
  }
  std::erase_if(shards_at, [&](const auto& it) { return !has_peer(it.first); });
  std::vector<RelayGroup> groups;
  while (!shards_at.empty()) {
    const auto most = std::max_element(
        shards_at.begin(), shards_at.end(),
        [](auto& a, auto& b) { return a.second.size() < b.second.size(); });
    RelayGroup group{most->first, std::move(most->second)};
    shards_at.erase(most);
    if (group.shards.size() < kFewestRelayed) break;
    for (auto& [where, shards] : shards_at) {
      std::erase_if(shards, [&](size_t i) {
        return std::binary_search(group.shards.begin(), group.shards.end(), i);
      });
    }
    groups.push_back(std::move(group));
  }
  return groups;
}

void NoteRelay(RelayHealth* health, double lacking, Millis now) {
  health->lacking += kAnswerWeight * (lacking - health->lacking);
  if (health->lacking <= kMostLacking) return;
  health->avoided_until = now + kRelayAvoidance;
  // Halved, so that after the backoff one bad answer is enough to continue
  // without relays, and ten good ones to return to them.
  health->lacking /= 2;
}

}  // namespace hibiscuspick::engine
