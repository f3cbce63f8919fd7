// The components of one instance and their connections.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "component_options.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/daemon/control_thread.h"
#include "hibiscuspick/daemon/daemon.h"
#include "hibiscuspick/daemon/instance_lister.h"
#include "hibiscuspick/daemon/part_service.h"
#include "hibiscuspick/daemon/status.h"
#include "hibiscuspick/daemon/traffic_view.h"
#include "hibiscuspick/front/callers_api.h"
#include "hibiscuspick/inner/peer_mesh.h"
#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/operators/server.h"
#include "hibiscuspick/platform/http_calls.h"
#include "hibiscuspick/platform/watch_loop.h"
#include "hibiscuspick/records/record_runner.h"
#include "hibiscuspick/routing/query_runner.h"

namespace hibiscuspick::daemon {

// The members are declared in the order in which they start and are destroyed
// in reverse order, so that none is called after its destruction.
class Daemon::Impl {
 public:
  explicit Impl(settings::DaemonSettings settings)
      : settings_(std::move(settings)),
        // Incarnations must increase with each start, as the time does.
        incarnation_(static_cast<uint64_t>(WallNow().count)),
        calls_(PlatformCallsOf(settings_)),
        executor_(ExecutorOptionsOf(settings_, incarnation_),
                  [this](const auto& server, auto incarnation, bool draining) {
                    HandleHeaderReport(server, incarnation, draining);
                  }),
        control_(ControlStateOf(settings_, incarnation_), MakeControlPorts(),
                 incarnation_.value),
        runner_(settings_.instance, incarnation_, MakeRunnerPorts()),
        mesh_(MeshSettingsOf(settings_, incarnation_), MakeMeshCallbacks()),
        parts_(&executor_,
               [this](const auto& to, auto message) {
                 mesh_.Send(to, std::move(message));
               }),
        records_(
            settings_.instance.text + "-" + std::to_string(incarnation_.value),
            records::Rules(), MakeRecordPorts()),
        callers_server_(CallerLimits(settings_)),
        operators_server_(OperatorLimits(settings_)),
        callers_(MakeCallersPorts(), &metrics_) {}

  Result<Done> Start();
  void Stop(const std::atomic<bool>& abort_now);

 private:
  // Watchers' reports propagate in their data centre by digests, which each
  // instance sends to two peers every second.
  static constexpr Millis kReportDelay{5000};

  ControlPorts MakeControlPorts();
  routing::RunnerCallbacks MakeRunnerPorts();
  inner::MeshCallbacks MakeMeshCallbacks();
  records::RecordPorts MakeRecordPorts();
  front::CallersPorts MakeCallersPorts();
  operators::Ports MakeOperatorsPorts();

  void HandleHeaderReport(const BackendServerId& server,
                          Incarnation incarnation, bool draining);
  void HandleMessage(const InstanceId& from, inner::Message message);
  void HandleWatchAnswer(const Result<platform::WatchResult>& answer);
  void ApplyView(const TrafficView& view);
  records::DispatchResult DispatchRecord(const records::RecordRequest& request,
                                         Millis time_left);
  front::ConfigurationAge Age() const;
  // The age of the watchers' last report at which the platform counts as
  // unreachable: a full watch, and the time for the report to propagate.
  Millis MaxReportAge() const {
    return settings_.platform_watch_timeout + kReportDelay;
  }
  Code Readiness() const;
  StatusData GatherStatusData() const;
  void AddGauges();
  size_t InFlight() const;
  bool WaitUntilIdle(Millis until, const std::atomic<bool>& abort_now);

  const settings::DaemonSettings settings_;
  const Incarnation incarnation_;
  const Millis started_ = SteadyNow();
  metrics::Registry metrics_;
  const platform::Calls calls_;
  std::atomic<bool> watching_{false};
  std::atomic<bool> platform_reachable_{false};
  std::atomic<bool> serving_{false};
  std::atomic<bool> leaving_{false};

  dispatch::PartExecutor executor_;
  ControlThread control_;
  routing::QueryRunner runner_;
  inner::PeerMesh mesh_;
  PartService parts_;
  records::RecordRunner records_;
  http::Server callers_server_;
  http::Server operators_server_;
  front::CallersApi callers_;
  std::unique_ptr<platform::WatchLoop> watch_;
  std::unique_ptr<InstanceLister> lister_;
};

}  // namespace hibiscuspick::daemon
