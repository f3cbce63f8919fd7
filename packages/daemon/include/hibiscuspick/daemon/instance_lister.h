// Periodically requests the list of instances from the platform.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/platform/calls.h"

namespace hibiscuspick::daemon {

// Each call counts against the platform's limit, so only the data centre's
// watchers and instances that don't serve yet request the list regularly.
class InstanceLister {
 public:
  using Sink = std::function<void(std::vector<platform::ListedInstance>)>;

  static constexpr Millis kInterval{2000};

  // `should_list` returns whether to request the list now. Both functions are
  // called on the lister's thread.
  InstanceLister(platform::Calls calls, std::function<bool()> should_list,
                 Sink sink);
  ~InstanceLister();
  InstanceLister(const InstanceLister&) = delete;
  InstanceLister& operator=(const InstanceLister&) = delete;

  void Stop();

 private:
  void Run();

  const platform::Calls calls_;
  const std::function<bool()> should_list_;
  const Sink sink_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hibiscuspick::daemon
