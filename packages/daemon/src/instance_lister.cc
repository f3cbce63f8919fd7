#include "hibiscuspick/daemon/instance_lister.h"

#include <utility>

namespace hibiscuspick::daemon {

InstanceLister::InstanceLister(platform::Calls calls,
                               std::function<bool()> should_list, Sink sink)
    : calls_(std::move(calls)),
      should_list_(std::move(should_list)),
      sink_(std::move(sink)) {
  thread_ = std::thread([this] { Run(); });
}

InstanceLister::~InstanceLister() { Stop(); }

void InstanceLister::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void InstanceLister::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    if (should_list_()) {
      auto listed = calls_.instances();
      if (IsOk(listed)) sink_(ValueOf(std::move(listed)));
    }
    lock.lock();
    wake_.wait_for(lock, kInterval.ToMicros(), [this] { return stopping_; });
  }
}

}  // namespace hibiscuspick::daemon
