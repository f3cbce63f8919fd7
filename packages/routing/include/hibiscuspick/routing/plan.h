// The part of one manifest that a route covers: its shards and the total of
// their documents, the denominator of coverage.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/limits/shard_work.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::routing {

struct PlannedShard {
  limits::ShardWork work;
  uint64_t documents = 0;
};

// The shards of one manifest that one route covers. Immutable, and shared by
// all queries.
struct Plan {
  // The manifest's name, given by the operator.
  std::string snapshot_id;
  IndexVersion version;
  Revision revision;
  std::vector<PlannedShard> shards;
  uint64_t documents_total = 0;
};

// The manifests a query may pin, newest first.
using Plans = std::vector<std::shared_ptr<const Plan>>;

// Returns the backend servers of a service; empty if it is not configured.
using ServersOf = std::function<std::vector<BackendServerId>(const ServiceId&)>;

// Builds the plan of a route for a manifest. A shard without servers in the
// manifest gets all servers of its service.
std::shared_ptr<const Plan> MakePlan(const settings::Snapshot& snapshot,
                                     const settings::Route& route,
                                     const ServersOf& servers_of);

}  // namespace hibiscuspick::routing
