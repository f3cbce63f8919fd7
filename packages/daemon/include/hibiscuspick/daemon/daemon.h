// One complete instance: connects all its components, starts and stops them.
#pragma once

#include <atomic>
#include <memory>

#include "hibiscuspick/base/result.h"
#include "hibiscuspick/settings/daemon_settings.h"

namespace hibiscuspick::daemon {

class Daemon {
 public:
  explicit Daemon(settings::DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Listens on all three ports and starts all threads. Errors: kConnectFailed
  // with the address that can't be listened on.
  Result<Done> Start();

  // Stops gracefully: /readyz reports that the instance is leaving and peers
  // are notified; requests are still accepted for the balancer's lag; work in
  // flight completes; then everything is stopped. Returns when it is done.
  // `abort_now` is polled: once it is true, or after stop_timeout, work in
  // flight is aborted, which the log reports.
  void Stop(const std::atomic<bool>& abort_now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hibiscuspick::daemon
