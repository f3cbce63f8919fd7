#include "hibiscuspick/engine/peers.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::engine {
namespace {

constexpr Millis kInitialBackoff{2000};
constexpr Millis kMaxBackoff{10000};

// A capable instance has at least this multiple of the smallest CPU share.
constexpr double kCapableFactor = 2;

// If a pause delays one of seven parts in three of ten answers, the average is
// 0.04; at more than twice that the servers are slow or overloaded.
constexpr double kMaxMissingShare = 0.1;
constexpr double kAnswerWeight = 0.1;
constexpr Millis kRelayBackoff{2000};

bool IsResponsive(const PeerTable& table, const InstanceId& id, Millis now) {
  if (id == table.own) return true;
  const auto backoff = table.backoffs.find(id);
  return backoff == table.backoffs.end() || now >= backoff->second.until;
}

// Orders by CPU share, the largest first, then by hash. `peers` are ordered by
// id, and those of equal hash stay so. The hashes are computed once for each,
// since an instance ranks hundreds several times per second.
std::vector<Peer> SortByRank(const std::vector<const Peer*>& peers) {
  std::vector<std::tuple<double, uint64_t, const Peer*>> keyed;
  keyed.reserve(peers.size());
  for (const auto* it : peers) {
    keyed.emplace_back(-it->cpu_cores, Hash(it->id.text), it);
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
std::vector<Peer> FirstInRank(const PeerTable& table, Millis now) {
  std::vector<Peer> first;
  for (const auto& it : DataCentres(table)) {
    const auto ranking = RankPeers(table, it, now);
    if (!ranking.empty()) first.push_back(ranking[0]);
  }
  return first;
}

// The senders in the own data centre if that has servers of the shards, or else
// those in data centres that have.
std::vector<const Peer*> NearestSenders(
    const std::vector<Peer>& senders, const Peer& own,
    const std::vector<DataCentreId>& shard_data_centres) {
  const auto rank = [&](const Peer& it) {
    const bool has_servers =
        shard_data_centres.empty() ||
        std::find(shard_data_centres.begin(), shard_data_centres.end(),
                  it.data_centre) != shard_data_centres.end();
    if (!has_servers) return 2;
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

void RecordUnresponsive(PeerTable* table, const InstanceId& peer, Millis now) {
  auto& backoff = table->backoffs[peer];
  const Millis duration =
      Min(kInitialBackoff * (1 << std::min(backoff.failures, 4)), kMaxBackoff);
  ++backoff.failures;
  backoff.until = now + duration;
}

void RecordResponse(PeerTable* table, const InstanceId& peer) {
  table->backoffs.erase(peer);
}

Millis ListInterval(size_t instances) {
  constexpr Millis kBaseInterval{4000};
  const double factor = static_cast<double>(instances) /
                        static_cast<double>(kFixedListIntervalInstances);
  return kBaseInterval * std::max(1.0, factor);
}

std::vector<DataCentreId> DataCentres(const PeerTable& table) {
  std::set<DataCentreId> all;
  for (const auto& [id, peer] : table.peers) all.insert(peer.data_centre);
  return {all.begin(), all.end()};
}

std::vector<Peer> RankPeers(const PeerTable& table,
                            const DataCentreId& data_centre, Millis now) {
  std::vector<const Peer*> responsive;
  for (const auto& [id, peer] : table.peers) {
    if (peer.data_centre == data_centre && IsResponsive(table, id, now)) {
      responsive.push_back(&peer);
    }
  }
  return SortByRank(responsive);
}

std::vector<Peer> ResponsivePeers(const PeerTable& table, Millis now) {
  std::vector<Peer> peers;
  for (const auto& [id, peer] : table.peers) {
    if (id != table.own && IsResponsive(table, id, now)) peers.push_back(peer);
  }
  return peers;
}

size_t RankById(const PeerTable& table) {
  return static_cast<size_t>(
      std::distance(table.peers.begin(), table.peers.lower_bound(table.own)));
}

std::vector<Peer> SampleRemotePeers(const PeerTable& table) {
  constexpr size_t kPeersPerDataCentre = 3;
  // Each instance gets a different sample: while a data centre is unreachable
  // all instances probe it, five times per second.
  const auto rank = [&](const Peer& it) {
    return Hash(table.own.text + it.id.text);
  };
  std::map<DataCentreId, std::vector<Peer>> by_data_centre;
  for (const auto& [id, peer] : table.peers) {
    by_data_centre[peer.data_centre].push_back(peer);
  }
  const auto own = table.peers.find(table.own);
  if (own != table.peers.end()) by_data_centre.erase(own->second.data_centre);
  std::vector<Peer> sample;
  for (auto& [data_centre, peers] : by_data_centre) {
    std::sort(peers.begin(), peers.end(),
              [&](auto& a, auto& b) { return rank(a) < rank(b); });
    peers.resize(std::min(peers.size(), kPeersPerDataCentre));
    sample.insert(sample.end(), peers.begin(), peers.end());
  }
  return sample;
}

std::vector<Peer> FanOutSenders(const PeerTable& table, Millis now) {
  if (!table.use_primary_senders) return {};
  if (table.peers.size() <= kMaxDirectWatchers) return FirstInRank(table, now);
  double min_cores = 1e9;
  double max_cores = 0;
  for (const auto& [id, peer] : table.peers) {
    min_cores = std::min(min_cores, peer.cpu_cores);
    max_cores = std::max(max_cores, peer.cpu_cores);
  }
  std::vector<Peer> senders;
  if (max_cores < min_cores * kCapableFactor) return senders;
  // Only these are ranked, since there may be hundreds of others.
  std::map<DataCentreId, std::vector<const Peer*>> most_capable;
  for (const auto& [id, peer] : table.peers) {
    if (peer.cpu_cores >= max_cores && IsResponsive(table, id, now)) {
      most_capable[peer.data_centre].push_back(&peer);
    }
  }
  for (const auto& [data_centre, peers] : most_capable) {
    const auto ranked = SortByRank(peers);
    senders.insert(senders.end(), ranked.begin(), ranked.end());
  }
  return senders;
}

std::vector<Peer> PrimarySenders(const std::vector<Peer>& senders) {
  std::vector<Peer> first;
  std::set<DataCentreId> seen;
  for (const auto& it : senders) {
    if (seen.insert(it.data_centre).second) first.push_back(it);
  }
  return first;
}

const Peer* ChooseSender(
    const std::vector<Peer>& senders, const Peer& own,
    const std::vector<DataCentreId>& shard_data_centres, size_t rotation,
    const std::function<double(const InstanceId&)>& utilisation) {
  const auto nearest = NearestSenders(senders, own, shard_data_centres);
  if (nearest.empty()) return nullptr;
  // The first of each data centre, beginning with a different data centre each
  // time, before the others.
  std::vector<const Peer*> order;
  std::vector<const Peer*> others;
  std::set<DataCentreId> seen;
  for (const auto* it : nearest) {
    (seen.insert(it->data_centre).second ? order : others).push_back(it);
  }
  const auto offset = static_cast<std::ptrdiff_t>(rotation % order.size());
  std::rotate(order.begin(), order.begin() + offset, order.end());
  order.insert(order.end(), others.begin(), others.end());
  auto at = std::find_if(order.begin(), order.end(), [&](auto* it) {
    return utilisation(it->id) < kMaxSenderUtilisation;
  });
  if (at == order.end()) {
    at = std::min_element(order.begin(), order.end(), [&](auto* a, auto* b) {
      return utilisation(a->id) < utilisation(b->id);
    });
  }
  return (*at)->id == own.id ? nullptr : *at;
}

std::vector<Peer> AllowedSenders(
    const std::vector<Peer>& senders,
    const AllowedDataCentres& allowed_data_centres) {
  std::vector<Peer> allowed;
  std::copy_if(senders.begin(), senders.end(), std::back_inserter(allowed),
               [&](auto& it) {
                 return IsAllowed(allowed_data_centres, it.data_centre);
               });
  return allowed;
}

std::vector<RelayGroup> GroupRelays(
    const std::vector<std::vector<DataCentreId>>& shard_data_centres,
    const DataCentreId& own,
    const std::function<bool(const DataCentreId&)>& has_peer) {
  std::map<DataCentreId, std::vector<size_t>> shards_at;
  for (size_t i = 0; i < shard_data_centres.size(); ++i) {
    const auto& here = shard_data_centres[i];
    if (std::find(here.begin(), here.end(), own) != here.end()) continue;
    for (const auto& it : here) shards_at[it].push_back(i);
  }
  std::erase_if(shards_at, [&](const auto& it) { return !has_peer(it.first); });
  std::vector<RelayGroup> groups;
  while (!shards_at.empty()) {
    const auto largest = std::max_element(
        shards_at.begin(), shards_at.end(),
        [](auto& a, auto& b) { return a.second.size() < b.second.size(); });
    RelayGroup group{largest->first, std::move(largest->second)};
    shards_at.erase(largest);
    if (group.shards.size() < kMinRelayedShards) break;
    for (auto& [data_centre, shards] : shards_at) {
      std::erase_if(shards, [&](size_t i) {
        return std::binary_search(group.shards.begin(), group.shards.end(), i);
      });
    }
    groups.push_back(std::move(group));
  }
  return groups;
}

void RecordRelay(RelayHealth* health, double missing_share, Millis now) {
  health->missing_share +=
      kAnswerWeight * (missing_share - health->missing_share);
  if (health->missing_share <= kMaxMissingShare) return;
  health->backoff_until = now + kRelayBackoff;
  // Halved, so that after the backoff one bad answer is enough to continue
  // without relays, and ten good ones to return to them.
  health->missing_share /= 2;
}

}  // namespace hibiscuspick::engine
