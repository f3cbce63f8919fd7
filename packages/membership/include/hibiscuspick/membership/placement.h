// Which instance owns the backend servers of a service. Pure and without
// talk: instances with the same view name the same owner, and while views
// differ two owners at once only cost some shedding.
#pragma once

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/membership/view.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::membership {

// Candidates taken from each data centre.
inline constexpr size_t kOwnersPerDataCentre = 2;

// The instances to ask for work on a service, the owner first. `servers` holds
// the data centre of each of its backend servers. Rendezvous hashing over the
// serving members of the data centre with the most servers (ties by name), the
// first two, then the same for the next. A member that comes or goes moves
// only the services that it owns. Suspects go behind all others; if no data
// centre with servers has a member, any serving member will do. Empty if
// nobody serves.
std::vector<InstanceId> OwnersFor(const ServiceId& service,
                                  const std::vector<DataCentreId>& servers,
                                  const MembershipView& view);

// The same from the service's object.
std::vector<InstanceId> OwnersFor(const settings::Service& service,
                                  const MembershipView& view);

using Placement = std::map<ServiceId, std::vector<InstanceId>>;

// The candidates of every service. Hashes each member of the data centre for
// each service, so that it is made once for each view and not for each query.
Placement PlacementOf(const std::vector<settings::Service>& services,
                      const MembershipView& view);

// A service whose owner is another than before; empty for none.
struct PlacementChange {
  ServiceId service;
  InstanceId from;
  InstanceId to;
  bool operator==(const PlacementChange&) const = default;
};

// What to log when a placement replaces another.
std::vector<PlacementChange> PlacementChanges(const Placement& before,
                                              const Placement& after);

// The instances of a data centre in the order in which they take a role; used
// for placement and for the watch of the platform.
std::vector<InstanceId> RendezvousOrder(std::string_view key,
                                        const std::vector<InstanceId>& ids);

}  // namespace hibiscuspick::membership
