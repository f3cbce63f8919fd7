// What a route covers in one manifest: the shards to ask and the denominator
// of coverage.
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

// One manifest as one route sees it. Never changed once made, so that all
// queries share it.
struct Plan {
  // The operator's word for the manifest.
  std::string snapshot_id;
  IndexVersion version;
  Revision revision;
  std::vector<PlannedShard> shards;
  uint64_t documents_total = 0;
};

// The manifests a query may pin, newest first.
using Plans = std::vector<std::shared_ptr<const Plan>>;

// Gives the backend servers of a service, empty if it is not configured.
using ServersOf = std::function<std::vector<BackendServerId>(const ServiceId&)>;

// The plan of a route in a manifest. A shard whose manifest names no servers
// gets all of its service.
std::shared_ptr<const Plan> MakePlan(const settings::Snapshot& snapshot,
                                     const settings::Route& route,
                                     const ServersOf& servers_of);

}  // namespace hibiscuspick::routing
