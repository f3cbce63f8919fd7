// Conversion of the operators' objects from and to JSON. Reading validates what
// can be seen in the object alone; cross_check.h compares it with the others.
#pragma once

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::settings {

// Requires at least one backend server; ids and addresses must be unique.
Checked<Service> ReadService(const ServiceId& id, const Json& value);

// Doesn't check whether the snapshot and the services exist.
Checked<Route> ReadRoute(const RouteId& id, const Json& value);

// `revision` is the version of the stored object. Shards must be unique, since
// a duplicate's documents would count twice in the coverage.
Checked<Snapshot> ReadSnapshot(const SnapshotName& name, Revision revision,
                               const Json& value);

Checked<Drain> ReadDrain(const BackendServerId& server, const Json& value);

Json ToJson(const Service& service);
Json ToJson(const Route& route);
Json ToJson(const Snapshot& snapshot);
Json ToJson(const Drain& drain);

}  // namespace hibiscuspick::settings
