// The content of /v1/status and /metrics: this instance, and the fleet as it
// sees it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/daemon/traffic_view.h"
#include "hibiscuspick/dispatch/executor_metrics.h"
#include "hibiscuspick/front/callers_api.h"

namespace hibiscuspick::daemon {

struct StatusData {
  std::shared_ptr<const TrafficView> view;
  Incarnation incarnation;
  bool watching = false;
  Revision complete_to;
  front::ConfigurationAge age;
  Code readiness = Code::kNotReady;
  uint64_t alarms = 0;
  dispatch::ExecutorMetrics executor;
};

// Members, backend servers with their state and owner, versions in force,
// warnings.
Json StatusJson(const StatusData& data);

// The executor's counters as Prometheus text, one series for each service.
std::string GroupMetricsText(const dispatch::ExecutorMetrics& metrics);

}  // namespace hibiscuspick::daemon
