// Messages between the instance that received a query and the instances that
// run its parts: the request for a part, and one outcome per shard.
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
  // The servers that hold the shard by the pinned manifest.
  std::vector<BackendServerId> servers;
};

// Identifies a part. The part id is assigned by the instance that received the
// query; together with that instance's id and incarnation it is never reused.
struct PartOrigin {
  InstanceId instance;
  Incarnation incarnation;
  PartId part;
  auto operator<=>(const PartOrigin&) const = default;
};

// Some shards of one query, all of one snapshot, to be run by one instance.
struct PartRequest {
  PartOrigin origin;
  // The settings that apply are those of each shard's own service.
  CustomerId customer;
  RouteId route;
  Lane lane = Lane::kOrdinary;
  IndexVersion version;
  // Time left when the message was sent. A duration, because clocks of
  // different machines are never compared.
  Millis time_left;
  uint32_t limit = 20;
  // The caller's query as JSON text, forwarded without parsing.
  std::string query;
  std::vector<ShardWork> shards;
};

// One hit. `fields` is JSON text, forwarded without parsing.
struct Hit {
  std::string id;
  double score = 0;
  std::string fields;
};

// The outcome of one shard of a part. Only kOk counts towards coverage and
// carries hits.
struct ShardOutcome {
  ShardId shard;
  Code code = Code::kOk;
  // kNo only if no attempt for this shard was sent.
  Ran ran = Ran::kMaybe;
  // Attempts sent, hedges and retries included.
  uint32_t attempts = 0;
  std::vector<Hit> hits;
  // With kVersionNotHeld: the versions that the servers reported.
  std::vector<IndexVersion> held;
};

}  // namespace hibiscuspick::limits
