// The options of each component of an instance, from the settings file.
#pragma once

#include "hibiscuspick/dispatch/part_executor.h"
#include "hibiscuspick/http/server.h"
#include "hibiscuspick/inner/peer_mesh.h"
#include "hibiscuspick/membership/control_core.h"
#include "hibiscuspick/platform/http_calls.h"
#include "hibiscuspick/settings/daemon_settings.h"

namespace hibiscuspick::daemon {

inner::MeshSettings MeshSettingsOf(const settings::DaemonSettings& settings,
                                   Incarnation incarnation);
dispatch::ExecutorOptions ExecutorOptionsOf(
    const settings::DaemonSettings& settings, Incarnation incarnation);
membership::ControlState ControlStateOf(
    const settings::DaemonSettings& settings, Incarnation incarnation);
platform::Calls PlatformCallsOf(const settings::DaemonSettings& settings);
http::ServerLimits CallerLimits(const settings::DaemonSettings& settings);
http::ServerLimits OperatorLimits(const settings::DaemonSettings& settings);

}  // namespace hibiscuspick::daemon
