#include "hibiscuspick/routing/plan.h"

#include <algorithm>

namespace hibiscuspick::routing {
namespace {

bool Covers(const settings::Route& route, const ServiceId& service) {
  if (route.services.empty()) return true;
  return std::find(route.services.begin(), route.services.end(), service) !=
         route.services.end();
}

}  // namespace

std::shared_ptr<const Plan> MakePlan(const settings::Snapshot& snapshot,
                                     const settings::Route& route,
                                     const ServersOf& servers_of) {
  auto plan = std::make_shared<Plan>();
  plan->snapshot_id = snapshot.id;
  plan->version = snapshot.index_version;
  plan->revision = snapshot.revision;
  for (const auto& it : snapshot.shards) {
    if (!Covers(route, it.service)) continue;
    PlannedShard shard;
    shard.work.shard = it.shard;
    shard.work.service = it.service;
    shard.work.servers = it.backend_servers.empty() ? servers_of(it.service)
                                                    : it.backend_servers;
    shard.documents = it.documents;
    plan->documents_total += it.documents;
    plan->shards.push_back(std::move(shard));
  }
  return plan;
}

}  // namespace hibiscuspick::routing
