// Runs parts of queries, and records, against backend servers: the threads and
// sockets around limits::GroupState.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/dispatch/executor_metrics.h"
#include "hibiscuspick/limits/group_policy.h"
#include "hibiscuspick/limits/shard_work.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::dispatch {

// One service as this instance is to use it.
struct GroupConfig {
  settings::Service service;
  limits::GroupPolicy policy;
  // Servers an operator has drained.
  std::vector<BackendServerId> drained;
};

struct ExecutorOptions {
  // Both go into the attempt ids on the wire; the incarnation must never have
  // been used by this instance before, or ids would repeat.
  InstanceId instance;
  Incarnation incarnation;
  // Attempts in flight at once over all groups, each on a thread.
  size_t max_workers = 512;
  // Bytes of a backend server's reply.
  size_t max_reply = 4 << 20;
  // For a cancel, or for opening a connection ahead.
  Millis control_timeout{500};
  uint64_t seed = 1;
};

// What a record needs; it was claimed for this one dispatch.
struct RecordRequest {
  ServiceId service;
  ShardId shard;
  std::vector<BackendServerId> servers;
  IndexVersion version;
  std::string key;
  // JSON text, passed on unread.
  std::string record;
  Lane lane = Lane::kUrgent;
  Millis time_left;
};

// What became of a record.
struct RecordOutcome {
  Code code = Code::kOk;
  // kNo only if nothing was handed to a socket. A server's own word that it
  // did not run the record (kShed, kVersionNotHeld) is still kMaybe here, for
  // the request reached it.
  Ran ran = Ran::kMaybe;
  // The body of the server's answer: its result with kOk, its reason with
  // kRecordFailed.
  std::string result;
};

class PartExecutor {
 public:
  // Called from worker and timer threads, possibly several at once, without
  // any lock held: must be quick and thread-safe.
  using OnOutcomes = std::function<void(std::vector<limits::ShardOutcome>)>;
  // A backend server said in a reply that it drains, or showed a new life.
  using OnServerNews =
      std::function<void(const BackendServerId&, Incarnation, bool draining)>;

  PartExecutor(ExecutorOptions options, OnServerNews on_server_news);
  // As Stop.
  ~PartExecutor();
  PartExecutor(const PartExecutor&) = delete;
  PartExecutor& operator=(const PartExecutor&) = delete;

  // All services now in force. Work that runs for one that is gone finishes.
  void Apply(const std::vector<GroupConfig>& groups);

  // Starts the part. Each shard's outcome is given exactly once, some possibly
  // before this returns. After Cancel the rest is not given.
  void Run(const limits::PartRequest& part, OnOutcomes on_outcomes);

  // Nobody wants the rest of the part: frees its slots, and asks the servers
  // to stop. An unknown part is passed over.
  void Cancel(const limits::PartOrigin& origin);

  // News of a backend server from a peer or the platform.
  void TakeServerNews(const BackendServerId& server, Incarnation incarnation,
                      bool draining);

  // Runs a record by exactly one attempt, or none. Blocks until the outcome or
  // the deadline.
  RecordOutcome RunRecord(const RecordRequest& record);

  // Parts not yet over, and records; 0 means a graceful stop may end.
  size_t InFlight() const;

  ExecutorMetrics Metrics() const;

  // Ends everything in flight and joins all threads. Outcomes not yet given
  // are given as kCancelled. Run and RunRecord must not be called after.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hibiscuspick::dispatch
