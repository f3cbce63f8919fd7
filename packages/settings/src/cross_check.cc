#include "hibiscuspick/settings/cross_check.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "hibiscuspick/settings/configuration.h"
#include "hibiscuspick/settings/object_json.h"

namespace hibiscuspick::settings {
namespace {

Fault MakeFault(std::string place, std::string message) {
  return {Code::kInvalidValue, std::move(place), std::move(message)};
}

bool HasServer(const Service& service, const BackendServerId& id) {
  const auto& servers = service.backend_servers;
  return std::any_of(servers.begin(), servers.end(),
                     [&](const auto& it) { return it.id == id; });
}

// Records the owner. Of two owners it keeps the one whose name sorts first, so
// that all instances name the same.
template <class Map, class Place>
void RecordOwner(Map* owners, const Place& place, const ServiceId& service) {
  const auto [it, inserted] = owners->emplace(place, service);
  if (!inserted && service < it->second) it->second = service;
}

// Maps a server's id and address to the service that owns it.
struct ServerIndex {
  std::map<BackendServerId, ServiceId> by_id;
  std::map<Address, ServiceId> by_address;

  void Add(const Service& service) {
    for (const auto& it : service.backend_servers) {
      RecordOwner(&by_id, it.id, service.id);
      RecordOwner(&by_address, it.address, service.id);
    }
  }
  // Another service that has the server; nullopt if there is none.
  std::optional<ServiceId> OtherOwner(const Service& service,
                                      const BackendServer& server) const {
    const auto id = by_id.find(server.id);
    if (id != by_id.end() && id->second != service.id) return id->second;
    const auto address = by_address.find(server.address);
    if (address == by_address.end()) return std::nullopt;
    if (address->second == service.id) return std::nullopt;
    return address->second;
  }
};

// Faults for servers that another service has too: their slots would be counted
// twice and overcommitted.
std::vector<Fault> SharedServers(const ServerIndex& index,
                                 const Service& service) {
  std::vector<Fault> faults;
  for (size_t i = 0; i < service.backend_servers.size(); ++i) {
    const auto& server = service.backend_servers[i];
    const auto other = index.OtherOwner(service, server);
    if (!other) continue;
    faults.push_back(MakeFault(
        "$.backend_servers[" + std::to_string(i) + "]",
        server.id.text + " at " + ToText(server.address) +
            " is already a backend server of service " + other->text));
  }
  return faults;
}

ServerIndex IndexOthers(const Configuration& configuration,
                        const ServiceId& excluded) {
  ServerIndex index;
  for (const auto& [id, service] : configuration.services) {
    if (id != excluded) index.Add(service);
  }
  return index;
}

// Faults for shards that name a service or server that doesn't exist.
std::vector<Fault> MissingServers(const Configuration& configuration,
                                  const Snapshot& snapshot) {
  std::vector<Fault> faults;
  for (size_t i = 0; i < snapshot.shards.size(); ++i) {
    const auto& shard = snapshot.shards[i];
    const std::string place = "$.shards[" + std::to_string(i) + "]";
    const auto service = configuration.services.find(shard.service);
    if (service == configuration.services.end()) {
      faults.push_back(
          MakeFault(place + ".service", "no service " + shard.service.text));
      continue;
    }
    for (size_t n = 0; n < shard.backend_servers.size(); ++n) {
      const auto& id = shard.backend_servers[n];
      if (HasServer(service->second, id)) continue;
      faults.push_back(MakeFault(
          place + ".backend_servers[" + std::to_string(n) + "]",
          "service " + shard.service.text + " has no server " + id.text));
    }
  }
  return faults;
}

std::map<ShardId, uint64_t> DocumentsOf(const Snapshot& snapshot) {
  std::map<ShardId, uint64_t> documents;
  for (const auto& it : snapshot.shards) documents[it.shard] = it.documents;
  return documents;
}

// The object's last manifest, even if the object has been deleted since.
std::optional<Snapshot> LastManifest(const Envelope& current) {
  Json value = current.value;
  if (current.deleted) {
    if (current.previous.empty()) return std::nullopt;
    value = current.previous.front().value;
  }
  const auto snapshot = ReadSnapshot(SnapshotName(), Revision(), value);
  if (!IsValid(snapshot)) return std::nullopt;
  return ValidValue(snapshot);
}

// The index version identifies the indexes to backend servers and queries. If
// it decreased, or stood for two sets of shards, one answer could silently
// combine two versions.
std::vector<Fault> VersionFaults(const Snapshot& last, const Snapshot& next) {
  const std::string place = "$.index_version";
  const std::string number = std::to_string(last.index_version.value);
  if (next.index_version < last.index_version) {
    return {MakeFault(place, "must not be lower than the current " + number)};
  }
  if (next.index_version == last.index_version &&
      DocumentsOf(next) != DocumentsOf(last)) {
    return {MakeFault(place, "version " + number +
                                 " is already used for other shards or "
                                 "documents; use a higher one")};
  }
  return {};
}

// Inconsistencies that a change introduces.
std::vector<Fault> NewMismatches(const Configuration& before,
                                 const Configuration& after) {
  const auto existing = FindMismatches(before);
  auto introduced = FindMismatches(after);
  std::erase_if(introduced, [&](const Fault& it) {
    return std::any_of(existing.begin(), existing.end(), [&](const Fault& old) {
      return old.place == it.place && old.message == it.message;
    });
  });
  return introduced;
}

void CheckService(const Configuration& configuration, const ObjectName& name,
                  const Json& value, CheckedWrite* out) {
  const ServiceId id(name.rest);
  const auto service = ReadService(id, value);
  out->faults = FaultsOf(service);
  if (!IsValid(service)) return;
  out->faults =
      SharedServers(IndexOthers(configuration, id), ValidValue(service));
  Configuration after = configuration;
  after.services[id] = ValidValue(service);
  out->warnings = NewMismatches(configuration, after);
}

void CheckSnapshot(const Configuration& configuration, const ObjectName& name,
                   const Json& value, const Envelope* current,
                   CheckedWrite* out) {
  const auto snapshot =
      ReadSnapshot(SnapshotName(name.rest), Revision(), value);
  out->faults = FaultsOf(snapshot);
  if (!IsValid(snapshot)) return;
  out->faults = MissingServers(configuration, ValidValue(snapshot));
  if (!current) return;
  const auto last = LastManifest(*current);
  if (!last) return;
  for (auto& it : VersionFaults(*last, ValidValue(snapshot))) {
    out->faults.push_back(std::move(it));
  }
}

std::vector<Fault> RouteMismatches(const Configuration& configuration,
                                   const Route& route) {
  const auto manifest = NewestManifest(configuration, route.snapshot);
  if (!manifest) {
    return {MakeFault("$.snapshot", "no snapshot " + route.snapshot.text +
                                        "; the route rejects queries until it "
                                        "exists")};
  }
  std::set<ServiceId> covered;
  for (const auto& it : manifest->shards) covered.insert(it.service);
  std::vector<Fault> warnings;
  for (size_t i = 0; i < route.services.size(); ++i) {
    if (covered.contains(route.services[i])) continue;
    warnings.push_back(MakeFault("$.services[" + std::to_string(i) + "]",
                                 "no shard of service " +
                                     route.services[i].text +
                                     " is in the snapshot"));
  }
  return warnings;
}

void CheckRoute(const Configuration& configuration, const ObjectName& name,
                const Json& value, CheckedWrite* out) {
  const auto route = ReadRoute(RouteId(name.rest), value);
  out->faults = FaultsOf(route);
  if (IsValid(route)) {
    out->warnings = RouteMismatches(configuration, ValidValue(route));
  }
}

void CheckDrain(const Configuration& configuration, const ObjectName& name,
                const Json& value, CheckedWrite* out) {
  const BackendServerId server(name.rest);
  out->faults = FaultsOf(ReadDrain(server, value));
  const auto& services = configuration.services;
  const bool exists =
      std::any_of(services.begin(), services.end(),
                  [&](const auto& it) { return HasServer(it.second, server); });
  if (!exists) {
    out->warnings.push_back(
        MakeFault("$", "no service has a server " + server.text));
  }
}

// Appends the faults with the object's name prefixed to their place.
void AddNamed(const std::string& name, std::vector<Fault> faults,
              std::vector<Fault>* out) {
  for (auto& it : faults) {
    it.place = name + " " + it.place;
    out->push_back(std::move(it));
  }
}

}  // namespace

CheckedWrite CheckWrite(const Configuration& configuration,
                        const ObjectName& name, const Json& value,
                        const Envelope* current) {
  CheckedWrite out;
  switch (name.kind) {
    case ObjectKind::kService:
      CheckService(configuration, name, value, &out);
      break;
    case ObjectKind::kRoute:
      CheckRoute(configuration, name, value, &out);
      break;
    case ObjectKind::kSnapshot:
      CheckSnapshot(configuration, name, value, current, &out);
      break;
    case ObjectKind::kSettings:
      out.faults =
          FaultsOf(ReadLevelValues(ParseTreePath(name.rest)->level, value));
      break;
    case ObjectKind::kDrain:
      CheckDrain(configuration, name, value, &out);
      break;
  }
  return out;
}

std::vector<Fault> DeletionWarnings(const Configuration& configuration,
                                    const ObjectName& name) {
  Configuration after = configuration;
  if (name.kind == ObjectKind::kService) {
    after.services.erase(ServiceId(name.rest));
  } else if (name.kind == ObjectKind::kSnapshot) {
    after.snapshots.erase(SnapshotName(name.rest));
  } else {
    return {};
  }
  return NewMismatches(configuration, after);
}

std::vector<Fault> FindMismatches(const Configuration& configuration) {
  std::vector<Fault> out;
  const ServerIndex index = IndexOthers(configuration, ServiceId());
  for (const auto& [id, service] : configuration.services) {
    AddNamed("services/" + id.text, SharedServers(index, service), &out);
  }
  for (const auto& [id, manifests] : configuration.snapshots) {
    AddNamed("snapshots/" + id.text,
             MissingServers(configuration, *manifests.front()), &out);
  }
  for (const auto& [id, route] : configuration.routes) {
    AddNamed("routes/" + id.text, RouteMismatches(configuration, route), &out);
  }
  return out;
}

}  // namespace hibiscuspick::settings
