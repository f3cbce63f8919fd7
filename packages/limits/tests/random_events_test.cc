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

constexpr Code kEndings[] = {Code::kOk,
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
class Storm {
 public:
  explicit Storm(uint64_t seed) : chance_(seed), group_(kServers, {}, kSlots) {}

  void Step() {
    switch (chance_.Below(11)) {
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
        News();
        break;
      case 9:
        HandOne();
        break;
      default:
        group_.Advance(Millis(chance_.Fraction() * 20));
    }
    CarryOut();
    Check();
  }

  // Advances past all deadlines and checks that nothing is left.
  void Settle() {
    group_.Advance(Millis(10000));
    CarryOut();
    Check();
    BOOST_TEST(group_.state.tasks.empty());
    BOOST_TEST(group_.state.attempts.empty());
    BOOST_TEST(Waiting(group_.state.queues) == 0u);
    BOOST_TEST(SlotsInUse(group_.state) == 0);
    BOOST_TEST(open_.empty());
  }

 private:
  struct Open {
    bool idempotent = true;
    int handed = 0;
  };

  void Add() {
    const Lane lane = kAllLanes[chance_.Below(kLaneCount)];
    const bool idempotent = chance_.Below(5) != 0;
    std::vector<BackendServerId> servers;
    for (const auto& it : group_.state.servers) {
      if (chance_.Below(3) != 0) servers.push_back(it.config.id);
    }
    if (servers.empty()) servers.push_back(group_.state.servers[0].config.id);
    open_[TaskId(group_.last_task + 1)] = {idempotent, 0};
    group_.Add(lane, Millis(1 + chance_.Fraction() * 150), idempotent, servers);
  }

  void FinishOne() {
    if (running_.empty()) return;
    auto it = running_.begin();
    std::advance(it, chance_.Below(running_.size()));
    const Code code = kEndings[chance_.Below(std::size(kEndings))];
    const auto [attempt, task] = *it;
    running_.erase(it);
    const auto open = open_.find(task);
    const bool unsent = code == Code::kConnectFailed;
    if (unsent && open != open_.end()) --open->second.handed;
    group_.Finish(attempt, code, Millis(chance_.Fraction() * 30),
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
    if (open_.empty() || chance_.Below(4) != 0) return;
    std::vector<TaskId> tasks;
    auto it = open_.begin();
    std::advance(it, chance_.Below(open_.size()));
    while (it != open_.end() && tasks.size() < 4) {
      tasks.push_back(it->first);
      gone_.insert(it->first);
      it = open_.erase(it);
    }
    CancelTasks(&group_.state, tasks, group_.now, &group_.random,
                &group_.actions);
  }

  void News() {
    if (chance_.Below(5) != 0) return;
    const size_t n = chance_.Below(kServers);
    const ServerState& server = group_.state.servers[n];
    const Incarnation incarnation(server.incarnation.value + chance_.Below(2));
    TakeServerNews(&group_.state, server.config.id, incarnation,
                   chance_.Below(3) == 0, group_.now, &group_.random,
                   &group_.actions);
  }

  void CarryOut() {
    while (!group_.actions.empty()) {
      for (const auto& it : group_.Take<TaskDone>()) OnDone(it);
      for (const auto& it : group_.Take<CancelAttempt>()) {
        cancelled_.push_back(it.attempt);
      }
      for (const auto& it : group_.Take<StartAttempt>()) OnStart(it);
      group_.Take<Decision>();
      group_.Take<PrepareConnection>();
    }
  }

  void OnStart(const StartAttempt& start) {
    BOOST_REQUIRE(ids_.insert(start.attempt).second);
    BOOST_REQUIRE(!gone_.contains(start.task));
    // Some workers call MayStart only after other events.
    if (chance_.Below(3) == 0) {
      late_.push_back(start);
    } else {
      Hand(start);
    }
  }

  void HandOne() {
    if (late_.empty()) return;
    const StartAttempt start = late_.back();
    late_.pop_back();
    Hand(start);
  }

  void Hand(const StartAttempt& start) {
    if (!group_.Hand(start.attempt)) return;
    const auto& server = group_.state.servers[start.server];
    BOOST_REQUIRE(TakesNewWork(server, group_.now));
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
    for (const auto& it : group_.state.tasks) waiting += it.second.waits;
    BOOST_REQUIRE(waiting == Waiting(group_.state.queues));
  }

  Random chance_;
  GroupFixture group_;
  std::map<TaskId, Open> open_;
  std::map<AttemptId, TaskId> running_;
  // Cancelled tasks.
  std::set<TaskId> gone_;
  std::vector<AttemptId> cancelled_;
  std::vector<StartAttempt> late_;
  std::set<AttemptId> ids_;
};

}  // namespace

// Failures, cancels, drains and deadlines occur in random order. In every order
// slots are neither exceeded nor leaked, each task finishes once, a record is
// sent at most once, and `ran` is kNo only if nothing was sent.
BOOST_DATA_TEST_CASE(any_order_of_events, bdata::xrange(1, 41), seed) {
  Storm storm(static_cast<uint64_t>(seed));
  for (int i = 0; i < kEvents; ++i) storm.Step();
  storm.Settle();
}

}  // namespace hibiscuspick::limits
