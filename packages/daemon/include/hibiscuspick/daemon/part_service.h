// Runs parts of queries for other instances and returns their outcomes.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/dispatch/part_executor.h"
#include "hibiscuspick/inner/message.h"

namespace hibiscuspick::daemon {

// While a part runs, this instance periodically sends its origin a heartbeat,
// which is a message with no outcomes. Work may legitimately wait in its lane
// for longer than an origin waits for a dead instance; without heartbeats an
// origin would take a queue for a dead owner and request the part elsewhere.
class PartService {
 public:
  using Send = std::function<void(const InstanceId& to, inner::Message)>;

  // Well below the smallest useful owner_timeout_ms.
  static constexpr Millis kHeartbeatInterval{10};

  PartService(dispatch::PartExecutor* executor, Send send);
  ~PartService();
  PartService(const PartService&) = delete;
  PartService& operator=(const PartService&) = delete;

  void Run(const limits::PartRequest& part);
  void Cancel(const limits::PartOrigin& origin);

  // The number of running parts of other instances.
  size_t running() const;

  void Stop();

 private:
  struct Running {
    size_t shards_left = 0;
    Millis last_sent;
  };

  void HandleOutcomes(const limits::PartOrigin& origin,
                      std::vector<limits::ShardOutcome> outcomes);
  void RunHeartbeats();
  std::vector<limits::PartOrigin> DueHeartbeats();

  dispatch::PartExecutor* const executor_;
  const Send send_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::map<limits::PartOrigin, Running> running_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hibiscuspick::daemon
