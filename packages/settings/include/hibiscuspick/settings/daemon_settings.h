// The daemon's own settings file: JSON with comments, read once at start.
// Traffic settings are in the settings tree instead, where they can change
// while the daemon runs.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/settings/faults.h"

namespace hibiscuspick::settings {

struct DaemonSettings {
  InstanceId instance;
  DataCentreId data_centre;
  // The region of the data centre; empty if there is only one.
  std::string region;

  Address callers;
  Address operators;
  Address inner;
  Address platform;
  // Inner addresses of other instances, contacted at start when the platform
  // can't list the members.
  std::vector<Address> peers;

  // Never empty.
  std::string operator_token;
  std::string inner_key;

  std::string log_level = "info";
  LogFormat log_format = LogFormat::kText;

  // How long the platform's load balancer may keep sending new connections
  // after this instance has announced its stop.
  Millis balancer_lag{5000};
  // The longest that a graceful stop waits for requests in flight.
  Millis stop_timeout{30000};

  // Concurrent attempts; each occupies a thread.
  int max_attempts = 512;
  // Concurrent connections from callers.
  int max_caller_connections = 1024;
  // Concurrent connections from operators.
  int max_operator_connections = 32;
  // The largest body of an operator's request, in bytes.
  size_t max_operator_body = 1 << 20;

  // Rate limit for this instance's platform calls, and the burst it may send
  // after an idle period.
  int platform_calls_per_second = 50;
  int platform_call_burst = 100;
  Millis platform_timeout{2000};
  // How long one watch request (a long poll) waits for changes.
  Millis platform_watch_timeout{10000};
};

// Looks up an environment variable; nullopt if it isn't set.
using EnvironmentLookup =
    std::function<std::optional<std::string>(const std::string& name)>;

// Parses and validates the file's text and returns all faults at once. The
// token and the key are written in the file ("operator_token", "inner_key") or
// read from an environment variable that the file names ("operator_token_env",
// "inner_key_env"). A file without them is rejected, since an unprotected
// operators' port would let anyone change the configuration.
Checked<DaemonSettings> ReadDaemonSettings(
    std::string_view text, const EnvironmentLookup& environment);

}  // namespace hibiscuspick::settings
