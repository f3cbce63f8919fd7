// One instance on virtual time: the same decisions as the daemon's, without
// its threads and sockets.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "hibiscuspick/base/random.h"
#include "hibiscuspick/daemon/traffic_view.h"
#include "hibiscuspick/limits/group.h"
#include "hibiscuspick/membership/control_core.h"
#include "hibiscuspick/routing/query.h"
#include "hibiscuspick/routing/reassign_budget.h"
#include "hibiscuspick/scenario/fake_server.h"

namespace hibiscuspick::scenario {

// A shard's work at the instance that runs it.
struct NodeTask {
  limits::PartOrigin origin;
  ShardId shard;
  IndexVersion version;
};

struct NodeAttempt {
  TaskId task;
  uint32_t server = 0;
  IndexVersion version;
  Millis deadline;
  Millis handed_at;
  bool over = false;
  // The version that the reply's hits were made from.
  IndexVersion served;
};

struct NodeGroup {
  limits::GroupState state;
  std::map<TaskId, NodeTask> tasks;
  std::map<AttemptId, NodeAttempt> attempts;
  Millis wakes_at = kNever;
};

struct NodeQuery {
  routing::QueryState state;
  Millis wakes_at = kNever;
  // The number the world gave it.
  uint64_t number = 0;
};

struct NodePart {
  size_t shards_left = 0;
};

struct Node {
  InstanceId id;
  DataCentreId data_centre;
  // Raised by each replacement; events of a former life are dropped.
  uint64_t life = 0;
  bool alive = false;
  bool leaving = false;
  Millis paused_until{-1};

  membership::ControlState control;
  Random random{1};
  Incarnation incarnation;
  bool watching = false;
  bool serving = false;
  std::shared_ptr<const settings::Configuration> configuration;
  membership::ViewPointer members;
  std::shared_ptr<const daemon::TrafficView> view;

  std::map<ServiceId, NodeGroup> groups;
  std::map<limits::PartOrigin, NodePart> parts;
  std::map<QueryId, NodeQuery> queries;
  routing::HeldVersions held;
  routing::ReassignBudget budget;
  uint64_t last_query = 0;
  uint64_t last_task = 0;
};

}  // namespace hibiscuspick::scenario
