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

#include "hibiscuspick/engine/news_sources.h"
#include "hibiscuspick/engine/store_retry.h"

namespace hibiscuspick::engine {
namespace {

constexpr size_t kInstances = 460;
constexpr size_t kPlaces = 7;
constexpr Millis kTick{50};
// How often an instance that has updates recomputes its sources, besides
// whenever their inputs change.
constexpr Millis kAgeCheck{300};
// Time after which a common start has settled.
constexpr Millis kSettled{10000};
// How long connections to an instance without power hang.
constexpr Millis kHangs{400};
// Cost of a stale read relative to a consistent one, and its age here.
constexpr double kCheapRead = 0.1;
constexpr Millis kOld{1000};

struct Instance {
  PeerTable table;
  NewsState state;
  Millis up_at;
  Millis next_list;
  bool from_store = false;
  std::vector<std::pair<InstanceId, const Instance*>> from_peers;
  Millis next_choice;
  bool written = false;
  bool watches = false;
  Millis watch_until{-1};
  Millis watch_ends;
  Millis retry_at;
  int failures = 0;
  // The configuration version that the instance holds.
  int version = 0;
  std::map<InstanceId, Millis> asked;
};

class Play {
 public:
  Play() {
    for (size_t i = 0; i < kInstances; ++i) {
      Peer peer;
      peer.id = InstanceId("i" + std::to_string(i));
      peer.data_centre = DataCentreId("dc" + std::to_string(i % kPlaces));
      peer.processor = i < 2 * kPlaces ? 0.5 : 0.12;
      all_.push_back(peer);
    }
    for (const auto& it : all_) instances_[it.id].table.own = it.id;
  }

  // Starts all instances at once with an empty store.
  void StartAll() {
    for (auto& [id, it] : instances_) Start(&it, Millis(0));
  }
  // Every second instance loses power and starts again after `pause` without
  // any state.
  void KillHalf(Millis pause) {
    size_t i = 0;
    for (auto& [id, it] : instances_) {
      if (i++ % 2 == 0) Start(&it, now_ + pause);
    }
  }
  void SetStore(bool up) { store_up_ = up; }
  void SetVersion(int version) { version_ = version; }

  // The time until all instances hold the current version; nothing if that
  // takes longer than `most`.
  std::optional<Millis> UntilAllKnow(Millis most) {
    const Millis began = now_;
    std::optional<Millis> known;
    for (; now_ < began + most; now_ += kTick) {
      double calls = calls_;
      for (auto& [id, it] : instances_) Step(&it);
      most_at_once_ = std::max(most_at_once_, calls_ - calls);
      const bool all =
          std::all_of(instances_.begin(), instances_.end(), [&](auto& it) {
            return now_ >= it.second.up_at && it.second.version == version_;
          });
      if (all && !known) known = now_ - began;
    }
    return known;
  }
  double TakeCalls() { return std::exchange(calls_, 0); }
  // The largest number of calls within one tick.
  double TakeMostAtOnce() { return std::exchange(most_at_once_, 0); }

 private:
  void Start(Instance* it, Millis when) {
    const InstanceId own = it->table.own;
    const bool written = it->written;
    *it = Instance();
    it->table.own = own;
    it->written = written;
    it->up_at = when;
    it->next_list = when;
    it->state.began = when;
  }

  void Step(Instance* it) {
    if (now_ < it->up_at) return;
    if (now_ >= it->next_list) List(it);
    if (it->table.peers.empty()) return;
    if (now_ >= it->next_choice) ChooseSources(it);
    const bool wanted = it->from_store || now_ < it->watch_until;
    if (wanted && !it->watches) it->watch_ends = it->retry_at = now_;
    it->watches = wanted;
    if (wanted) AskStore(it);
    for (const auto& [id, peer] : it->from_peers) AskPeer(it, id, *peer);
  }

  void ChooseSources(Instance* it) {
    it->state.store_fails = it->watches && it->failures > 0;
    const auto sources = SourcesNow(it->table, it->state, now_);
    it->from_store = sources.store;
    it->from_peers.clear();
    for (const auto& peer : sources.peers) {
      it->from_peers.emplace_back(peer.id, &instances_.at(peer.id));
    }
    it->next_choice = now_ + (HasHeard(it->state) ? kAgeCheck : kTick);
    if (it->from_store && !it->watches) {
      it->watch_until = now_ + kWatchAtLeast;
    }
  }

  // Reads the list, and writes the own entry if it isn't there yet.
  void List(Instance* it) {
    it->next_list = now_ + kRetry;
    calls_ += kCheapRead;
    if (!store_up_) return;
    const bool first = it->table.peers.empty();
    it->next_choice = now_;
    it->state.list_is_whole = it->written;
    it->table.peers.clear();
    for (const auto& peer : all_) {
      const auto entry = entries_.find(peer.id);
      const bool seen = entry != entries_.end() && entry->second <= now_ - kOld;
      if (seen || peer.id == it->table.own) it->table.peers[peer.id] = peer;
    }
    if (first && !it->written) {
      calls_ += 1;
      entries_[it->table.own] = now_;
      it->written = true;
      return;
    }
    it->next_list = now_ + ListPause(kInstances);
  }

  void AskStore(Instance* it) {
    if (now_ < it->retry_at) return;
    if (!store_up_) {
      calls_ += 2;
      ++it->failures;
      it->retry_at = now_ + kStoreConnect +
                     RetryPause(StoreFailure::kUnreachable, it->failures, 1);
      return;
    }
    it->failures = 0;
    it->state.confirmed = now_;
    const bool changed = it->version != version_;
    it->version = version_;
    if (changed || now_ >= it->watch_ends) {
      calls_ += 2;
      it->watch_ends = now_ + kWatchTime;
    }
  }

  void AskPeer(Instance* it, const InstanceId& id, const Instance& peer) {
    const auto [question, is_new] = it->asked.try_emplace(id, now_);
    const Millis open = now_ - question->second;
    if (now_ < peer.up_at) {
      if (open < kHangs) return;
      it->asked.erase(id);
      NoteSilent(&it->table, id, now_);
      it->next_choice = now_ + kTick;
      return;
    }
    const bool has_news = peer.version > it->version ||
                          (HasHeard(peer.state) && !HasHeard(it->state));
    if (is_new || (!has_news && open < kNewsWait)) return;
    it->asked.erase(id);
    NoteAnswered(&it->table, id);
    it->version = std::max(it->version, peer.version);
    if (HasHeard(peer.state)) {
      it->state.confirmed = Max(it->state.confirmed, peer.state.confirmed);
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
  double most_at_once_ = 0;
};

// The calls that each instance needs for itself: writing its entry once, and
// stale reads of the list.
constexpr double kOwnCalls = 1 + 4 * kCheapRead;

// All instances start at the same moment and no entry is written yet. If each
// listed and watched for itself, a real store would refuse that load. After
// that the configuration changes, which must cost only the calls of the
// watchers.
BOOST_AUTO_TEST_CASE(StartOfAllCostsTheStoreAFewCallsADataCentre) {
  Play play;
  play.StartAll();
  const auto known = play.UntilAllKnow(Millis(10000));
  const double calls = play.TakeCalls();
  play.SetVersion(2);
  const auto changed = play.UntilAllKnow(Millis(3000));
  const double changing = play.TakeCalls();
  BOOST_TEST_MESSAGE("start: " << calls << " calls, all up to date after "
                               << (known ? known->count : -1)
                               << " ms; a change: " << changing << " calls, "
                               << (changed ? changed->count : -1) << " ms");
  BOOST_TEST_REQUIRE(known.has_value());
  BOOST_TEST(known->count <= 3000);
  BOOST_TEST(calls <= kOwnCalls * kInstances + 20 * kPlaces);
  BOOST_TEST_REQUIRE(changed.has_value());
  BOOST_TEST(changed->count <= 1000);
  BOOST_TEST(changing <= 10 * kPlaces);
}

// Half of the instances, among them watchers, lose power and start again
// without any state. Callers wait for them: they must be up to date as soon as
// their peers and the store can answer.
BOOST_AUTO_TEST_CASE(ReturnOfHalfCostsNoMore) {
  Play play;
  play.StartAll();
  play.UntilAllKnow(kSettled);
  play.TakeCalls();
  play.KillHalf(Millis(2000));
  const auto known = play.UntilAllKnow(Millis(10000));
  const double calls = play.TakeCalls();
  BOOST_TEST_MESSAGE("half killed: " << calls << " calls, all up to date after "
                                     << (known ? known->count : -1) << " ms");
  BOOST_TEST_REQUIRE(known.has_value());
  BOOST_TEST(known->count <= 2000 + 1000);
  BOOST_TEST(calls <= 20 * kPlaces + kCheapRead * kInstances);
}

// The store doesn't answer for nine seconds. Without the limits all instances
// called it as soon as their state was outdated, and again every half second.
BOOST_AUTO_TEST_CASE(SilenceOfTheStoreIsNoReasonForAllToAsk) {
  Play play;
  play.StartAll();
  play.UntilAllKnow(kSettled);
  play.TakeCalls();
  play.TakeMostAtOnce();
  play.SetStore(false);
  play.UntilAllKnow(Millis(9000));
  const double silent = play.TakeCalls();
  const double at_once = play.TakeMostAtOnce();
  play.SetStore(true);
  play.SetVersion(2);
  const auto known = play.UntilAllKnow(Millis(6000));
  const double back = play.TakeCalls();
  BOOST_TEST_MESSAGE("store outage of 9 s: "
                     << silent << " calls, at most " << at_once
                     << " in 50 ms; recovery: " << back
                     << " calls, all up to date after "
                     << (known ? known->count : -1) << " ms");
  BOOST_TEST(silent <= 200 * kPlaces);
  BOOST_TEST(at_once <= 2.0 * 8 * kPlaces + 10);
  BOOST_TEST_REQUIRE(known.has_value());
  BOOST_TEST(known->count <= 1500);
}

}  // namespace
}  // namespace hibiscuspick::engine
