// Runs parts of queries, and records, at backend servers. Provides the threads
// and sockets around limits::GroupState.
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

// The configuration of one service for this instance.
struct GroupConfig {
  settings::Service service;
  limits::GroupPolicy policy;
  // Servers drained by an operator.
  std::vector<BackendServerId> drained;
};

struct ExecutorOptions {
  // Both are part of the attempt ids sent to servers. The incarnation must
  // never have been used by this instance before, or ids would repeat.
  InstanceId instance;
  Incarnation incarnation;
  // Maximum attempts in flight over all groups, each on its own thread.
  size_t max_workers = 512;
  // Maximum size of a backend server's reply, in bytes.
  size_t max_reply = 4 << 20;
  // Timeout of a cancel request, and of opening a connection in advance.
  Millis control_timeout{500};
  uint64_t seed = 1;
};

// A record to run. The caller has claimed its key for this single dispatch.
struct RecordRequest {
  ServiceId service;
  ShardId shard;
  std::vector<BackendServerId> servers;
  IndexVersion version;
  std::string key;
  // JSON text, forwarded without parsing.
  std::string record;
  Lane lane = Lane::kUrgent;
  Millis time_left;
};

// The outcome of a record.
struct RecordOutcome {
  Code code = Code::kOk;
  // kNo only if nothing was sent. A server's statement that it did not run the
  // record (kShed, kVersionNotHeld) still gives kMaybe, since the request
  // reached it.
  Ran ran = Ran::kMaybe;
  // The body of the server's reply: the result with kOk, the reason with
  // kRecordFailed.
  std::string result;
};

class PartExecutor {
 public:
  // Called from worker and timer threads, possibly concurrently, and without a
  // lock held. Must be quick and thread-safe.
  using OnOutcomes = std::function<void(std::vector<limits::ShardOutcome>)>;
  // Called when a backend server reports in a reply that it drains, or reports
  // its incarnation.
  using OnDrainReport =
      std::function<void(const BackendServerId&, Incarnation, bool draining)>;

  PartExecutor(ExecutorOptions options, OnDrainReport on_drain_report);
  // Calls Stop.
  ~PartExecutor();
  PartExecutor(const PartExecutor&) = delete;
  PartExecutor& operator=(const PartExecutor&) = delete;

  // Applies the configuration of all services. Running work of a removed
  // service finishes.
  void Apply(const std::vector<GroupConfig>& groups);

  // Starts a part. `on_outcomes` receives each shard's outcome exactly once,
  // possibly before Run returns. After Cancel the remaining outcomes are not
  // delivered.
  void Run(const limits::PartRequest& part, OnOutcomes on_outcomes);

  // Cancels the rest of a part: releases its queued tasks and requests
  // cancellation of its attempts. Unknown parts are ignored.
  void Cancel(const limits::PartOrigin& origin);

  // Handles a report of a backend server's incarnation and drain state from a
  // peer or the platform.
  void ApplyDrainReport(const BackendServerId& server, Incarnation incarnation,
                        bool draining);

  // Runs a record with at most one attempt. Blocks until the outcome or the
  // deadline.
  RecordOutcome RunRecord(const RecordRequest& record);

  // Number of unfinished parts and records. At 0 a graceful stop may end.
  size_t InFlight() const;

  ExecutorMetrics Metrics() const;

  // Aborts everything in flight and joins all threads. Pending outcomes are
  // delivered as kCancelled. Run and RunRecord must not be called afterwards.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hibiscuspick::dispatch
