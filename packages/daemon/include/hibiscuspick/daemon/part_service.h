// Runs parts of queries for other instances and sends their outcomes back.
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

// While a part runs, its origin is told every so often that this instance is
// alive, by outcomes without shards. Work may rightly wait in its lane for
// longer than an origin waits for an instance that died; without the notice
// every queue would look like a dead owner, and be asked for again elsewhere.
class PartService {
 public:
  using Send = std::function<void(const InstanceId& to, inner::Message)>;

  // The interval is well under the smallest useful owner_timeout_ms.
  static constexpr Millis kNoticeInterval{10};

  PartService(dispatch::PartExecutor* executor, Send send);
  ~PartService();
  PartService(const PartService&) = delete;
  PartService& operator=(const PartService&) = delete;

  void Run(const limits::PartRequest& part);
  void Cancel(const limits::PartOrigin& origin);

  // Parts of other instances now running.
  size_t running() const;

  void Stop();

 private:
  struct Running {
    size_t shards_left = 0;
    Millis last_sent;
  };

  void TakeOutcomes(const limits::PartOrigin& origin,
                    std::vector<limits::ShardOutcome> outcomes);
  void Notice();
  std::vector<limits::PartOrigin> DueNotices();

  dispatch::PartExecutor* const executor_;
  const Send send_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::map<limits::PartOrigin, Running> running_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hibiscuspick::daemon
