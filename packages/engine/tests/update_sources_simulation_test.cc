// Simulates how a fleet gets updates of the configuration and of the servers,
// with the engine's own decisions in virtual time, and counts its calls to the
// store.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/engine/store_retry.h"
#include "hibiscuspick/engine/update_sources.h"

namespace hibiscuspick::engine {
namespace {

constexpr size_t kInstances = 460;
constexpr size_t kDataCentres = 7;
constexpr Millis kTick{50};
// How often an instance that has updates recomputes its sources, besides
// whenever their inputs change.
constexpr Millis kAgeCheck{300};
// Time after which a common start has settled.
constexpr Millis kSettled{10000};
// How long connections to an instance without power hang.
constexpr Millis kConnectTimeout{400};
// Cost of a stale read relative to a consistent one, and its age here.
constexpr double kStaleReadCost = 0.1;
constexpr Millis kStaleReadAge{1000};

struct Instance {
  PeerTable table;
  UpdateState state;
  Millis up_at;
  Millis next_list;
  bool watch_store = false;
  std::vector<std::pair<InstanceId, const Instance*>> polled_peers;
  Millis next_source_check;
  bool registered = false;
  bool watching = false;
  Millis watch_until{-1};
  Millis watch_ends;
  Millis retry_at;
  int failures = 0;
  // The configuration version that the instance holds.
  int version = 0;
  std::map<InstanceId, Millis> polls;
};

class Simulation {
 public:
  Simulation() {
    for (size_t i = 0; i < kInstances; ++i) {
      Peer peer;
      peer.id = InstanceId("i" + std::to_string(i));
      peer.data_centre = DataCentreId("dc" + std::to_string(i % kDataCentres));
      peer.cpu_cores = i < 2 * kDataCentres ? 0.5 : 0.12;
      all_.push_back(peer);
    }
    for (const auto& it : all_) instances_[it.id].table.own = it.id;
  }

  // Starts all instances at once with an empty store.
  void StartInstances() {
    for (auto& [id, it] : instances_) Start(&it, Millis(0));
  }
  // Every second instance loses power and starts again after `pause` without
  // any state.
  void RestartHalf(Millis pause) {
    size_t i = 0;
    for (auto& [id, it] : instances_) {
      if (i++ % 2 == 0) Start(&it, now_ + pause);
    }
  }
  void SetStoreUp(bool up) { store_up_ = up; }
  void SetVersion(int version) { version_ = version; }

  // The time until all instances hold the current version; nothing if that
  // takes longer than `timeout`.
  std::optional<Millis> TimeUntilUpToDate(Millis timeout) {
    const Millis began = now_;
    std::optional<Millis> updated_after;
    for (; now_ < began + timeout; now_ += kTick) {
      double calls = calls_;
      for (auto& [id, it] : instances_) Step(&it);
      max_calls_per_tick_ = std::max(max_calls_per_tick_, calls_ - calls);
      const bool all =
          std::all_of(instances_.begin(), instances_.end(), [&](auto& it) {
            return now_ >= it.second.up_at && it.second.version == version_;
          });
      if (all && !updated_after) updated_after = now_ - began;
    }
    return updated_after;
  }
  double ResetCalls() { return std::exchange(calls_, 0); }
  // The largest number of calls within one tick.
  double ResetMaxCallsPerTick() {
    return std::exchange(max_calls_per_tick_, 0);
  }

 private:
  void Start(Instance* it, Millis when) {
    const InstanceId own = it->table.own;
    const bool registered = it->registered;
    *it = Instance();
    it->table.own = own;
    it->registered = registered;
    it->up_at = when;
    it->next_list = when;
    it->state.started_at = when;
  }

  void Step(Instance* it) {
    if (now_ < it->up_at) return;
    if (now_ >= it->next_list) ReadList(it);
    if (it->table.peers.empty()) return;
    if (now_ >= it->next_source_check) SelectSources(it);
    const bool wanted = it->watch_store || now_ < it->watch_until;
    if (wanted && !it->watching) it->watch_ends = it->retry_at = now_;
    it->watching = wanted;
    if (wanted) WatchStore(it);
    for (const auto& [id, peer] : it->polled_peers) PollPeer(it, id, *peer);
  }

  void SelectSources(Instance* it) {
    it->state.store_failing = it->watching && it->failures > 0;
    const auto sources = CurrentSources(it->table, it->state, now_);
    it->watch_store = sources.watch_store;
    it->polled_peers.clear();
    for (const auto& peer : sources.peers) {
      it->polled_peers.emplace_back(peer.id, &instances_.at(peer.id));
    }
    it->next_source_check = now_ + (HasUpdates(it->state) ? kAgeCheck : kTick);
    if (it->watch_store && !it->watching) {
      it->watch_until = now_ + kMinWatchTime;
    }
  }

  // Reads the list, and writes the own entry if it isn't there yet.
  void ReadList(Instance* it) {
    it->next_list = now_ + kRetry;
    calls_ += kStaleReadCost;
    if (!store_up_) return;
    const bool first = it->table.peers.empty();
    it->next_source_check = now_;
    it->state.list_complete = it->registered;
    it->table.peers.clear();
    for (const auto& peer : all_) {
      const auto entry = entries_.find(peer.id);
      const bool seen =
          entry != entries_.end() && entry->second <= now_ - kStaleReadAge;
      if (seen || peer.id == it->table.own) it->table.peers[peer.id] = peer;
    }
    if (first && !it->registered) {
      calls_ += 1;
      entries_[it->table.own] = now_;
      it->registered = true;
      return;
    }
    it->next_list = now_ + ListInterval(kInstances);
  }

  void WatchStore(Instance* it) {
    if (now_ < it->retry_at) return;
    if (!store_up_) {
      calls_ += 2;
      ++it->failures;
      it->retry_at = now_ + kStoreConnectTimeout +
                     RetryDelay(StoreFailure::kUnreachable, it->failures, 1);
      return;
    }
    it->failures = 0;
    it->state.confirmed_at = now_;
    const bool changed = it->version != version_;
    it->version = version_;
    if (changed || now_ >= it->watch_ends) {
      calls_ += 2;
      it->watch_ends = now_ + kWatchWait;
    }
  }

  void PollPeer(Instance* it, const InstanceId& id, const Instance& peer) {
    const auto [poll, is_new] = it->polls.try_emplace(id, now_);
    const Millis open = now_ - poll->second;
    if (now_ < peer.up_at) {
      if (open < kConnectTimeout) return;
      it->polls.erase(id);
      RecordUnresponsive(&it->table, id, now_);
      it->next_source_check = now_ + kTick;
      return;
    }
    const bool has_update = peer.version > it->version ||
                            (HasUpdates(peer.state) && !HasUpdates(it->state));
    if (is_new || (!has_update && open < kPeerPollWait)) return;
    it->polls.erase(id);
    RecordResponse(&it->table, id);
    it->version = std::max(it->version, peer.version);
    if (HasUpdates(peer.state)) {
      it->state.confirmed_at =
          Max(it->state.confirmed_at, peer.state.confirmed_at);
    }
  }

  static constexpr Millis kRetry{1000};

  std::vector<Peer> all_;
  std::map<InstanceId, Instance> instances_;
  std::map<InstanceId, Millis> entries_;
  Millis now_;
  bool store_up_ = true;
  int version_ = 1;
  double calls_ = 0;
  double max_calls_per_tick_ = 0;
};

// The calls that each instance needs for itself: writing its entry once, and
// stale reads of the list.
constexpr double kCallsPerInstance = 1 + 4 * kStaleReadCost;

// All instances start at the same moment and no entry is written yet. If
// each listed and watched for itself, a real store would refuse that load.
// After that the configuration changes, which must cost only the calls of the
// watchers.
BOOST_AUTO_TEST_CASE(CommonStartCostsFewStoreCalls) {
  Simulation simulation;
  simulation.StartInstances();
  const auto updated_after = simulation.TimeUntilUpToDate(Millis(10000));
  const double calls = simulation.ResetCalls();
  simulation.SetVersion(2);
  const auto changed = simulation.TimeUntilUpToDate(Millis(3000));
  const double changing = simulation.ResetCalls();
  BOOST_TEST_MESSAGE("start: " << calls << " calls, all up to date after "
                               << (updated_after ? updated_after->count : -1)
                               << " ms; a change: " << changing << " calls, "
                               << (changed ? changed->count : -1) << " ms");
  BOOST_TEST_REQUIRE(updated_after.has_value());
  BOOST_TEST(updated_after->count <= 3000);
  BOOST_TEST(calls <= kCallsPerInstance * kInstances + 20 * kDataCentres);
  BOOST_TEST_REQUIRE(changed.has_value());
  BOOST_TEST(changed->count <= 1000);
  BOOST_TEST(changing <= 10 * kDataCentres);
}

// Half of the instances, among them watchers, lose power and start again
// without any state. Callers wait for them: they must be up to date as soon as
// their peers and the store can answer.
BOOST_AUTO_TEST_CASE(RestartOfHalfCostsFewStoreCalls) {
  Simulation simulation;
  simulation.StartInstances();
  simulation.TimeUntilUpToDate(kSettled);
  simulation.ResetCalls();
  simulation.RestartHalf(Millis(2000));
  const auto updated_after = simulation.TimeUntilUpToDate(Millis(10000));
  const double calls = simulation.ResetCalls();
  BOOST_TEST_MESSAGE("half killed: "
                     << calls << " calls, all up to date after "
                     << (updated_after ? updated_after->count : -1) << " ms");
  BOOST_TEST_REQUIRE(updated_after.has_value());
  BOOST_TEST(updated_after->count <= 2000 + 1000);
  BOOST_TEST(calls <= 20 * kDataCentres + kStaleReadCost * kInstances);
}

// The store doesn't answer for nine seconds. Without the limits all instances
// called it as soon as their state was outdated, and again every half second.
BOOST_AUTO_TEST_CASE(StoreOutageCostsFewStoreCalls) {
  Simulation simulation;
  simulation.StartInstances();
  simulation.TimeUntilUpToDate(kSettled);
  simulation.ResetCalls();
  simulation.ResetMaxCallsPerTick();
  simulation.SetStoreUp(false);
  simulation.TimeUntilUpToDate(Millis(9000));
  const double silent = simulation.ResetCalls();
  const double max_per_tick = simulation.ResetMaxCallsPerTick();
  simulation.SetStoreUp(true);
  simulation.SetVersion(2);
  const auto updated_after = simulation.TimeUntilUpToDate(Millis(6000));
  const double back = simulation.ResetCalls();
  BOOST_TEST_MESSAGE("store outage of 9 s: "
                     << silent << " calls, at most " << max_per_tick
                     << " in 50 ms; recovery: " << back
                     << " calls, all up to date after "
                     << (updated_after ? updated_after->count : -1) << " ms");
  BOOST_TEST(silent <= 200 * kDataCentres);
  BOOST_TEST(max_per_tick <= 2.0 * 8 * kDataCentres + 10);
  BOOST_TEST_REQUIRE(updated_after.has_value());
  BOOST_TEST(updated_after->count <= 1500);
}

}  // namespace
}  // namespace hibiscuspick::engine
