// Tuning parameters of a group: the backend servers of one service as used by
// one instance. The daemon fills them from the settings tree.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::limits {

// How many connections to a server this instance may use, and how many it opens
// in advance.
struct ConnectionPolicy {
  // Connections to each server reserved for instances that do not own the
  // group.
  int reserve = 5;
  // Whether this instance owns the group. An owner may use all connections but
  // the reserve, any other instance only the reserve.
  bool owner = true;
  // Connections opened in advance to each server.
  int preconnect = 2;
  // Timeout for opening one connection.
  Millis connect_timeout{250};
};

struct HedgePolicy {
  bool enabled = true;
  // The least urgent lane whose attempts are hedged.
  Lane lowest_lane = Lane::kInteractive;
  // The hedge starts after this quantile of the lane's recent latency, but no
  // earlier than `min_delay`.
  double quantile = 0.9;
  Millis min_delay{2};
  // Delay used until enough latencies have been measured.
  Millis default_delay{50};
  // Whether an urgent hedge that finds no free slot is queued at the head of
  // its lane. Otherwise it is dropped.
  bool prioritize_urgent = true;
};

struct RetryPolicy {
  // Maximum attempts sent for one task, hedges included.
  int max_attempts = 4;
  // Backoff: a server gets no attempts for this long after it shed one or could
  // not be connected to. The actual pause is random, between half and all of
  // it.
  Millis backoff{10};
};

// Hedges and retries share one budget, so that they stop under overload.
struct BudgetPolicy {
  // Tokens credited for each first attempt.
  double per_first_attempt = 0.05;
  // Capacity of the bucket, which starts full.
  double burst = 10;
  // Tokens credited each second regardless of traffic, so that a group with
  // little traffic can still retry.
  double per_second = 1;
};

struct LanePolicy {
  // Minimum share of the starts while tasks of other lanes are queued.
  double min_share = 0;
  // Maximum queued tasks. It bounds memory; admission control usually refuses
  // tasks well before this.
  size_t queue_limit = 2048;
};

struct EjectionPolicy {
  // Consecutive failures after which a server is ejected.
  int failures = 5;
  // Maximum share of the group's servers ejected at the same time.
  double max_share = 0.5;
  // Duration of the first ejection. It doubles with each further one up to
  // `max_duration`.
  Millis first_duration{1000};
  Millis max_duration{30000};
};

// Where bulk attempts must leave one slot free for more urgent lanes: nowhere,
// on one of the shard's servers, on every server, or adaptively: on every
// server while bulk attempts take much longer than urgent ones, else on one.
enum class BulkReservation { kNone, kPerShard, kPerServer, kAdaptive };

struct GroupPolicy {
  // Limits the attempts in flight at each server to its slots. Off: attempts
  // are bounded by connections alone and queue at the server.
  bool slots_enabled = true;
  // Queues by lane, earliest deadline first. Off: one queue, first come, first
  // served.
  bool lanes_enabled = true;
  // Applies only while slots and lanes are enabled.
  BulkReservation bulk_reservation = BulkReservation::kAdaptive;
  // Picks the better of two random servers by load and latency. Off: one random
  // server.
  bool two_choices = true;
  // Refuses on arrival tasks that cannot meet their deadline.
  bool admission_control_enabled = true;
  ConnectionPolicy connections;
  HedgePolicy hedge;
  RetryPolicy retry;
  BudgetPolicy budget;
  std::array<LanePolicy, kLaneCount> lanes = {
      LanePolicy{0, 1024}, LanePolicy{0.10, 2048}, LanePolicy{0.05, 2048},
      LanePolicy{0.05, 4096}};
  EjectionPolicy ejection;
  // Duration of the slow start of a server that joined or was restored.
  Millis slow_start{10000};
  // How long after the deadline of an abandoned attempt its slot stays in use
  // if the end of the attempt is not observed.
  Millis slot_grace{5};
  // How long a server's report of the versions it holds is used.
  Millis held_versions_lifetime{1000};
  // How long a server that reported a drain without its incarnation gets no new
  // attempts.
  Millis drain_lifetime{600000};
};

// The baseline policy for comparisons: no slots, no lanes, no hedging, a random
// replica and no admission control. All attempts queue at the server, first
// come, first served.
GroupPolicy DirectBaseline();

}  // namespace hibiscuspick::limits
