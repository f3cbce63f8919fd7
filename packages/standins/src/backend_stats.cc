#include "hibiscuspick/standins/backend_stats.h"

#include <algorithm>

namespace hibiscuspick::standins {

Json StatsJson(const BackendStats& stats) {
  Json executed;
  uint64_t total = 0;
  for (const Lane it : kAllLanes) {
    executed[std::string(LaneName(it))] = stats.executed[LaneIndex(it)];
  }
  executed["other"] = stats.executed[kLaneCount];
  for (const uint64_t n : stats.executed) total += n;
  return {{"executed", executed},
          {"executed_total", total},
          {"arrived", stats.arrived},
          {"shed", stats.shed},
          {"cancelled_running", stats.cancelled_running},
          {"cancelled_queued", stats.cancelled_queued},
          {"expired", stats.expired},
          {"version_not_held", stats.version_not_held},
          {"faults", stats.faults},
          {"repeated_attempts", stats.repeated_attempts},
          {"connections_opened", stats.connections_opened},
          {"connections_refused", stats.connections_refused},
          {"connections_now", stats.connections_now},
          {"connections_most", stats.connections_most},
          {"running_now", stats.running_now},
          {"queued_now", stats.queued_now},
          {"running_most", stats.running_most},
          {"queued_most", stats.queued_most},
          {"arrived_draining", stats.arrived_draining},
          {"last_arrival_after_drain_ms", stats.last_arrival_after_drain.count},
          {"record_keys", stats.records.size()}};
}

void AddStats(BackendStats* total, const BackendStats& more) {
  for (size_t i = 0; i < total->executed.size(); ++i) {
    total->executed[i] += more.executed[i];
  }
  total->arrived += more.arrived;
  total->shed += more.shed;
  total->cancelled_running += more.cancelled_running;
  total->cancelled_queued += more.cancelled_queued;
  total->expired += more.expired;
  total->version_not_held += more.version_not_held;
  total->faults += more.faults;
  total->repeated_attempts += more.repeated_attempts;
  total->connections_opened += more.connections_opened;
  total->connections_refused += more.connections_refused;
  total->connections_now += more.connections_now;
  total->running_now += more.running_now;
  total->queued_now += more.queued_now;
  total->arrived_draining += more.arrived_draining;
  total->connections_most =
      std::max(total->connections_most, more.connections_most);
  total->running_most = std::max(total->running_most, more.running_most);
  total->queued_most = std::max(total->queued_most, more.queued_most);
  total->last_arrival_after_drain =
      Max(total->last_arrival_after_drain, more.last_arrival_after_drain);
  for (const auto& [key, n] : more.records) total->records[key] += n;
}

}  // namespace hibiscuspick::standins
