#include <boost/test/unit_test.hpp>
#include <vector>

#include "group_fixture.h"

namespace hibiscuspick::limits {

// One attempt hangs. Once it takes longer than the hedge quantile of recent
// latencies, the other replica is tried; its answer counts and the first
// attempt is cancelled.
BOOST_AUTO_TEST_CASE(a_straggler_is_hedged) {
  GroupFixture group(2);
  group.AddLatencySamples();
  group.Add(Lane::kUrgent, Millis(200));
  const auto first = group.TakeStarted();
  group.Advance(Millis(3));
  BOOST_TEST(group.Take<StartAttempt>().empty());
  group.Advance(Millis(5));
  const auto hedge = group.TakeStarted();
  BOOST_REQUIRE(hedge.size() == 1u);
  BOOST_TEST((hedge[0].kind == AttemptKind::kHedge));
  BOOST_TEST(hedge[0].server != first[0].server);
  group.Finish(hedge[0].attempt, Code::kOk);
  const auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].winner == hedge[0].attempt));
  BOOST_TEST(done[0].attempts == 2u);
  const auto cancels = group.Take<CancelAttempt>();
  BOOST_REQUIRE(cancels.size() == 1u);
  BOOST_TEST((cancels[0].attempt == first[0].attempt));
}

// An urgent hedge finds all slots in use. It gets the next free slot, ahead of
// tasks queued earlier: its caller has waited longest.
BOOST_AUTO_TEST_CASE(an_urgent_hedge_is_started_first) {
  GroupFixture group(2, {}, 1);
  group.AddLatencySamples();
  group.Add(Lane::kUrgent, Millis(500));
  const auto straggler = group.TakeStarted();
  const TaskId second_task = group.Add(Lane::kUrgent, Millis(300));
  const auto other = group.TakeStarted();
  BOOST_TEST((other[0].task == second_task));
  group.Add(Lane::kUrgent, Millis(100));
  group.Advance(Millis(8));
  BOOST_TEST(group.Take<StartAttempt>().empty());
  group.Finish(other[0].attempt, Code::kOk);
  const auto next = group.TakeStarted();
  BOOST_REQUIRE(next.size() == 1u);
  BOOST_TEST((next[0].kind == AttemptKind::kHedge));
  BOOST_TEST((next[0].task == straggler[0].task));
}

// A less urgent hedge that finds no free slot is dropped, and its token
// returned.
BOOST_AUTO_TEST_CASE(an_interactive_hedge_takes_only_a_free_slot) {
  GroupFixture group(2, {}, 1);
  group.AddLatencySamples();
  group.Add(Lane::kInteractive, Millis(500));
  group.Add(Lane::kInteractive, Millis(500));
  const auto running = group.TakeStarted();
  BOOST_REQUIRE(running.size() == 2u);
  const double tokens = group.state.budget.tokens;
  group.Advance(Millis(10));
  group.Finish(running[0].attempt, Code::kOk);
  BOOST_TEST(group.Take<StartAttempt>().empty());
  BOOST_TEST(group.state.budget.tokens >= tokens);
  BOOST_TEST(group.state.counters.hedges == 0u);
}

// A slow server is running a record. A hedge would store the record twice.
BOOST_AUTO_TEST_CASE(a_record_is_never_hedged) {
  GroupFixture group(2);
  group.AddLatencySamples();
  group.Add(Lane::kUrgent, Millis(500), false);
  BOOST_TEST(group.TakeStarted().size() == 1u);
  group.Advance(Millis(400));
  BOOST_TEST(group.Take<StartAttempt>().empty());
}

// Every server sheds all attempts for a while. Unbounded retries would multiply
// the load while there is too much of it.
BOOST_AUTO_TEST_CASE(the_budget_bounds_retries_while_all_servers_shed) {
  GroupFixture group(2);
  constexpr int kTasks = 2000;
  int attempts = 0;
  for (int i = 0; i < kTasks; ++i) {
    group.Add(Lane::kUrgent, Millis(100));
    for (const auto& it : group.TakeStarted()) {
      ++attempts;
      group.Finish(it.attempt, Code::kShed);
    }
    group.Advance(Millis(1));
  }
  const GroupCounters& counters = group.state.counters;
  BOOST_TEST(counters.sheds == static_cast<uint64_t>(attempts));
  // Initial tokens, tokens of first attempts, and two seconds' refill.
  const double allowed =
      10 + 0.05 * static_cast<double>(counters.first_attempts) + 2;
  BOOST_TEST(static_cast<double>(counters.retries) <= allowed);
  BOOST_TEST(counters.retries > 0u);
  BOOST_TEST(counters.retries_denied > 0u);
  group.Advance(Millis(200));
  BOOST_TEST(SlotsInUse(group.state) == 0);
  BOOST_TEST(group.state.tasks.empty());
}

// All servers become slow at once, as with a shared disk. Hedging every attempt
// would double the load and keep them slow.
BOOST_AUTO_TEST_CASE(the_budget_bounds_hedges_while_all_servers_are_slow) {
  GroupFixture group(2, {}, 8);
  group.AddLatencySamples();
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 8; ++n) group.Add(Lane::kUrgent, Millis(1000));
    auto running = group.TakeStarted();
    group.Advance(Millis(40));
    for (const auto& it : group.TakeStarted()) running.push_back(it);
    for (const auto& it : running) {
      group.Finish(it.attempt, Code::kOk, Millis(40));
    }
  }
  const GroupCounters& counters = group.state.counters;
  const double share = static_cast<double>(counters.hedges) /
                       static_cast<double>(counters.first_attempts);
  BOOST_TEST(share < 0.1);
}

// One replica does not hold the pinned version yet. Only one attempt is sent to
// it; later tasks go straight to the replica that holds the version.
BOOST_AUTO_TEST_CASE(a_version_not_held_is_cached) {
  GroupFixture group(2);
  const std::vector<IndexVersion> old = {IndexVersion(3), IndexVersion(4)};
  int not_held = 0;
  for (int i = 0; i < 100; ++i) {
    group.Add(Lane::kUrgent, Millis(100));
    for (auto starts = group.TakeStarted(); !starts.empty();
         starts = group.TakeStarted()) {
      if (starts[0].server == 0) {
        ++not_held;
        group.Finish(starts[0].attempt, Code::kVersionNotHeld, Millis(1), old);
      } else {
        group.Finish(starts[0].attempt, Code::kOk);
      }
    }
    const auto done = group.Take<TaskDone>();
    BOOST_REQUIRE(done.size() == 1u);
    BOOST_TEST((done[0].code == Code::kOk));
  }
  BOOST_TEST(not_held == 1);
  BOOST_TEST((group.state.servers[0].held.versions == old));
}

// No replica holds the pinned version any more. The query needs the versions
// that are held, to restart on a newer one.
BOOST_AUTO_TEST_CASE(a_version_held_nowhere_reports_the_held_versions) {
  GroupFixture group(2);
  const std::vector<IndexVersion> newer = {IndexVersion(6)};
  group.Add(Lane::kUrgent, Millis(100));
  for (auto starts = group.TakeStarted(); !starts.empty();
       starts = group.TakeStarted()) {
    group.Finish(starts[0].attempt, Code::kVersionNotHeld, Millis(1), newer);
  }
  auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].code == Code::kVersionNotHeld));
  BOOST_REQUIRE(!done[0].held.empty());
  BOOST_TEST((done[0].held[0] == newer[0]));
  BOOST_TEST(done[0].attempts == 2u);
  group.Add(Lane::kUrgent, Millis(100));
  done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].code == Code::kVersionNotHeld));
  BOOST_TEST((done[0].ran == Ran::kNo));
}

}  // namespace hibiscuspick::limits
