// The state of one instance as known to others, and the order between two
// reports of it.
#pragma once

#include <cstdint>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"

namespace hibiscuspick::membership {

// Only increases within one incarnation, except by a refutation.
enum class Phase {
  // Has no configuration yet and takes no traffic.
  kStarting,
  kServing,
  // Finishes running work; owns no services.
  kLeaving,
  // Stopped, or silent for too long.
  kGone,
};

struct MemberState {
  InstanceId id;
  DataCentreId data_centre;
  // Address at which it listens for other instances.
  Address inner;
  Incarnation incarnation;
  // How often this incarnation has refuted a report that it was leaving or
  // gone.
  uint32_t refutations = 0;
  Phase phase = Phase::kStarting;
  // Increases each second. Only known inside the member's data centre.
  uint64_t heartbeat = 0;

  bool operator==(const MemberState&) const = default;
};

// Whether `a` replaces `b` as a report of the same instance: the order is by
// incarnation, then refutations, then phase; heartbeats are ignored. Old gossip
// can therefore never revive an instance that has left.
bool Replaces(const MemberState& a, const MemberState& b);

// Identifies one incarnation of one instance in a digest.
uint64_t IncarnationKey(const MemberState& state);

// The destination of a message. An empty id means any instance that listens at
// the address, as with a seed from the settings file.
struct Peer {
  InstanceId id;
  Address address;
  // 0 if unknown.
  Incarnation incarnation;
};

}  // namespace hibiscuspick::membership
