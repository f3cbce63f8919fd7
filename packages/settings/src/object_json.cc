#include "hibiscuspick/settings/object_json.h"

#include <array>
#include <set>
#include <utility>

#include "hibiscuspick/settings/json_reader.h"

namespace hibiscuspick::settings {
namespace {

constexpr int64_t kMaxSlots = 10000;
constexpr int64_t kMaxConnections = 100000;
constexpr size_t kMaxReasonBytes = 500;

constexpr std::array<std::string_view, 2> kPreferNames = {"latency",
                                                          "coverage"};

std::array<std::string_view, kLaneCount> LaneNames() {
  std::array<std::string_view, kLaneCount> names;
  for (const Lane it : kAllLanes) names[LaneIndex(it)] = LaneName(it);
  return names;
}

std::string ElementPath(const std::string& path, size_t i) {
  return path + "[" + std::to_string(i) + "]";
}

void AddFault(std::vector<Fault>* faults, std::string path,
              std::string message) {
  faults->push_back({Code::kInvalidValue, std::move(path), std::move(message)});
}

// A list of distinct names.
template <class Id>
std::vector<Id> ReadNames(JsonReader* reader, const std::string& key,
                          std::vector<Fault>* faults) {
  std::vector<Id> names;
  if (!reader->Find(key)) return names;
  std::set<std::string> seen;
  const Json& list = reader->Array(key);
  for (size_t i = 0; i < list.size(); ++i) {
    const std::string path = ElementPath(reader->PathOf(key), i);
    if (!list[i].is_string() ||
        !IsName(list[i].get_ref<const std::string&>())) {
      AddFault(faults, path, "must be a name");
      continue;
    }
    names.emplace_back(list[i].get<std::string>());
    if (!seen.insert(names.back().text).second) {
      AddFault(faults, path, "is listed twice");
    }
  }
  return names;
}

BackendServer ReadBackendServer(const Json& value, const std::string& path,
                                std::vector<Fault>* faults) {
  BackendServer server;
  JsonReader reader(value, path, faults);
  server.id = BackendServerId(reader.NameText("id"));
  server.address = reader.IpAddress("address");
  server.data_centre = DataCentreId(reader.NameText("data_centre"));
  server.slots =
      static_cast<int>(reader.Integer("slots", {1, kMaxSlots}, server.slots));
  server.max_connections = static_cast<int>(reader.Integer(
      "max_connections", {1, kMaxConnections}, server.max_connections));
  reader.RejectUnknownKeys();
  return server;
}

// A duplicate entry for one server would count its slots twice.
void RejectDuplicateServers(const std::vector<BackendServer>& servers,
                            const std::string& path,
                            std::vector<Fault>* faults) {
  std::set<std::string> ids;
  std::set<Address> addresses;
  for (size_t i = 0; i < servers.size(); ++i) {
    const auto& it = servers[i];
    const std::string element = ElementPath(path, i);
    if (!it.id.empty() && !ids.insert(it.id.text).second) {
      AddFault(faults, element + ".id", it.id.text + " is listed twice");
    }
    if (it.address.port != 0 && !addresses.insert(it.address).second) {
      AddFault(faults, element + ".address",
               ToText(it.address) + " is listed twice");
    }
  }
}

SnapshotShard ReadShard(const Json& value, const std::string& path,
                        std::vector<Fault>* faults) {
  SnapshotShard shard;
  JsonReader reader(value, path, faults);
  shard.shard = ShardId(reader.NameText("shard"));
  shard.service = ServiceId(reader.NameText("service"));
  shard.documents =
      static_cast<uint64_t>(reader.Integer("documents", {0, INT64_MAX}));
  shard.backend_servers =
      ReadNames<BackendServerId>(&reader, "backend_servers", faults);
  reader.RejectUnknownKeys();
  return shard;
}

// The sum of the documents must not overflow, or the coverage would be wrong.
void RejectTooManyDocuments(const Snapshot& snapshot,
                            std::vector<Fault>* faults) {
  constexpr uint64_t kMaxDocuments = 1ULL << 53;
  uint64_t sum = 0;
  for (const auto& it : snapshot.shards) {
    if (it.documents > kMaxDocuments - sum) {
      AddFault(faults, "$.shards", "more than 2^53 documents in total");
      return;
    }
    sum += it.documents;
  }
}

template <class T>
Checked<T> Finish(T value, std::vector<Fault> faults) {
  if (!faults.empty()) return faults;
  return value;
}

template <class Id>
Json NamesToJson(const std::vector<Id>& names) {
  Json list = Json::array();
  for (const auto& it : names) list.push_back(it.text);
  return list;
}

}  // namespace

Checked<Service> ReadService(const ServiceId& id, const Json& value) {
  std::vector<Fault> faults;
  Service service{id, {}};
  JsonReader reader(value, "$", &faults);
  const Json& list = reader.Array("backend_servers");
  const std::string path = reader.PathOf("backend_servers");
  for (size_t i = 0; i < list.size(); ++i) {
    service.backend_servers.push_back(
        ReadBackendServer(list[i], ElementPath(path, i), &faults));
  }
  if (reader.Has("backend_servers") && list.empty()) {
    reader.AddFault("backend_servers",
                    "must contain at least one backend server");
  }
  RejectDuplicateServers(service.backend_servers, path, &faults);
  reader.RejectUnknownKeys();
  return Finish(std::move(service), std::move(faults));
}

Checked<Route> ReadRoute(const RouteId& id, const Json& value) {
  constexpr size_t kOrdinary = LaneIndex(Lane::kOrdinary);
  std::vector<Fault> faults;
  Route route;
  route.id = id;
  JsonReader reader(value, "$", &faults);
  route.snapshot = SnapshotName(reader.NameText("snapshot"));
  route.lane = kAllLanes[reader.Choice("lane", LaneNames(), kOrdinary)];
  route.prefer = reader.Choice("prefer", kPreferNames, 0) == 0
                     ? Prefer::kLatency
                     : Prefer::kCoverage;
  route.services = ReadNames<ServiceId>(&reader, "services", &faults);
  reader.RejectUnknownKeys();
  return Finish(std::move(route), std::move(faults));
}

Checked<Snapshot> ReadSnapshot(const SnapshotName& name, Revision revision,
                               const Json& value) {
  std::vector<Fault> faults;
  Snapshot snapshot;
  snapshot.name = name;
  snapshot.revision = revision;
  JsonReader reader(value, "$", &faults);
  snapshot.id = reader.NameText("id");
  snapshot.index_version = IndexVersion(
      static_cast<uint64_t>(reader.Integer("index_version", {1, INT64_MAX})));
  const Json& list = reader.Array("shards");
  std::set<std::string> seen;
  for (size_t i = 0; i < list.size(); ++i) {
    const std::string path = ElementPath(reader.PathOf("shards"), i);
    snapshot.shards.push_back(ReadShard(list[i], path, &faults));
    const std::string& shard = snapshot.shards.back().shard.text;
    if (!shard.empty() && !seen.insert(shard).second) {
      AddFault(&faults, path + ".shard", shard + " is listed twice");
    }
  }
  if (reader.Has("shards") && list.empty()) {
    reader.AddFault("shards", "must contain at least one shard");
  }
  RejectTooManyDocuments(snapshot, &faults);
  reader.RejectUnknownKeys();
  return Finish(std::move(snapshot), std::move(faults));
}

Checked<Drain> ReadDrain(const BackendServerId& server, const Json& value) {
  std::vector<Fault> faults;
  Drain drain{server, ""};
  JsonReader reader(value, "$", &faults);
  drain.reason = reader.Text("reason", "");
  if (drain.reason.size() > kMaxReasonBytes) {
    reader.AddFault("reason", "is longer than 500 bytes");
  }
  reader.RejectUnknownKeys();
  return Finish(std::move(drain), std::move(faults));
}

Json ToJson(const Service& service) {
  Json list = Json::array();
  for (const auto& it : service.backend_servers) {
    list.push_back({{"id", it.id.text},
                    {"address", ToText(it.address)},
                    {"data_centre", it.data_centre.text},
                    {"slots", it.slots},
                    {"max_connections", it.max_connections}});
  }
  return {{"backend_servers", std::move(list)}};
}

Json ToJson(const Route& route) {
  Json value = {{"snapshot", route.snapshot.text},
                {"lane", LaneName(route.lane)},
                {"prefer", kPreferNames[route.prefer == Prefer::kCoverage]}};
  if (!route.services.empty()) value["services"] = NamesToJson(route.services);
  return value;
}

Json ToJson(const Snapshot& snapshot) {
  Json list = Json::array();
  for (const auto& it : snapshot.shards) {
    Json shard = {{"shard", it.shard.text},
                  {"service", it.service.text},
                  {"documents", it.documents}};
    if (!it.backend_servers.empty()) {
      shard["backend_servers"] = NamesToJson(it.backend_servers);
    }
    list.push_back(std::move(shard));
  }
  return {{"id", snapshot.id},
          {"index_version", snapshot.index_version.value},
          {"shards", std::move(list)}};
}

Json ToJson(const Drain& drain) {
  Json value = Json::object();
  if (!drain.reason.empty()) value["reason"] = drain.reason;
  return value;
}

}  // namespace hibiscuspick::settings
