// One run of the pure engine against modelled servers in virtual time: nine
// entry daemons send queries of twenty shards, directly or through owners.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "event_queue.h"
#include "hibiscuspick/limits/group.h"
#include "server_model.h"

namespace hibiscuspick::benchmarks {

enum class Trouble { kNone, kReplicaLost, kHalfCold };

struct RunParameters {
  limits::GroupPolicy policy;
  // One group per service for all daemons, against one for each daemon.
  bool owners = true;
  // Arriving work as a share of what the slots can do.
  double load = 0.6;
  ServerParameters server;
  Trouble trouble = Trouble::kNone;
  // How much longer an attempt in the bulk lane takes.
  double bulk_work = 1;
  uint64_t seed = 1;
  // Measured, after a warm-up of a fifth as long.
  Millis span{10000};
};

struct LaneResult {
  // Of whole queries, in milliseconds; cut at the deadline.
  std::vector<double> latencies;
  uint64_t shards = 0;
  uint64_t answered = 0;
};

struct RunResult {
  std::array<LaneResult, kLaneCount> lanes;
  uint64_t shards = 0;
  // Handed to servers.
  uint64_t attempts = 0;
  // Answered within the span, whenever they came.
  uint64_t bulk_in_span = 0;
  Millis span;
};

RunResult Simulate(const RunParameters& parameters);

}  // namespace hibiscuspick::benchmarks
