// The immutable view of all instances that the control thread publishes to the
// traffic threads.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/membership/drain_table.h"
#include "hibiscuspick/membership/member.h"

namespace hibiscuspick::membership {

struct ViewMember {
  InstanceId id;
  DataCentreId data_centre;
  Address inner;
  Incarnation incarnation;
  Phase phase = Phase::kStarting;
  // Silent for a while, or in a silent data centre. Contacted last, but still a
  // member.
  bool suspect = false;

  bool operator==(const ViewMember&) const = default;
};

struct MembershipView {
  // This instance; also in `members`.
  InstanceId self;
  DataCentreId data_centre;
  // All members except those gone.
  std::map<InstanceId, ViewMember> members;
  DrainTable servers;
  // Incremented with each view that this process publishes.
  uint64_t number = 0;
};

using ViewPointer = std::shared_ptr<const MembershipView>;

// Returns the member, or nullptr.
const ViewMember* FindMember(const MembershipView& view, const InstanceId& id);

// Whether a drain report says that the server takes no new work. Drains in the
// configuration are not included.
bool IsDraining(const MembershipView& view, const BackendServerId& server);

// The other members, as destinations for the mesh.
std::vector<Peer> PeersOf(const MembershipView& view);

}  // namespace hibiscuspick::membership
