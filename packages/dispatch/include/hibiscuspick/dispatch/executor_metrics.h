// Metrics of the executor, exported by the daemon at /metrics.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::dispatch {

// Histogram of attempt latencies, from the start of sending to the complete
// reply, in milliseconds: 48 logarithmic buckets from 0.1 ms to 10 s.
inline auto MakeLatencyHistogram() {
  namespace bh = boost::histogram;
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  return bh::make_histogram(Axis(48, 0.1, 10000));
}
using LatencyHistogram = decltype(MakeLatencyHistogram());

// State of one backend server as observed by the group.
struct ServerMetrics {
  BackendServerId server;
  int slots = 0;
  int in_flight = 0;
  // Those in flight that were abandoned and whose end has not been observed.
  int abandoned = 0;
  bool ejected = false;
  bool draining = false;
  // Exponentially weighted moving average of complete replies; 0 if none.
  Millis latency;
  // As last reported by the server with a 409; empty if it never was.
  limits::HeldVersions held;
};

struct GroupMetrics {
  ServiceId service;
  limits::GroupCounters counters;
  int slots_in_use = 0;
  size_t waiting = 0;
  // Numbers of servers in that state.
  int ejected = 0;
  int draining = 0;
  // The servers that are now part of the service.
  std::vector<ServerMetrics> servers;
  // Ended attempts by code.
  std::map<Code, uint64_t> attempts_by_code;
  LatencyHistogram latency = MakeLatencyHistogram();
};

struct ExecutorMetrics {
  std::vector<GroupMetrics> groups;
  uint64_t connections_opened = 0;
  uint64_t connections_open = 0;
  uint64_t cancels_sent = 0;
  uint64_t cancels_confirmed = 0;
};

}  // namespace hibiscuspick::dispatch
