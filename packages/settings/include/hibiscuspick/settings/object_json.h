// The operators' objects from and to JSON. Reading checks everything that can
// be seen in the object alone; cross_check.h compares it with the others.
#pragma once

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::settings {

// At least one backend server; ids and addresses may not come twice.
Checked<Service> ReadService(const ServiceId& id, const Json& value);

// The snapshot's and services' names are checked as names only.
Checked<Route> ReadRoute(const RouteId& id, const Json& value);

// `revision` is the version of the object that brought it. A shard may not
// come twice, since its documents would count twice in every coverage.
Checked<Snapshot> ReadSnapshot(const SnapshotName& name, Revision revision,
                               const Json& value);

Checked<Drain> ReadDrain(const BackendServerId& server, const Json& value);

Json ToJson(const Service& service);
Json ToJson(const Route& route);
Json ToJson(const Snapshot& snapshot);
Json ToJson(const Drain& drain);

}  // namespace hibiscuspick::settings
