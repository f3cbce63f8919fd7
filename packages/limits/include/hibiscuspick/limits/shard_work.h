// What passes between the instance that took a query and the one that runs a
// part of it: the part, and one outcome for each of its shards.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::limits {

// One shard of a part.
struct ShardWork {
  ShardId shard;
  ServiceId service;
  // The servers of the pinned manifest that hold it.
  std::vector<BackendServerId> servers;
};

// A part's number is given by the instance that took the query; together with
// that instance's id and incarnation it is unique in the fleet for ever.
struct PartOrigin {
  InstanceId instance;
  Incarnation incarnation;
  PartId part;
  auto operator<=>(const PartOrigin&) const = default;
};

// Some shards of one query, all from one snapshot, to be run by one instance.
struct PartRequest {
  PartOrigin origin;
  // The service whose settings apply is each shard's own.
  CustomerId customer;
  RouteId route;
  Lane lane = Lane::kOrdinary;
  IndexVersion version;
  // Time left when the message was written; clocks of two machines are never
  // compared.
  Millis time_left;
  uint32_t limit = 20;
  // The caller's query, as JSON text, passed on unread.
  std::string query;
  std::vector<ShardWork> shards;
};

// One hit; `fields` is JSON text, passed on unread.
struct Hit {
  std::string id;
  double score = 0;
  std::string fields;
};

// What became of one shard of a part. Only kOk counts towards coverage, and
// only it carries hits.
struct ShardOutcome {
  ShardId shard;
  Code code = Code::kOk;
  // kNo only if no attempt of this shard was handed to a socket.
  Ran ran = Ran::kMaybe;
  // Attempts handed to a socket, hedges and retries included.
  uint32_t attempts = 0;
  std::vector<Hit> hits;
  // With kVersionNotHeld: the versions the servers said they hold.
  std::vector<IndexVersion> held;
};

}  // namespace hibiscuspick::limits
