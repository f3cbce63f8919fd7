#include "hibiscuspick/membership/placement.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::membership {
namespace {

// Returns the data centres that have servers, by descending number of servers,
// ties by name.
std::vector<DataCentreId> ByServers(const std::vector<DataCentreId>& servers) {
  std::map<DataCentreId, size_t> counts;
  for (const auto& it : servers) ++counts[it];
  std::vector<std::pair<size_t, DataCentreId>> order;
  order.reserve(counts.size());
  for (const auto& [id, n] : counts) order.emplace_back(n, id);
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<DataCentreId> result;
  result.reserve(order.size());
  for (auto& [n, id] : order) result.push_back(std::move(id));
  return result;
}

using ServingByDataCentre = std::map<DataCentreId, std::vector<InstanceId>>;

ServingByDataCentre ServingOf(const MembershipView& view) {
  ServingByDataCentre serving;
  for (const auto& [id, it] : view.members) {
    if (it.phase == Phase::kServing) serving[it.data_centre].push_back(id);
  }
  return serving;
}

std::string KeyOf(const ServiceId& service) { return "owner " + service.text; }

// Appends the first kOwnersPerDataCentre ids in rendezvous order.
void AppendOwners(const ServiceId& service, const std::vector<InstanceId>& ids,
                  std::vector<InstanceId>* owners) {
  auto order = RendezvousOrder(KeyOf(service), ids);
  const size_t n = std::min(order.size(), kOwnersPerDataCentre);
  owners->insert(owners->end(), order.begin(),
                 order.begin() + static_cast<std::ptrdiff_t>(n));
}

std::vector<InstanceId> OwnersIn(const ServiceId& service,
                                 const std::vector<DataCentreId>& servers,
                                 const ServingByDataCentre& serving,
                                 const MembershipView& view) {
  std::vector<InstanceId> owners;
  for (const auto& id : ByServers(servers)) {
    const auto it = serving.find(id);
    if (it != serving.end()) AppendOwners(service, it->second, &owners);
  }
  if (owners.empty()) {
    std::vector<InstanceId> all;
    for (const auto& [id, ids] : serving) {
      all.insert(all.end(), ids.begin(), ids.end());
    }
    AppendOwners(service, all, &owners);
  }
  // Each query would wait for the timeout of a suspect in the first place.
  std::stable_partition(owners.begin(), owners.end(), [&](const auto& id) {
    return !view.members.at(id).suspect;
  });
  return owners;
}

std::vector<DataCentreId> ServersOf(const settings::Service& service) {
  std::vector<DataCentreId> servers;
  servers.reserve(service.backend_servers.size());
  for (const auto& it : service.backend_servers) {
    servers.push_back(it.data_centre);
  }
  return servers;
}

InstanceId FirstOf(const Placement& placement, const ServiceId& service) {
  const auto it = placement.find(service);
  if (it == placement.end() || it->second.empty()) return {};
  return it->second.front();
}

}  // namespace

std::vector<InstanceId> RendezvousOrder(std::string_view key,
                                        const std::vector<InstanceId>& ids) {
  const uint64_t seed = Hash(key);
  std::vector<std::pair<uint64_t, const InstanceId*>> order;
  order.reserve(ids.size());
  for (const auto& it : ids) order.emplace_back(Hash(it.text, seed), &it);
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  std::vector<InstanceId> result;
  result.reserve(ids.size());
  for (const auto& [weight, id] : order) result.push_back(*id);
  return result;
}

std::vector<InstanceId> OwnersFor(const ServiceId& service,
                                  const std::vector<DataCentreId>& servers,
                                  const MembershipView& view) {
  return OwnersIn(service, servers, ServingOf(view), view);
}

std::vector<InstanceId> OwnersFor(const settings::Service& service,
                                  const MembershipView& view) {
  return OwnersFor(service.id, ServersOf(service), view);
}

Placement PlacementOf(const std::vector<settings::Service>& services,
                      const MembershipView& view) {
  const auto serving = ServingOf(view);
  Placement placement;
  for (const auto& it : services) {
    placement[it.id] = OwnersIn(it.id, ServersOf(it), serving, view);
  }
  return placement;
}

std::vector<PlacementChange> PlacementChanges(const Placement& before,
                                              const Placement& after) {
  std::vector<PlacementChange> changes;
  for (const auto& [service, owners] : after) {
    auto from = FirstOf(before, service);
    auto to = FirstOf(after, service);
    if (from == to) continue;
    changes.push_back({service, std::move(from), std::move(to)});
  }
  for (const auto& [service, owners] : before) {
    if (after.contains(service) || owners.empty()) continue;
    changes.push_back({service, owners.front(), {}});
  }
  return changes;
}

}  // namespace hibiscuspick::membership
