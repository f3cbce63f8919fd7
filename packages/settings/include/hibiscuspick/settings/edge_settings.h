// The settings file of an edge instance, which serves callers directly and
// reads its list of backend servers from an object store: JSON with comments.
// Values take effect at the next start; on SIGHUP the file is only checked.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/mechanisms.h"

namespace hibiscuspick::settings {

struct EdgeSettings {
  InstanceId instance;
  DataCentreId data_centre;
  Address callers;
  Address readiness;
  Address store;
  // Where peers fetch server state, and where they forward queries to.
  Address updates;
  Address peer_queries;
  // CPU share of the process, in cores.
  double cpu_cores = 1;

  // What the process may use: memory, and descriptors if the limit of the
  // process is not lower.
  double memory_mb = 256;
  double descriptors = 4096;

  // The fleet's limit on extra attempts (hedges and retries) of a service in
  // any window: `extra_ratio` of the service's requests, plus `extra_slack`.
  double extra_ratio = 0.2;
  Millis extra_window{10000};
  double extra_slack = 0;
  // The number of instances that share this slack and the servers' connections;
  // it applies until the store has reported the actual number.
  int instances = 8;

  // A cold server's limit is its service's limit times overage, plus slack.
  double cold_overage = 1;
  double cold_slack = 0;

  // Bound on the requests of a client account that run within any window: its
  // rate times the window plus its burst, times 1 + overage, plus slack. A
  // window of 0: allowances are not enforced.
  Millis allowance_window{0};
  double allowance_overage = 0;
  double allowance_slack = 0;

  // The region of each data centre, for routes restricted to some regions.
  std::map<DataCentreId, std::string> regions;

  // Whether requests with a key are refused while the store has not confirmed
  // the configuration for `max_key_age`, since the key may have been removed.
  // Otherwise the last known configuration decides.
  bool strict_revocation = false;
  Millis max_key_age{5000};

  // The time from the stop signal until the process is killed.
  Millis shutdown_grace{6000};

  // Switches for experiments.
  Mechanisms mechanisms;

  std::string log_level = "info";
  LogFormat log_format = LogFormat::kJson;
};

// Whether the text is an edge settings file: it has the section "edge".
bool IsEdgeSettings(std::string_view text);

// Parses and validates the file's text and returns all faults at once.
Checked<EdgeSettings> ReadEdgeSettings(std::string_view text);

}  // namespace hibiscuspick::settings
