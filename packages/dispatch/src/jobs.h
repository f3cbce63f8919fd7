// The work behind the group's numbers: what to send for a task, and where its
// outcome goes.
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

// One running part, shared by its shards.
struct PartRun {
  limits::PartOrigin origin;
  PartExecutor::OnOutcomes on_outcomes;
  // The body sent to every shard.
  std::string body;
  IndexVersion version;
  Lane lane = Lane::kOrdinary;
  std::atomic<size_t> outstanding{0};
};

// One running record.
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
