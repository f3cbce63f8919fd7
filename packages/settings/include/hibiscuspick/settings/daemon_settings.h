// The daemon's own settings file: JSON with comments, read once at start. All
// that tunes traffic lives in the settings tree instead, where it can change
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
  // Inner addresses of instances that are likely to be there, asked when the
  // platform can't say who is.
  std::vector<Address> peers;

  // Never empty.
  std::string operator_token;
  std::string inner_key;

  std::string log_level = "info";
  LogFormat log_format = LogFormat::kText;

  // How long the platform's balancer may go on sending new connections here
  // after a stop was announced.
  Millis balancer_lag{5000};
  // The longest a planned stop waits for requests in flight.
  Millis stop_timeout{30000};

  // Attempts in flight at once, each on a thread.
  int max_attempts = 512;
  // Connections of callers served at once.
  int max_caller_connections = 1024;
  // Connections of operators served at once.
  int max_operator_connections = 32;
  // The largest body of an operator's request, in bytes.
  size_t max_operator_body = 1 << 20;

  // Platform calls per second that this instance allows itself, and how many
  // it may make at once after a quiet time.
  int platform_calls_per_second = 50;
  int platform_call_burst = 100;
  Millis platform_timeout{2000};
  // How long one watch waits.
  Millis platform_watch{10000};
};

// Looks a name up in the environment; nullopt if it isn't set.
using EnvironmentLookup =
    std::function<std::optional<std::string>(const std::string& name)>;

// Reads and checks the file's text. Every fault is given at once. A token or
// key may be written in the file ("operator_token", "inner_key") or be named
// as an environment variable ("operator_token_env", "inner_key_env"); without
// one the file is refused, since an open operators' port would let anyone
// change the configuration.
Checked<DaemonSettings> ReadDaemonSettings(
    std::string_view text, const EnvironmentLookup& environment);

}  // namespace hibiscuspick::settings
