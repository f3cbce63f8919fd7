#include "hibiscuspick/engine/route_pace.h"

#include <boost/test/unit_test.hpp>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kTarget{200};

BOOST_AUTO_TEST_CASE(GuessesFromTheTargetUntilItKnows) {
  RoutePace pace = FirstPace(kTarget);
  const Millis guess = pace.hedge_after;
  for (int i = 0; i < 15; ++i) AddLatency(&pace, Millis(20), kTarget);
  BOOST_TEST(pace.hedge_after.count == guess.count);
  AddLatency(&pace, Millis(20), kTarget);
  BOOST_TEST(pace.usual.count == 20, boost::test_tools::tolerance(0.05));
}

// With every attempt late a second one must neither come at once, which doubles
// the load, nor after the target, which helps nobody.
BOOST_AUTO_TEST_CASE(HedgesStayWithinSharesOfTheTarget) {
  RoutePace slow = FirstPace(kTarget);
  RoutePace fast = FirstPace(kTarget);
  for (int i = 0; i < 64; ++i) {
    AddLatency(&slow, Millis(900), kTarget);
    AddLatency(&fast, Millis(1), kTarget);
  }
  BOOST_TEST(slow.hedge_after.count == 90, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(fast.hedge_after.count == 20, boost::test_tools::tolerance(1e-6));
}

// A caller that was refused comes back with less time; its target runs from its
// first try, so that an answer by the full target would be late for it.
BOOST_AUTO_TEST_CASE(WhatACallerHasWaitedShowsInWhatItWillWait) {
  RoutePace pace = FirstPace(kTarget);
  BOOST_TEST(SpentBefore(&pace, Millis(2000)).count == 0);
  BOOST_TEST(SpentBefore(&pace, Millis(1940)).count == 60);
  BOOST_TEST(SpentBefore(&pace, Millis(2000)).count == 0);
}

}  // namespace
}  // namespace hibiscuspick::engine
