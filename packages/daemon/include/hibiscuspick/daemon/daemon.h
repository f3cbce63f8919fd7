// The whole of one instance: all parts, wired, with their start and stop.
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
  // naming the address that can't be listened on.
  Result<Done> Start();

  // The graceful stop, in this order: /readyz says leaving and peers are told;
  // requests are still served for the balancer's lag; what runs is finished;
  // everything ends. Returns when all is over. `now` is looked at often: once
  // it is true, or after stop_timeout, what still runs is cut off, and the log
  // says so.
  void Stop(const std::atomic<bool>& now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hibiscuspick::daemon
