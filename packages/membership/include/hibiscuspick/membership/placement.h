// Selects the instance that owns the backend servers of a service. A pure
// function of the view: instances with the same view select the same owner
// without communication. While views differ, two simultaneous owners only cause
// some load shedding.
#pragma once

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/membership/view.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::membership {

// Candidates from each data centre.
inline constexpr size_t kOwnersPerDataCentre = 2;

// Returns the instances that may be asked to run work of a service, the owner
// first. `servers` holds the data centre of each backend server of the service.
// For each data centre, by descending number of servers (ties by name), takes
// the first kOwnersPerDataCentre of its serving members in rendezvous order, so
// that a member that joins or leaves moves only the services that it owns.
// Suspects are moved to the end. If no data centre with servers has a serving
// member, any serving member may be selected; empty if there is none.
std::vector<InstanceId> OwnersFor(const ServiceId& service,
                                  const std::vector<DataCentreId>& servers,
                                  const MembershipView& view);

// As above, for the service's object.
std::vector<InstanceId> OwnersFor(const settings::Service& service,
                                  const MembershipView& view);

using Placement = std::map<ServiceId, std::vector<InstanceId>>;

// Computes the candidates of every service. Hashes each member of a data centre
// for each service, so it is done once for each view rather than for each
// query.
Placement PlacementOf(const std::vector<settings::Service>& services,
                      const MembershipView& view);

// A change of a service's owner. An empty id means no owner.
struct PlacementChange {
  ServiceId service;
  InstanceId from;
  InstanceId to;
  bool operator==(const PlacementChange&) const = default;
};

// Returns the differences between two placements, for the log.
std::vector<PlacementChange> PlacementChanges(const Placement& before,
                                              const Placement& after);

// Orders the instances of a data centre for a role by rendezvous hashing. Used
// for placement and for the choice of the platform's watchers.
std::vector<InstanceId> RendezvousOrder(std::string_view key,
                                        const std::vector<InstanceId>& ids);

}  // namespace hibiscuspick::membership
