// What the executor counts, as the daemon's /metrics reads it.
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

// Latencies of attempts from hand-over to whole reply, in milliseconds: 48
// buckets that grow by the same factor from 0.1 ms to 10 s.
inline auto MakeLatencyHistogram() {
  namespace bh = boost::histogram;
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  return bh::make_histogram(Axis(48, 0.1, 10000));
}
using LatencyHistogram = decltype(MakeLatencyHistogram());

// What the group knows of one server.
struct ServerMetrics {
  BackendServerId server;
  int slots = 0;
  int in_flight = 0;
  // Of those in flight, attempts that were given up and whose end is not seen.
  int abandoned = 0;
  bool ejected = false;
  bool draining = false;
  // Mean of whole replies, recent ones weighing more; 0 if none.
  Millis latency;
  // As the server last said with a 409; empty if it never did.
  limits::HeldVersions held;
};

struct GroupMetrics {
  ServiceId service;
  limits::GroupCounters counters;
  int slots_in_use = 0;
  size_t waiting = 0;
  // Servers in that state.
  int ejected = 0;
  int draining = 0;
  // Those that are part of the service now.
  std::vector<ServerMetrics> servers;
  // By code, attempts that ended with it.
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
