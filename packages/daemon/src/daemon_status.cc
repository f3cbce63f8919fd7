// The state and metrics that one instance reports about itself.
#include "daemon_impl.h"

namespace hibiscuspick::daemon {

front::ConfigurationAge Daemon::Impl::Age() const {
  const auto confirmed = control_.ConfirmedAt();
  if (!confirmed) return {SteadyNow() - started_, false};
  const Millis age = SteadyNow() - *confirmed;
  // Only watchers observe the platform directly; other instances go by the age
  // of the watchers' last report.
  const bool reachable =
      watching_ ? platform_reachable_.load() : age < MaxReportAge();
  return {age, reachable};
}

Code Daemon::Impl::Readiness() const {
  if (leaving_) return Code::kLeaving;
  return serving_ ? Code::kOk : Code::kNotReady;
}

StatusData Daemon::Impl::GatherStatusData() const {
  StatusData data;
  data.view = control_.View();
  data.incarnation = incarnation_;
  data.watching = watching_;
  data.complete_to = control_.CompleteTo();
  data.age = Age();
  data.readiness = Readiness();
  data.alarms = control_.alarms();
  data.executor = executor_.Metrics();
  return data;
}

void Daemon::Impl::AddGauges() {
  const auto add = [this](const char* name, const char* help, auto read) {
    metrics_.AddGauge(name, help, {},
                      [read] { return static_cast<double>(read()); });
  };
  add("hibiscuspick_config_complete_to",
      "Revision up to which the configuration is complete.",
      [this] { return control_.CompleteTo().value; });
  add("hibiscuspick_config_alarms",
      "Configuration that went back or contradicts itself, since start.",
      [this] { return control_.alarms(); });
  add("hibiscuspick_platform_reachable",
      "1 if the platform answered this instance's last watch.",
      [this] { return platform_reachable_ ? 1 : 0; });
  add("hibiscuspick_platform_watching",
      "1 if this instance is one of its data centre's watchers.",
      [this] { return watching_ ? 1 : 0; });
  add("hibiscuspick_queries_running", "Queries now running here.",
      [this] { return runner_.running(); });
  add("hibiscuspick_parts_running", "Parts of other instances now running.",
      [this] { return parts_.running(); });
  add("hibiscuspick_inner_messages_sent", "Messages sent to instances.",
      [this] { return mesh_.counts().messages_sent; });
  add("hibiscuspick_inner_bytes_sent", "Bytes sent to instances.",
      [this] { return mesh_.counts().bytes_sent; });
  add("hibiscuspick_inner_bytes_received", "Bytes received from instances.",
      [this] { return mesh_.counts().bytes_received; });
  add("hibiscuspick_control_events_dropped",
      "Control events dropped because the queue was full.",
      [this] { return control_.dropped_events(); });
}

}  // namespace hibiscuspick::daemon
