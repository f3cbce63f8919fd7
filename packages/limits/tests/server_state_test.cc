#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>
#include <vector>

#include "group_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::limits {
namespace {

int CountEjected(const GroupState& state) {
  int n = 0;
  for (const auto& it : state.servers) n += it.ejected ? 1 : 0;
  return n;
}

// Drain reports of one server in order of arrival: incarnation and draining.
struct DrainReportRow {
  const char* name;
  std::vector<std::pair<uint64_t, bool>> reports;
  bool accepts_work;
};

std::ostream& operator<<(std::ostream& out, const DrainReportRow& row) {
  return out << row.name;
}

const DrainReportRow kDrainReports[] = {
    {"drains", {{4, true}}, false},
    {"drains, stale report of the previous incarnation",
     {{4, true}, {3, false}},
     false},
    {"drains, stale report of the same incarnation",
     {{4, true}, {4, false}},
     false},
    {"drains, then a new incarnation", {{4, true}, {5, false}}, true},
    {"new incarnation, late drain of the old", {{5, false}, {4, true}}, true},
    {"drains without incarnation, stale report",
     {{0, true}, {0, false}},
     false},
    {"drains without incarnation, then one", {{0, true}, {7, false}}, true},
};

}  // namespace

// Drain reports arrive late, twice or out of order. A stale report must neither
// send new work to a draining server nor keep its next incarnation out of use.
BOOST_DATA_TEST_CASE(stale_drain_reports_are_ignored,
                     bdata::make(kDrainReports), row) {
  GroupFixture group(1);
  for (const auto& it : row.reports) {
    ApplyDrainReport(&group.state, BackendServerId("b0"), Incarnation(it.first),
                     it.second, group.now, &group.random, &group.actions);
  }
  BOOST_TEST(AcceptsNewWork(group.state.servers[0], group.now) ==
             row.accepts_work);
}

// All servers seem to fail because of a fault in this instance's own network.
// Ejecting all of them would turn a transient fault into an outage.
BOOST_AUTO_TEST_CASE(ejection_is_capped) {
  GroupFixture group(5);
  for (int i = 0; i < 200; ++i) {
    group.Add(Lane::kUrgent, Millis(1000));
    for (const auto& it : group.TakeStarted()) {
      group.Finish(it.attempt, Code::kBackendError);
    }
    group.Advance(Millis(1));
    BOOST_REQUIRE(CountEjected(group.state) <= 2);
  }
  BOOST_TEST(CountEjected(group.state) == 2);
}

// One server fails all its attempts. After a few failures it only gets one
// probe at a time, until it recovers.
BOOST_AUTO_TEST_CASE(a_failing_server_is_ejected_and_restored) {
  GroupFixture group(2);
  int sent_to_bad = 0;
  bool recovered = false;
  const auto run = [&](int tasks) {
    for (int i = 0; i < tasks; ++i) {
      group.Add(Lane::kUrgent, Millis(1000));
      for (auto starts = group.TakeStarted(); !starts.empty();
           starts = group.TakeStarted()) {
        const bool bad = starts[0].server == 0;
        sent_to_bad += bad ? 1 : 0;
        group.Finish(starts[0].attempt,
                     bad && !recovered ? Code::kBackendError : Code::kOk);
      }
      group.Advance(Millis(5));
    }
  };
  run(100);
  BOOST_TEST(CountEjected(group.state) == 1);
  BOOST_TEST(sent_to_bad <= 6);
  run(1000);
  BOOST_TEST(sent_to_bad <= 12);
  recovered = true;
  run(1500);
  BOOST_TEST(CountEjected(group.state) == 0);
  BOOST_TEST(sent_to_bad > 100);
}

// A shard has only an ejected server. Failing without a probe would lose the
// shard even if the server has recovered.
BOOST_AUTO_TEST_CASE(a_shard_without_another_server_probes_an_ejected_one) {
  GroupFixture group(2);
  group.state.servers[0].ejected = true;
  group.state.servers[0].ejected_until = group.now + Millis(10000);
  group.Add(Lane::kUrgent, Millis(100), true, {BackendServerId("b0")});
  group.Add(Lane::kUrgent, Millis(100), true, {BackendServerId("b0")});
  const auto probe = group.TakeStarted();
  BOOST_REQUIRE(probe.size() == 1u);
  group.Finish(probe[0].attempt, Code::kOk);
  BOOST_TEST(CountEjected(group.state) == 0);
  BOOST_TEST(group.TakeStarted().size() == 1u);
}

// A server joins with empty caches. With its full share of the load at once, it
// would be the slowest server of every query.
BOOST_AUTO_TEST_CASE(a_new_server_gets_a_slow_start) {
  GroupFixture group(1, {}, 4);
  Configure(&group.state, GroupFixture::Servers(2, 4), {}, group.state.policy,
            group.now, &group.random, &group.actions);
  for (int i = 0; i < 8; ++i) group.Add(Lane::kUrgent, Millis(60000));
  std::vector<int> started(2, 0);
  for (const auto& it : group.TakeStarted()) ++started[it.server];
  BOOST_TEST(started[0] == 4);
  BOOST_TEST(started[1] == 1);
  group.Advance(group.state.policy.slow_start);
  for (const auto& it : group.TakeStarted()) ++started[it.server];
  BOOST_TEST(started[1] == 4);
}

// A server is removed from the service while tasks are queued and running. Its
// running attempts finish; queued tasks go to the other server.
BOOST_AUTO_TEST_CASE(a_removed_server_finishes_its_running_attempts) {
  GroupFixture group(2, {}, 1);
  for (int i = 0; i < 4; ++i) group.Add(Lane::kUrgent, Millis(1000));
  const auto running = group.TakeStarted();
  BOOST_REQUIRE(running.size() == 2u);
  const uint32_t removed = 1;
  Configure(&group.state, GroupFixture::Servers(1, 1), {}, group.state.policy,
            group.now, &group.random, &group.actions);
  int answered = 0;
  for (const auto& it : running) group.Finish(it.attempt, Code::kOk);
  for (auto starts = group.TakeStarted(); !starts.empty();
       starts = group.TakeStarted()) {
    BOOST_TEST(starts[0].server != removed);
    group.Finish(starts[0].attempt, Code::kOk);
  }
  for (const auto& it : group.Take<TaskDone>()) {
    answered += it.code == Code::kOk ? 1 : 0;
  }
  BOOST_TEST(answered == 4);
}

// A server four times as slow as the other gets the smaller part of the load.
BOOST_AUTO_TEST_CASE(a_slow_server_gets_fewer_attempts) {
  GroupPolicy policy;
  policy.hedge.enabled = false;
  GroupFixture group(2, policy, 4);
  std::vector<int> started(2, 0);
  for (int i = 0; i < 400; ++i) {
    group.Add(Lane::kUrgent, Millis(1000));
    for (const auto& it : group.TakeStarted()) {
      ++started[it.server];
      group.Finish(it.attempt, Code::kOk, Millis(it.server == 0 ? 20 : 5));
    }
  }
  BOOST_TEST(started[0] < started[1] / 4);
}

BOOST_AUTO_TEST_CASE(quantiles_are_exact_to_one_bucket) {
  LatencySketch sketch;
  for (int i = 1; i <= 1000; ++i) AddSample(&sketch, Millis(i * 0.1));
  for (const double q : {0.1, 0.5, 0.9, 0.99}) {
    const double expected = q * 100;
    BOOST_TEST(Quantile(sketch, q).count > expected / 1.09);
    BOOST_TEST(Quantile(sketch, q).count < expected * 1.09);
  }
  // A change of latency shows within a few thousand samples.
  for (int i = 0; i < 8000; ++i) AddSample(&sketch, Millis(1));
  BOOST_TEST(Quantile(sketch, 0.95).count < 1.2);
}

}  // namespace hibiscuspick::limits
