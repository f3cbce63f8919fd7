// One instance of the fleet as others know it, and the order between two
// reports of it.
#pragma once

#include <cstdint>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"

namespace hibiscuspick::membership {

// Only ever rises within one life, but for a refutation.
enum class Phase {
  // Has no configuration yet; takes no traffic.
  kStarting,
  kServing,
  // Finishes what it has; owns nothing.
  kLeaving,
  // Stopped, or silent for too long.
  kGone,
};

struct MemberState {
  InstanceId id;
  DataCentreId data_centre;
  // Where it listens for other instances.
  Address inner;
  Incarnation incarnation;
  // How often this life has contradicted a report that it was gone.
  uint32_t refutations = 0;
  Phase phase = Phase::kStarting;
  // Rises each second. Known inside the member's data centre only.
  uint64_t heartbeat = 0;

  bool operator==(const MemberState&) const = default;
};

// Whether `a` replaces `b` as a report of the same instance, heartbeats aside:
// a later life first, then a later refutation, then the later phase. Old
// gossip can therefore never revive an instance that has left.
bool Replaces(const MemberState& a, const MemberState& b);

// Names one life of one instance in a digest.
uint64_t LifeKey(const MemberState& state);

// Whom to send to. An empty id means whoever listens at the address, as with a
// seed from the settings file.
struct Peer {
  InstanceId id;
  Address address;
  // 0 if not known.
  Incarnation incarnation;
};

}  // namespace hibiscuspick::membership
