// What the executor counts, as the daemon's /metrics reads it.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
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

struct GroupMetrics {
  ServiceId service;
  limits::GroupCounters counters;
  int slots_in_use = 0;
  size_t waiting = 0;
  int ejected = 0;
  int draining = 0;
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
