#include "hibiscuspick/platform/call_budget.h"

#include <boost/test/unit_test.hpp>

#include "fake_platform.h"

namespace hp = hibiscuspick;
namespace hpp = hibiscuspick::platform;
using hp::Millis;

// Guards against an instance that retries in a loop and uses up the platform's
// capacity.
BOOST_AUTO_TEST_CASE(budget_limits_call_rate) {
  auto budget = hpp::MakeCallBudget(10, 5, Millis(0));
  int taken = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    if (TakeCall(&budget, Millis(ms))) ++taken;
  }
  BOOST_TEST(taken >= 100);
  BOOST_TEST(taken <= 105);
  BOOST_TEST(!TakeCall(&budget, Millis(0)));
}

BOOST_AUTO_TEST_CASE(calls_over_budget_are_rejected) {
  hpp::FakePlatform platform;
  const auto calls =
      LimitCalls(platform.MakeCalls(), hpp::MakeCallBudget(1, 2, Millis(0)),
                 [] { return Millis(0); });
  for (int i = 0; i < 5; ++i) {
    const auto result = calls.put("config", "x", {}, std::nullopt);
    if (i < 2) continue;
    BOOST_REQUIRE(!IsOk(result));
    BOOST_TEST((ErrorOf(result).code == hp::Code::kPlatformUnavailable));
  }
  BOOST_TEST(platform.puts == 2);
}

// Guards against equal backoffs: all instances lose the platform at the same
// moment and would also retry at the same moment.
BOOST_AUTO_TEST_CASE(backoff_is_bounded_and_random) {
  hp::Random random(7);
  const hpp::BackoffLimits limits{Millis(100), Millis(1000)};
  for (int failures = 1; failures < 100; ++failures) {
    const Millis backoff = BackoffAfter(failures, limits, &random);
    const Millis other = BackoffAfter(failures, limits, &random);
    BOOST_TEST(backoff.count >= 0);
    BOOST_TEST(backoff.count <= (failures == 1 ? 100 : 1000));
    BOOST_TEST(backoff.count != other.count);
  }
}
