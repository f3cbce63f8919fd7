// What a backend server stand-in has counted.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::standins {

struct BackendStats {
  // Attempts that began to run, by lane; the last place is for none or an
  // unknown one.
  std::array<uint64_t, kLaneCount + 1> executed{};
  uint64_t arrived = 0;
  uint64_t shed = 0;
  uint64_t cancelled_running = 0;
  uint64_t cancelled_queued = 0;
  // Stopped, or never begun, because X-Deadline-Ms had passed.
  uint64_t expired = 0;
  uint64_t version_not_held = 0;
  uint64_t faults = 0;
  // The same X-Attempt-Id came twice while the first was there.
  uint64_t repeated_attempts = 0;
  uint64_t connections_opened = 0;
  uint64_t connections_refused = 0;
  size_t connections_now = 0;
  size_t connections_most = 0;
  size_t running_now = 0;
  size_t queued_now = 0;
  size_t running_most = 0;
  size_t queued_most = 0;
  // Attempts that arrived while draining, and how long after the drain began
  // the last of them came.
  uint64_t arrived_draining = 0;
  Millis last_arrival_after_drain;
  // Times each record key was run.
  std::map<std::string, uint64_t> records;
};

// `executed` by lane's name, and so on; records only as counts of keys.
Json StatsJson(const BackendStats& stats);

// Adds the counts of `more`; the most and the last are the higher of the two.
void AddStats(BackendStats* total, const BackendStats& more);

}  // namespace hibiscuspick::standins
