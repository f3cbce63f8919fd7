// State of one backend server as observed by a group: load, latency, health and
// drain.
#pragma once

#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/limits/group_policy.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::limits {

// The index versions a server reported that it holds, and when.
struct HeldVersions {
  std::vector<IndexVersion> versions;
  Millis reported_at;
};

struct ServerState {
  settings::BackendServer config;
  // No longer part of the service; kept because attempts refer to it by index.
  bool removed = false;
  // Drained by an operator, from the configuration.
  bool drained = false;
  // Draining as reported by the server itself or a peer. Ends with a higher
  // incarnation, or at `draining_until` if the report named no incarnation.
  bool draining = false;
  Millis draining_until;
  Incarnation incarnation;
  // Slots in use, including those of abandoned attempts.
  int in_flight = 0;
  int bulk_in_flight = 0;
  int abandoned = 0;
  // Exponentially weighted moving average of the latency of complete replies; 0
  // before the first.
  Millis latency;
  Millis latency_updated_at;
  int consecutive_failures = 0;
  bool ejected = false;
  Millis ejected_until;
  int ejections = 0;
  // No attempt is started before this time, after a shed or a failed connect.
  Millis backoff_until;
  // Start of the slow start; far in the past for a server that has finished it.
  Millis slow_start_began{-1e18};
  HeldVersions held;
};

// Whether the server is neither removed nor draining.
bool AcceptsNewWork(const ServerState& server, Millis now);

// The number of connections this instance may have open to the server.
int ConnectionShare(const ServerState& server, const GroupPolicy& policy);

// The number of attempts that may run at the server at once, from its slots or
// connections, scaled down during slow start.
int Capacity(const ServerState& server, const GroupPolicy& policy, Millis now);

// Whether an attempt may start now. An ejected server takes one attempt at a
// time as a probe, once its ejection is over or, with `allow_probe`, earlier:
// for a shard that has no other server.
bool HasCapacity(const ServerState& server, const GroupPolicy& policy,
                 Millis now, bool allow_probe);

// Whether bulk may take one more slot and leave one for the other lanes.
bool HasCapacityForBulk(const ServerState& server, const GroupPolicy& policy,
                        Millis now);

// Whether the server recently reported that it does not hold the version.
bool LacksVersion(const ServerState& server, IndexVersion version,
                  const GroupPolicy& policy, Millis now);

// The slow start factor: the share of its normal load that the server gets,
// growing linearly with time from a tenth to 1.
double SlowStartFactor(const ServerState& server, const GroupPolicy& policy,
                       Millis now);

// The load balancing cost of the server: attempts in flight, plus one, times
// average latency. Lower is better.
double Cost(const ServerState& server, Millis now);

// Applies a report of the server's incarnation and drain state. Reports of an
// older incarnation are ignored, so that a late one can neither end a drain nor
// drain a restarted server. Returns whether anything changed.
bool UpdateDrainState(ServerState* server, Incarnation incarnation,
                      bool draining, const GroupPolicy& policy, Millis now);

// Ejects the server for a duration that doubles each time. The jitter keeps
// many instances from probing the server at the same moment.
void Eject(ServerState* server, const EjectionPolicy& policy, Millis now,
           Random* random);

void RecordLatency(ServerState* server, Millis latency, Millis now);

}  // namespace hibiscuspick::limits
