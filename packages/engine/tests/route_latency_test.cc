#include "hibiscuspick/engine/route_latency.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

constexpr Millis kTarget{200};

BOOST_AUTO_TEST_CASE(InitialValuesFollowTheTarget) {
  RouteLatency route_latency = InitialRouteLatency(kTarget);
  const Millis guess = route_latency.hedge_after;
  for (int i = 0; i < 15; ++i) AddLatency(&route_latency, Millis(20), kTarget);
  BOOST_TEST(route_latency.hedge_after.count == guess.count);
  AddLatency(&route_latency, Millis(20), kTarget);
  BOOST_TEST(route_latency.median.count == 20,
             boost::test_tools::tolerance(0.05));
}

// If every attempt is late, the second one must start neither at once, which
// doubles the load, nor after the target, which helps nobody.
BOOST_AUTO_TEST_CASE(HedgeDelayIsBoundedByTheTarget) {
  RouteLatency slow = InitialRouteLatency(kTarget);
  RouteLatency fast = InitialRouteLatency(kTarget);
  for (int i = 0; i < 64; ++i) {
    AddLatency(&slow, Millis(900), kTarget);
    AddLatency(&fast, Millis(1), kTarget);
  }
  BOOST_TEST(slow.hedge_after.count == 90, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(fast.hedge_after.count == 20, boost::test_tools::tolerance(1e-6));
}

// A caller that was refused returns with less time. Its target runs from its
// first attempt, so that an answer by the full target would be late for it.
BOOST_AUTO_TEST_CASE(TimeAlreadyWaitedFollowsFromRemainingWait) {
  RouteLatency route_latency = InitialRouteLatency(kTarget);
  BOOST_TEST(TimeAlreadyWaited(&route_latency, Millis(2000)).count == 0);
  BOOST_TEST(TimeAlreadyWaited(&route_latency, Millis(1940)).count == 60);
  BOOST_TEST(TimeAlreadyWaited(&route_latency, Millis(2000)).count == 0);
}

struct AnswerRow {
  const char* what;
  // When nearly all parts have arrived, and when the slowest tenth has.
  double fast;
  double slow;
  LagBounds lags;
  // Bounds of the time at which the answer is sent.
  double least;
  double most;
};

std::ostream& operator<<(std::ostream& out, const AnswerRow& row) {
  return out << row.what;
}

constexpr LagBounds kWideLags = {Millis(3), Millis(5), Millis(8), Millis(12),
                                 Millis(18)};

const AnswerRow kAnswers[] = {
    {"all parts received long before", 8, 10, kWideLags, 22, 22},
    {"parts still arriving near the target", 8, 29, kWideLags, 30, 33},
    {"late parts arrive after the target", 8, 100, kWideLags, 22, 22},
    {"constant lag",
     8,
     29,
     {Millis(4), Millis(4), Millis(4), Millis(4), Millis(4)},
     36,
     36},
};

// Failure: answers wait for parts that don't come and are late, or are sent too
// early and miss parts that would have come.
BOOST_DATA_TEST_CASE(AnswerTimeMaximisesThePayoff, bdata::make(kAnswers), row) {
  const Millis target(40);
  auto route_latency = InitialRouteLatency(target);
  for (int i = 0; i < 1000; ++i) {
    const bool is_slow = i % 10 == 0;
    AddLatency(&route_latency, Millis(is_slow ? row.slow : row.fast), target);
  }
  const Millis at = BestAnswerTime(route_latency, target, row.lags);
  BOOST_TEST(at.count >= row.least);
  BOOST_TEST(at.count <= row.most);
}

}  // namespace
}  // namespace hibiscuspick::engine
