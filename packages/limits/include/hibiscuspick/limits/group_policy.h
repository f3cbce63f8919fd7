// The values that tune a group: one service's backend servers as one instance
// uses them. The daemon fills this from the settings tree.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::limits {

// How many of a server's connections an attempt may take when slots are not
// counted, and how many are kept ready.
struct ConnectionPolicy {
  // Connections kept for instances that do not own the group.
  int reserve = 5;
  // Whether this instance owns the group: an owner may use all connections
  // but the reserve, any other instance only the reserve.
  bool owner = true;
  // Opened ahead at each server.
  int warm = 2;
  // For making one.
  Millis connect_timeout{250};
};

struct HedgePolicy {
  bool enabled = true;
  // The least urgent lane that is hedged.
  Lane lowest_lane = Lane::kInteractive;
  // A second attempt starts after this quantile of the lane's recent latency,
  // but never before `min`.
  double quantile = 0.9;
  Millis min{2};
  // Used while too few latencies are known.
  Millis cold{50};
  // Whether an urgent hedge that finds no free slot goes first in line for the
  // next one; otherwise it is dropped.
  bool first_in_line = true;
};

struct RetryPolicy {
  // Attempts of one task handed to a socket, hedges included.
  int max_attempts = 4;
  // How long a server gets nothing after it shed or could not be reached;
  // chosen at random between half and the whole of it.
  Millis pause{10};
};

// Hedges and retries draw on one budget, so that they vanish under overload.
struct BudgetPolicy {
  // Extra attempts allowed as a share of first attempts.
  double share = 0.05;
  // Extra attempts saved up at most, and there at the start.
  double burst = 10;
  // Regained each second without traffic, so that a quiet group can retry.
  double per_second = 1;
};

struct LanePolicy {
  // The least share of starts while others wait, and the tasks that may wait.
  double min_share = 0;
  // Guards memory; what can't be done in time is refused earlier than this.
  size_t queue_limit = 2048;
};

struct EjectionPolicy {
  // Failures in a row after which a server is ejected.
  int failures = 5;
  // At most this share of the group's servers is ejected at once.
  double max_share = 0.5;
  // The first ejection's length; doubles each time up to `max_span`.
  Millis span{1000};
  Millis max_span{30000};
};

// Where bulk attempts must leave one slot to the lanes above: nowhere, on one
// of the servers that the shard may go to, on every server, or on every server
// only while bulk attempts take much longer than urgent ones (else on one).
enum class BulkRule { kNone, kOneOfServers, kEachServer, kByLength };

struct GroupPolicy {
  // Counts each server's slots exactly and never starts more. Off: attempts
  // are bounded by connections alone and wait at the server.
  bool slots_enabled = true;
  // Lanes with earliest deadline first. Off: first come, first served.
  bool lanes_enabled = true;
  // Needs slots and lanes.
  BulkRule bulk_rule = BulkRule::kByLength;
  // The better of two servers by load and latency. Off: any at random.
  bool choice_enabled = true;
  // Refuses at the door what cannot be done by its deadline.
  bool refusal_enabled = true;
  ConnectionPolicy connections;
  HedgePolicy hedge;
  RetryPolicy retry;
  BudgetPolicy budget;
  std::array<LanePolicy, kLaneCount> lanes = {
      LanePolicy{0, 1024}, LanePolicy{0.10, 2048}, LanePolicy{0.05, 2048},
      LanePolicy{0.05, 4096}};
  EjectionPolicy ejection;
  // How long a server that joined or came back is spared.
  Millis slow_start{10000};
  // How long after an attempt's deadline its slot is still counted, when its
  // end was not seen.
  Millis slot_grace{5};
  // How long "does not hold the version" is believed.
  Millis held_memory{1000};
  // How long a server that said it drains, without naming its incarnation,
  // gets nothing.
  Millis drain_memory{600000};
};

// The baseline: no slots, no lanes, no hedging, a replica at random, and no
// refusal; everything waits, first come first served, at the server.
GroupPolicy DirectBaseline();

}  // namespace hibiscuspick::limits
