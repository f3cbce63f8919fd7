#include "component_options.h"

#include "hibiscuspick/platform/call_budget.h"

namespace hibiscuspick::daemon {

inner::MeshSettings MeshSettingsOf(const settings::DaemonSettings& settings,
                                   Incarnation incarnation) {
  inner::MeshSettings mesh;
  mesh.self = settings.instance;
  mesh.data_centre = settings.data_centre;
  mesh.incarnation = incarnation;
  mesh.key = settings.inner_key;
  mesh.listen = settings.inner;
  return mesh;
}

dispatch::ExecutorOptions ExecutorOptionsOf(
    const settings::DaemonSettings& settings, Incarnation incarnation) {
  dispatch::ExecutorOptions options;
  options.instance = settings.instance;
  options.incarnation = incarnation;
  options.seed = incarnation.value;
  options.max_workers = static_cast<size_t>(settings.max_attempts);
  return options;
}

membership::ControlState ControlStateOf(
    const settings::DaemonSettings& settings, Incarnation incarnation) {
  membership::MemberState self;
  self.id = settings.instance;
  self.data_centre = settings.data_centre;
  self.inner = settings.inner;
  self.incarnation = incarnation;
  return membership::StartControl(self, settings.peers,
                                  membership::ControlLimits());
}

platform::Calls PlatformCallsOf(const settings::DaemonSettings& settings) {
  platform::HttpCallLimits limits;
  limits.timeout = settings.platform_timeout;
  const auto budget =
      platform::MakeCallBudget(settings.platform_calls_per_second,
                               settings.platform_call_burst, SteadyNow());
  return platform::LimitCalls(
      platform::MakeHttpCalls(settings.platform, limits), budget);
}

http::ServerLimits CallerLimits(const settings::DaemonSettings& settings) {
  http::ServerLimits limits;
  limits.max_connections = static_cast<size_t>(settings.max_caller_connections);
  return limits;
}

http::ServerLimits OperatorLimits(const settings::DaemonSettings& settings) {
  http::ServerLimits limits;
  limits.max_connections =
      static_cast<size_t>(settings.max_operator_connections);
  limits.max_body = settings.max_operator_body;
  return limits;
}

}  // namespace hibiscuspick::daemon
