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

// News of a server in the order in which it comes in.
struct NewsRow {
  const char* name;
  std::vector<std::pair<uint64_t, bool>> news;
  bool takes_work;
};

std::ostream& operator<<(std::ostream& out, const NewsRow& row) {
  return out << row.name;
}

const NewsRow kNews[] = {
    {"drains", {{4, true}}, false},
    {"drains, old word of its former life", {{4, true}, {3, false}}, false},
    {"drains, late word of the same life", {{4, true}, {4, false}}, false},
    {"drains, then a new life", {{4, true}, {5, false}}, true},
    {"a new life, late drain of the old", {{5, false}, {4, true}}, true},
    {"drains without a life, late word", {{0, true}, {0, false}}, false},
    {"drains without a life, then one", {{0, true}, {7, false}}, true},
};

}  // namespace

// Word of a server comes late, twice or out of order. Old word must neither
// send new work to a server that is leaving, nor keep its next life out.
BOOST_DATA_TEST_CASE(news_of_a_server, bdata::make(kNews), row) {
  GroupFixture group(1);
  for (const auto& it : row.news) {
    TakeServerNews(&group.state, BackendServerId("b0"), Incarnation(it.first),
                   it.second, group.now, &group.random, &group.actions);
  }
  BOOST_TEST(TakesNewWork(group.state.servers[0], group.now) == row.takes_work);
}

// All servers seem to fail, though it is this instance's own network. Ejecting
// them all would turn a passing fault into an outage.
BOOST_AUTO_TEST_CASE(ejection_is_capped) {
  GroupFixture group(5);
  for (int i = 0; i < 200; ++i) {
    group.Add(Lane::kUrgent, Millis(1000));
    for (const auto& it : group.TakeHanded()) {
      group.Finish(it.attempt, Code::kBackendError);
    }
    group.Advance(Millis(1));
    BOOST_REQUIRE(CountEjected(group.state) <= 2);
  }
  BOOST_TEST(CountEjected(group.state) == 2);
}

// One server fails all its attempts. After a few it gets no more, but for one
// at a time that finds out whether it is back.
BOOST_AUTO_TEST_CASE(a_failing_server_is_ejected_and_taken_back) {
  GroupFixture group(2);
  int to_bad = 0;
  bool well = false;
  const auto run = [&](int tasks) {
    for (int i = 0; i < tasks; ++i) {
      group.Add(Lane::kUrgent, Millis(1000));
      for (auto starts = group.TakeHanded(); !starts.empty();
           starts = group.TakeHanded()) {
        const bool bad = starts[0].server == 0;
        to_bad += bad ? 1 : 0;
        group.Finish(starts[0].attempt,
                     bad && !well ? Code::kBackendError : Code::kOk);
      }
      group.Advance(Millis(5));
    }
  };
  run(100);
  BOOST_TEST(CountEjected(group.state) == 1);
  BOOST_TEST(to_bad <= 6);
  run(1000);
  BOOST_TEST(to_bad <= 12);
  well = true;
  run(1500);
  BOOST_TEST(CountEjected(group.state) == 0);
  BOOST_TEST(to_bad > 100);
}

// A shard is held by an ejected server alone. Giving up unasked would miss it
// for sure.
BOOST_AUTO_TEST_CASE(a_shard_without_another_server_probes_an_ejected_one) {
  GroupFixture group(2);
  group.state.servers[0].ejected = true;
  group.state.servers[0].ejected_until = group.now + Millis(10000);
  group.Add(Lane::kUrgent, Millis(100), true, {BackendServerId("b0")});
  group.Add(Lane::kUrgent, Millis(100), true, {BackendServerId("b0")});
  const auto probe = group.TakeHanded();
  BOOST_REQUIRE(probe.size() == 1u);
  group.Finish(probe[0].attempt, Code::kOk);
  BOOST_TEST(CountEjected(group.state) == 0);
  BOOST_TEST(group.TakeHanded().size() == 1u);
}

// A server joins with empty caches. Given its full share at once it would be
// the straggler of every query.
BOOST_AUTO_TEST_CASE(a_server_that_joins_is_spared_at_first) {
  GroupFixture group(1, {}, 4);
  Configure(&group.state, GroupFixture::Servers(2, 4), {}, group.state.policy,
            group.now, &group.random, &group.actions);
  for (int i = 0; i < 8; ++i) group.Add(Lane::kUrgent, Millis(60000));
  std::vector<int> started(2, 0);
  for (const auto& it : group.TakeHanded()) ++started[it.server];
  BOOST_TEST(started[0] == 4);
  BOOST_TEST(started[1] == 1);
  group.Advance(group.state.policy.slow_start);
  for (const auto& it : group.TakeHanded()) ++started[it.server];
  BOOST_TEST(started[1] == 4);
}

// A server is taken out of the service while work for it waits and runs. What
// runs may finish; what waits goes to the other.
BOOST_AUTO_TEST_CASE(a_server_that_is_removed_finishes_what_runs) {
  GroupFixture group(2, {}, 1);
  for (int i = 0; i < 4; ++i) group.Add(Lane::kUrgent, Millis(1000));
  const auto running = group.TakeHanded();
  BOOST_REQUIRE(running.size() == 2u);
  const uint32_t gone = 1;
  Configure(&group.state, GroupFixture::Servers(1, 1), {}, group.state.policy,
            group.now, &group.random, &group.actions);
  int answered = 0;
  for (const auto& it : running) group.Finish(it.attempt, Code::kOk);
  for (auto starts = group.TakeHanded(); !starts.empty();
       starts = group.TakeHanded()) {
    BOOST_TEST(starts[0].server != gone);
    group.Finish(starts[0].attempt, Code::kOk);
  }
  for (const auto& it : group.Take<TaskDone>()) {
    answered += it.code == Code::kOk ? 1 : 0;
  }
  BOOST_TEST(answered == 4);
}

// The better of two: a server four times as slow gets the smaller part.
BOOST_AUTO_TEST_CASE(a_slow_server_gets_less) {
  GroupPolicy policy;
  policy.hedge.enabled = false;
  GroupFixture group(2, policy, 4);
  std::vector<int> started(2, 0);
  for (int i = 0; i < 400; ++i) {
    group.Add(Lane::kUrgent, Millis(1000));
    for (const auto& it : group.TakeHanded()) {
      ++started[it.server];
      group.Finish(it.attempt, Code::kOk, Millis(it.server == 0 ? 20 : 5));
    }
  }
  BOOST_TEST(started[0] < started[1] / 4);
}

BOOST_AUTO_TEST_CASE(quantiles_are_right_to_a_bucket) {
  LatencySketch sketch;
  for (int i = 1; i <= 1000; ++i) AddSample(&sketch, Millis(i * 0.1));
  for (const double q : {0.1, 0.5, 0.9, 0.99}) {
    const double wanted = q * 100;
    BOOST_TEST(Quantile(sketch, q).count > wanted / 1.09);
    BOOST_TEST(Quantile(sketch, q).count < wanted * 1.09);
  }
  // A change of level is followed within a few thousand samples.
  for (int i = 0; i < 8000; ++i) AddSample(&sketch, Millis(1));
  BOOST_TEST(Quantile(sketch, 0.95).count < 1.2);
}

}  // namespace hibiscuspick::limits
