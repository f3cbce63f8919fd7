// The other instances, and the division of work among them. Each instance
// computes it from the same list. Where lists differ for a moment, two
// instances do the same work or one does its own; this costs a little
// efficiency and nothing else.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::engine {

struct Peer {
  InstanceId id;
  DataCentreId data_centre;
  // Where the peer answers polls for updates, and where it takes queries from
  // peers.
  Address update_address;
  Address query_address;
  // The share of a CPU core that it may use.
  double cpu_cores = 1;
  auto operator<=>(const Peer&) const = default;
};

struct PeerTable {
  InstanceId own;
  std::map<InstanceId, Peer> peers;
  // Peers that didn't answer: until when they are skipped, and how often in a
  // row they have failed.
  struct PeerBackoff {
    Millis until;
    int failures = 0;
  };
  std::map<InstanceId, PeerBackoff> backoffs;
  // Feature switch, see settings::Mechanisms.
  bool use_primary_senders = true;
};

// Up to this number of instances each one watches the store itself: the calls
// are few, and no update takes an extra hop.
inline constexpr size_t kMaxDirectWatchers = 12;

// The interval at which an instance reads the list of instances again. A list
// holds some 190 bytes for each instance, and each instance reads it: at a
// fixed interval the traffic grows with the square of the fleet. Above
// kFixedListIntervalInstances the interval grows in proportion to the fleet
// instead, which keeps the traffic of an instance at 3 KB/s. With 460 instances
// all know a new one within half a minute; until then it serves and polls the
// others, but isn't assigned any work.
inline constexpr size_t kFixedListIntervalInstances = 64;
Millis ListInterval(size_t instances);

// Records that a peer didn't answer: it is skipped for a time that doubles with
// each failure, up to a bound.
void RecordUnresponsive(PeerTable* table, const InstanceId& peer, Millis now);
// Records that a peer answered, which ends its backoff.
void RecordResponse(PeerTable* table, const InstanceId& peer);

// The data centres that have instances, ordered by name.
std::vector<DataCentreId> DataCentres(const PeerTable& table);

// The responsive instances of a data centre, those with the largest CPU share
// first. Equal ones are ordered by hash, so that the same few aren't first in
// everything.
std::vector<Peer> RankPeers(const PeerTable& table,
                            const DataCentreId& data_centre, Millis now);

// All other instances that are responsive.
std::vector<Peer> ResponsivePeers(const PeerTable& table, Millis now);

// The number of instances whose ids sort before the own id.
size_t RankById(const PeerTable& table);

// A few instances of each other data centre, to probe whether it is reachable.
// Includes unresponsive ones, since that is what the probe finds out.
std::vector<Peer> SampleRemotePeers(const PeerTable& table);

// The instances that send fan-outs. Up to kMaxDirectWatchers instances: the
// first in rank of each data centre. Parts then wait for a server in a single
// queue, ordered by due time, instead of half of them in the server's own
// queue: each instance keeps at least one attempt open at a server, and with
// five instances at two slots a part of 9 ms waits behind three of 28 ms.
//
// With more instances: those with the largest CPU share, if it is at least
// kCapableFactor times the smallest one, ordered by rank within their data
// centre. A fan-out to 90 shards takes 4 ms of processor time, which is 33 ms
// on an eighth of a core and 8 ms on half of one. It also leaves few instances
// to share the servers' connections.
std::vector<Peer> FanOutSenders(const PeerTable& table, Millis now);

// The first sender of each data centre. The other senders are its standbys.
std::vector<Peer> PrimarySenders(const std::vector<Peer>& senders);

// A sender that is busy for a larger share of its time leaves further queries
// to others: above it queries begin to wait for each other.
inline constexpr double kMaxSenderUtilisation = 0.5;

// The sender that this instance hands a query to; nullptr if it sends the query
// itself. Senders in data centres that have servers of the shards are
// preferred: only the merged answer then crosses between data centres. Among
// equally near senders the first of its data centre gets all queries until its
// utilisation, the share of its time that it reported as busy, reaches
// kMaxSenderUtilisation: a sender that sends all queries contacts each server
// often enough to detect a paused or slow one before the next query. `rotation`
// spreads queries over data centres that are equally near.
const Peer* ChooseSender(
    const std::vector<Peer>& senders, const Peer& own,
    const std::vector<DataCentreId>& shard_data_centres, size_t rotation,
    const std::function<double(const InstanceId&)>& utilisation);

// The senders that may get requests of a route with these allowed data centres.
std::vector<Peer> AllowedSenders(
    const std::vector<Peer>& senders,
    const AllowedDataCentres& allowed_data_centres);

// Parts of one query that a peer in another data centre requests from the
// servers near it and merges, so that only the result crosses between data
// centres.
struct RelayGroup {
  DataCentreId data_centre;
  // Indices of the shards in the query.
  std::vector<size_t> shards;
};

// Groups the shards that have no server in `own` for relaying.
// `shard_data_centres`: for each shard, the data centres that have a server of
// it; empty if the shard isn't to be requested. The data centre with the most
// shards gets all of these, then the next one; fewer than kMinRelayedShards
// don't justify a message. `has_peer`: whether there is an instance in the data
// centre to relay through.
inline constexpr size_t kMinRelayedShards = 3;
std::vector<RelayGroup> GroupRelays(
    const std::vector<std::vector<DataCentreId>>& shard_data_centres,
    const DataCentreId& own,
    const std::function<bool(const DataCentreId&)>& has_peer);

// The health of relays to one data centre. The requesting instance doesn't see
// the queues there, so that it can neither defer shards nor refuse a query in
// time. When too many parts are missing it sends to the servers itself for a
// while.
struct RelayHealth {
  // Share of parts missing from answers, as a weighted moving average.
  double missing_share = 0;
  Millis backoff_until{-1};
};

// Records one answer and the share of its parts that were missing; 1 if there
// was no answer.
void RecordRelay(RelayHealth* health, double missing_share, Millis now);

}  // namespace hibiscuspick::engine
