// The settings file of an instance that serves callers directly from a list of
// backend servers in an object store: JSON with comments, read at start and
// again when it changes.
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
  // Where peers ask for news, and where they hand queries to.
  Address news;
  Address queries;
  // The share of a core that the process may use.
  double processor = 1;

  // What all instances together may add to a service's requests, in hedges and
  // retries, within any window.
  double extra_ratio = 0.2;
  Millis extra_window{10000};
  double extra_slack = 0;
  // Instances that share that slack and the servers' connections, until the
  // store has said how many there are.
  int instances = 8;

  // What a cold server gets beyond its service's bound.
  double cold_overage = 1;
  double cold_slack = 0;

  // The region of each data centre, for routes that are kept to some regions.
  std::map<DataCentreId, std::string> regions;

  // From the stop signal until the process is ended by force.
  Millis grace{6000};

  // For experiments.
  Mechanisms mechanisms;

  std::string log_level = "info";
  LogFormat log_format = LogFormat::kJson;
};

// Whether the text is such a file: it has the section "edge".
bool IsEdgeSettings(std::string_view text);

// Reads and checks the file's text. Every fault is given at once.
Checked<EdgeSettings> ReadEdgeSettings(std::string_view text);

}  // namespace hibiscuspick::settings
