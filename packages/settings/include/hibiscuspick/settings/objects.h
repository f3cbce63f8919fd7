// The configuration objects that operators write, as validated values. Each is
// stored on the platform as one object of the kind "config".
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
  // Attempts that it runs concurrently.
  int slots = 2;
  // TCP connections that it accepts from all instances together.
  int max_connections = 25;
};

struct Service {
  ServiceId id;
  std::vector<BackendServer> backend_servers;
};

// What a route prefers if it can't have both: to answer as soon as min_coverage
// is reached, or to wait for full coverage until the deadline.
enum class Prefer { kLatency, kCoverage };

struct Route {
  RouteId id;
  SnapshotName snapshot;
  Lane lane = Lane::kOrdinary;
  Prefer prefer = Prefer::kLatency;
  // The services it queries; empty means all of the snapshot.
  std::vector<ServiceId> services;
};

struct SnapshotShard {
  ShardId shard;
  ServiceId service;
  uint64_t documents = 0;
  // The service's servers that hold the shard; empty means all of them.
  std::vector<BackendServerId> backend_servers;
};

// A manifest: one index version of every shard that an answer may draw on.
struct Snapshot {
  SnapshotName name;
  // The operator's own label, such as "2026-12-02a".
  std::string id;
  IndexVersion index_version;
  // The version of the stored object on the platform.
  Revision revision;
  std::vector<SnapshotShard> shards;
};

// An operator's order that a backend server gets no new work.
struct Drain {
  BackendServerId server;
  std::string reason;
};

}  // namespace hibiscuspick::settings
