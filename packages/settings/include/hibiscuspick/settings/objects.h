// The objects operators write, as checked values. Each is stored at the
// platform as one object of the kind "config".
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/lane.h"

namespace hibiscuspick::settings {

// One backend server of a service.
struct BackendServer {
  BackendServerId id;
  Address address;
  DataCentreId data_centre;
  // Attempts it runs at once.
  int slots = 2;
  // TCP connections it accepts, from all instances together.
  int max_connections = 25;
};

struct Service {
  ServiceId id;
  std::vector<BackendServer> backend_servers;
};

// What a route does when it cannot have both: answer once min_coverage is
// there, or wait for the whole until the deadline.
enum class Prefer { kLatency, kCoverage };

struct Route {
  RouteId id;
  SnapshotName snapshot;
  Lane lane = Lane::kOrdinary;
  Prefer prefer = Prefer::kLatency;
  // The services it covers; empty means all of the snapshot.
  std::vector<ServiceId> services;
};

struct SnapshotShard {
  ShardId shard;
  ServiceId service;
  uint64_t documents = 0;
  // The service's servers that hold it; empty means all of them.
  std::vector<BackendServerId> backend_servers;
};

// A manifest: one version of every index family an answer may touch.
struct Snapshot {
  SnapshotName name;
  // The operator's own word for it, such as "2026-12-02a".
  std::string id;
  IndexVersion index_version;
  // The platform's version of the object that brought it.
  Revision revision;
  std::vector<SnapshotShard> shards;
};

// An operator's order that a backend server gets no new work.
struct Drain {
  BackendServerId server;
  std::string reason;
};

}  // namespace hibiscuspick::settings
