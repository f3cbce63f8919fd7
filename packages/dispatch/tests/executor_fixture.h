// Options, requests and an outcome collector for executor tests.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/dispatch/part_executor.h"

namespace hibiscuspick::dispatch {

// A timeout only reached by a hang.
inline constexpr Millis kHangTimeout{30000};

inline ExecutorOptions TestOptions() {
  ExecutorOptions options;
  options.instance = InstanceId("osl-1-a");
  options.incarnation = Incarnation(4);
  options.max_reply = 1 << 20;
  return options;
}

// Collects the outcomes of one part.
class Outcomes {
 public:
  PartExecutor::OnOutcomes Sink() {
    return [this](std::vector<limits::ShardOutcome> outcomes) {
      const std::lock_guard lock(mutex_);
      for (auto& it : outcomes) {
        ++deliveries_[it.shard.text];
        by_shard_[it.shard.text] = std::move(it);
      }
      changed_.notify_all();
    };
  }

  // Waits until `n` shards have an outcome; false on a timeout.
  bool WaitFor(size_t n) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kHangTimeout.ToMicros(),
                             [&] { return by_shard_.size() >= n; });
  }
  limits::ShardOutcome Of(const std::string& shard) {
    const std::lock_guard lock(mutex_);
    return by_shard_[shard];
  }
  // The maximum number of outcomes delivered for one shard.
  int MaxDeliveries() {
    const std::lock_guard lock(mutex_);
    int most = 0;
    for (const auto& it : deliveries_) most = std::max(most, it.second);
    return most;
  }
  size_t Count() {
    const std::lock_guard lock(mutex_);
    return by_shard_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, limits::ShardOutcome> by_shard_;
  std::map<std::string, int> deliveries_;
};

inline GroupConfig MakeGroupConfig(std::vector<settings::BackendServer> servers,
                                   const limits::GroupPolicy& policy = {}) {
  return {{ServiceId("claims"), std::move(servers)}, policy, {}};
}

// A part of `n` shards p0, p1, … that every configured server holds.
inline limits::PartRequest MakePart(const GroupConfig& config, int n,
                                    Millis time_left = kHangTimeout) {
  limits::PartRequest part;
  part.origin = {InstanceId("osl-1-b"), Incarnation(2), PartId(9)};
  part.lane = Lane::kUrgent;
  part.version = IndexVersion(7);
  part.time_left = time_left;
  part.query = R"({"name": "Berg"})";
  for (int i = 0; i < n; ++i) {
    limits::ShardWork work;
    work.shard = ShardId("p" + std::to_string(i));
    work.service = config.service.id;
    for (const auto& it : config.service.backend_servers) {
      work.servers.push_back(it.id);
    }
    part.shards.push_back(work);
  }
  return part;
}

inline RecordRequest MakeRecord(const GroupConfig& config,
                                Millis time_left = kHangTimeout) {
  RecordRequest record;
  record.service = config.service.id;
  record.shard = ShardId("p0");
  for (const auto& it : config.service.backend_servers) {
    record.servers.push_back(it.id);
  }
  record.version = IndexVersion(7);
  record.key = "claim-1";
  record.record = R"({"phone": "cracked"})";
  record.time_left = time_left;
  return record;
}

}  // namespace hibiscuspick::dispatch
