// What a group knows of one of its backend servers.
#pragma once

#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/limits/group_policy.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::limits {

// The index versions a server said it holds, and when it said so.
struct HeldVersions {
  std::vector<IndexVersion> versions;
  Millis learned;
};

struct ServerState {
  settings::BackendServer config;
  // No longer part of the service; kept while attempts refer to it.
  bool removed = false;
  // An operator's drain, from the configuration.
  bool drained = false;
  // The server's own word, or a peer's; ends with a higher incarnation, or at
  // `draining_until` if no incarnation was named.
  bool draining = false;
  Millis draining_until;
  Incarnation incarnation;
  // Slots taken, among them those of attempts whose end was not seen.
  int in_flight = 0;
  int bulk_in_flight = 0;
  int abandoned = 0;
  // Mean latency of whole replies, recent ones weighing more; 0 if none.
  Millis latency;
  Millis latency_at;
  int failures_in_row = 0;
  bool ejected = false;
  Millis ejected_until;
  int ejections = 0;
  // Nothing is started before this, after a shed or a failed connect.
  Millis paused_until;
  // When the ramp began; long ago for a server that is warm.
  Millis cold_since{-1e18};
  HeldVersions held;
};

// Whether new attempts may go there as far as draining is concerned.
bool TakesNewWork(const ServerState& server, Millis now);

// Connections this instance may have open to the server.
int ConnectionShare(const ServerState& server, const GroupPolicy& policy);

// Attempts that may run there at once, from slots or connections and the ramp.
int Capacity(const ServerState& server, const GroupPolicy& policy, Millis now);

// Whether an attempt may start now. `desperate` lets one attempt at a time go
// to an ejected server, for a shard that has no other.
bool HasRoom(const ServerState& server, const GroupPolicy& policy, Millis now,
             bool desperate);

// Whether bulk may take one more slot and still leave one to the others.
bool HasRoomForBulk(const ServerState& server, const GroupPolicy& policy,
                    Millis now);

// Whether the server recently said that it does not hold the version.
bool KnownToLack(const ServerState& server, IndexVersion version,
                 const GroupPolicy& policy, Millis now);

// The share of its turns a server gets, from a tenth when it just joined or
// came back to 1 when it is warm.
double Warmth(const ServerState& server, const GroupPolicy& policy, Millis now);

// How bad a choice the server is: its load times its latency.
double Cost(const ServerState& server, Millis now);

// What a server or a peer says. An older incarnation's word is passed over, so
// that late news cannot revive a server that drains, nor drain its next life.
// True if anything changed.
bool TakeNews(ServerState* server, Incarnation incarnation, bool draining,
              const GroupPolicy& policy, Millis now);

// Ejects, for a span that doubles each time. The random part keeps many
// instances from probing together.
void Eject(ServerState* server, const EjectionPolicy& policy, Millis now,
           Random* random);

void RecordLatency(ServerState* server, Millis latency, Millis now);

}  // namespace hibiscuspick::limits
