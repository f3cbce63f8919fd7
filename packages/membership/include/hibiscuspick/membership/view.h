// The immutable picture of the fleet that the control thread publishes to
// traffic threads.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/membership/member.h"
#include "hibiscuspick/membership/server_news.h"

namespace hibiscuspick::membership {

struct ViewMember {
  InstanceId id;
  DataCentreId data_centre;
  Address inner;
  Incarnation incarnation;
  Phase phase = Phase::kStarting;
  // Silent for a while, or in a data centre from which nothing is heard. Asked
  // last, but not given up.
  bool suspect = false;

  bool operator==(const ViewMember&) const = default;
};

struct MembershipView {
  // This instance; it is among `members` too.
  InstanceId self;
  DataCentreId data_centre;
  // All but those gone.
  std::map<InstanceId, ViewMember> members;
  ServerNewsTable servers;
  // Rises with each published view of this process.
  uint64_t number = 0;
};

using ViewPointer = std::shared_ptr<const MembershipView>;

// The member, or null.
const ViewMember* FindMember(const MembershipView& view, const InstanceId& id);

// Whether news says that the server takes no new work. Drains that are in the
// configuration are apart from this.
bool IsDraining(const MembershipView& view, const BackendServerId& server);

// The other members, as the mesh wants them.
std::vector<Peer> PeersOf(const MembershipView& view);

}  // namespace hibiscuspick::membership
