#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

#include "group_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::limits {
namespace {

constexpr int kServers = 3;
constexpr int kSlots = 2;
constexpr int kEvents = 4000;

constexpr Code kResults[] = {Code::kOk,
                             Code::kOk,
                             Code::kOk,
                             Code::kShed,
                             Code::kConnectFailed,
                             Code::kReadFailed,
                             Code::kBadReply,
                             Code::kWrongEcho,
                             Code::kBackendError,
                             Code::kVersionNotHeld,
                             Code::kDeadlineExceeded,
                             Code::kReplyTooLarge};

// Feeds a group random events and checks its state against a model.
class RandomEvents {
 public:
  explicit RandomEvents(uint64_t seed)
      : random_(seed), group_(kServers, {}, kSlots) {}

  void Step() {
    switch (random_.Below(11)) {
      case 0:
      case 1:
      case 2:
        Add();
        break;
      case 3:
      case 4:
      case 5:
        FinishOne();
        break;
      case 6:
        ConfirmOne();
        break;
      case 7:
        CancelSome();
        break;
      case 8:
        ReportDrain();
        break;
      case 9:
        StartDelayed();
        break;
      default:
        group_.Advance(Millis(random_.Fraction() * 20));
    }
    HandleActions();
    Check();
  }

  // Advances past all deadlines and checks that nothing is left.
  void FinishAll() {
    group_.Advance(Millis(10000));
    HandleActions();
    Check();
    BOOST_TEST(group_.state.tasks.empty());
    BOOST_TEST(group_.state.attempts.empty());
    BOOST_TEST(CountWaiting(group_.state.queues) == 0u);
    BOOST_TEST(SlotsInUse(group_.state) == 0);
    BOOST_TEST(open_.empty());
  }

 private:
  struct OpenTask {
    bool idempotent = true;
    int handed = 0;
  };

  void Add() {
    const Lane lane = kAllLanes[random_.Below(kLaneCount)];
    const bool idempotent = random_.Below(5) != 0;
    std::vector<BackendServerId> servers;
    for (const auto& it : group_.state.servers) {
      if (random_.Below(3) != 0) servers.push_back(it.config.id);
    }
    if (servers.empty()) servers.push_back(group_.state.servers[0].config.id);
    open_[TaskId(group_.last_task + 1)] = {idempotent, 0};
    group_.Add(lane, Millis(1 + random_.Fraction() * 150), idempotent, servers);
  }

  void FinishOne() {
    if (running_.empty()) return;
    auto it = running_.begin();
    std::advance(it, random_.Below(running_.size()));
    const Code code = kResults[random_.Below(std::size(kResults))];
    const auto [attempt, task] = *it;
    running_.erase(it);
    const auto open = open_.find(task);
    const bool unsent = code == Code::kConnectFailed;
    if (unsent && open != open_.end()) --open->second.handed;
    group_.Finish(attempt, code, Millis(random_.Fraction() * 30),
                  {IndexVersion(4)});
  }

  void ConfirmOne() {
    if (cancelled_.empty()) return;
    const AttemptId attempt = cancelled_.back();
    cancelled_.pop_back();
    ConfirmCancel(&group_.state, attempt, group_.now, &group_.random,
                  &group_.actions);
  }

  void CancelSome() {
    if (open_.empty() || random_.Below(4) != 0) return;
    std::vector<TaskId> tasks;
    auto it = open_.begin();
    std::advance(it, random_.Below(open_.size()));
    while (it != open_.end() && tasks.size() < 4) {
      tasks.push_back(it->first);
      cancelled_tasks_.insert(it->first);
      it = open_.erase(it);
    }
    CancelTasks(&group_.state, tasks, group_.now, &group_.random,
                &group_.actions);
  }

  void ReportDrain() {
    if (random_.Below(5) != 0) return;
    const size_t n = random_.Below(kServers);
    const ServerState& server = group_.state.servers[n];
    const Incarnation incarnation(server.incarnation.value + random_.Below(2));
    ApplyDrainReport(&group_.state, server.config.id, incarnation,
                     random_.Below(3) == 0, group_.now, &group_.random,
                     &group_.actions);
  }

  void HandleActions() {
    while (!group_.actions.empty()) {
      for (const auto& it : group_.Take<TaskDone>()) OnDone(it);
      for (const auto& it : group_.Take<CancelAttempt>()) {
        cancelled_.push_back(it.attempt);
      }
      for (const auto& it : group_.Take<StartAttempt>()) OnStart(it);
      group_.Take<Decision>();
      group_.Take<Preconnect>();
    }
  }

  void OnStart(const StartAttempt& start) {
    BOOST_REQUIRE(started_ids_.insert(start.attempt).second);
    BOOST_REQUIRE(!cancelled_tasks_.contains(start.task));
    // Some workers call MayStart only after other events.
    if (random_.Below(3) == 0) {
      delayed_.push_back(start);
    } else {
      TryStart(start);
    }
  }

  void StartDelayed() {
    if (delayed_.empty()) return;
    const StartAttempt start = delayed_.back();
    delayed_.pop_back();
    TryStart(start);
  }

  void TryStart(const StartAttempt& start) {
    if (!group_.TryStart(start.attempt)) return;
    const auto& server = group_.state.servers[start.server];
    BOOST_REQUIRE(AcceptsNewWork(server, group_.now));
    BOOST_REQUIRE((group_.now < start.deadline));
    const auto open = open_.find(start.task);
    BOOST_REQUIRE((open != open_.end()));
    ++open->second.handed;
    BOOST_REQUIRE((open->second.idempotent || open->second.handed == 1));
    running_[start.attempt] = start.task;
  }

  void OnDone(const TaskDone& done) {
    const auto open = open_.find(done.task);
    // A task finishes once, and never after it was cancelled.
    BOOST_REQUIRE((open != open_.end()));
    const int handed = open->second.handed;
    BOOST_REQUIRE((done.ran == Ran::kNo) == (handed == 0));
    BOOST_REQUIRE(done.attempts == static_cast<uint32_t>(handed));
    open_.erase(open);
  }

  void Check() {
    std::vector<int> counted(kServers, 0);
    for (const auto& it : group_.state.attempts) ++counted[it.second.server];
    for (size_t i = 0; i < kServers; ++i) {
      BOOST_REQUIRE(group_.state.servers[i].in_flight == counted[i]);
      BOOST_REQUIRE(counted[i] <= kSlots);
    }
    const double tokens = group_.state.budget.tokens;
    BOOST_REQUIRE(tokens >= 0);
    BOOST_REQUIRE(tokens <= group_.state.policy.budget.burst);
    size_t waiting = 0;
    for (const auto& it : group_.state.tasks) waiting += it.second.is_queued;
    BOOST_REQUIRE(waiting == CountWaiting(group_.state.queues));
  }

  Random random_;
  GroupFixture group_;
  std::map<TaskId, OpenTask> open_;
  std::map<AttemptId, TaskId> running_;
  // Cancelled tasks.
  std::set<TaskId> cancelled_tasks_;
  std::vector<AttemptId> cancelled_;
  std::vector<StartAttempt> delayed_;
  std::set<AttemptId> started_ids_;
};

}  // namespace

// Failures, cancels, drains and deadlines occur in random order. In every order
// slots are neither exceeded nor leaked, each task finishes once, a record is
// sent at most once, and `ran` is kNo only if nothing was sent.
BOOST_DATA_TEST_CASE(invariants_hold_for_random_events, bdata::xrange(1, 41),
                     seed) {
  RandomEvents events(static_cast<uint64_t>(seed));
  for (int i = 0; i < kEvents; ++i) events.Step();
  events.FinishAll();
}

}  // namespace hibiscuspick::limits
