// The work behind a task id: the request to send and where to deliver the
// outcome.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hibiscuspick/dispatch/part_executor.h"
#include "hibiscuspick/limits/shard_work.h"

namespace hibiscuspick::dispatch {

// A running part, shared by the jobs of its shards.
struct PartRun {
  limits::PartOrigin origin;
  PartExecutor::OnOutcomes on_outcomes;
  // The body sent to every shard.
  std::string body;
  IndexVersion version;
  Lane lane = Lane::kOrdinary;
  std::atomic<size_t> outstanding{0};
};

// A running record.
struct RecordRun {
  std::string key;
  std::string body;
  std::promise<RecordOutcome> outcome;
};

// One task: a shard of a part, or a record. Exactly one of the two is set.
struct Job {
  std::shared_ptr<PartRun> part;
  std::shared_ptr<RecordRun> record;
  ShardId shard;
  IndexVersion version;
  Lane lane = Lane::kOrdinary;
};

}  // namespace hibiscuspick::dispatch
