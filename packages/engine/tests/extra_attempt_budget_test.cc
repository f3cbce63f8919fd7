#include "hibiscuspick/engine/extra_attempt_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "hibiscuspick/base/random.h"

namespace hibiscuspick::engine {
namespace {

constexpr ExtraAttemptLimits kLimits{0.2, Millis(10000), 5};

// The number of times within the window that ends at `end`.
size_t CountIn(const std::deque<Millis>& instants, Millis end) {
  return static_cast<size_t>(std::count_if(
      instants.begin(), instants.end(),
      [&](Millis it) { return it > end - kLimits.window && it <= end; }));
}

// Unlimited retries keep a service slow after the cause is gone. The backend
// servers compare the extra attempts of any ten seconds with the requests of
// the same window, of the one before, or of the one half a window before: after
// a burst, extra attempts for its requests are still allowed.
BOOST_AUTO_TEST_CASE(NoWindowExceedsTheBudget) {
  Random random(7);
  ExtraAttemptBudget budget;
  std::deque<Millis> requests;
  std::deque<Millis> extras;
  for (double at = 0; at < 60000; at += 5) {
    const Millis now(at);
    const bool burst = static_cast<int>(at / 7000) % 2 == 0;
    if (random.Fraction() < (burst ? 0.5 : 0.02)) {
      CountRequest(&budget, kLimits, now);
      requests.push_back(now);
    }
    if (!TakeExtraAttempt(&budget, kLimits, now)) continue;
    extras.push_back(now);
    size_t most = 0;
    for (const double share : {0.0, 0.5, 1.0}) {
      most = std::max(most, CountIn(requests, now - kLimits.window * share));
    }
    BOOST_TEST_REQUIRE(static_cast<double>(CountIn(extras, now)) <=
                       kLimits.ratio * static_cast<double>(most) +
                           kLimits.slack);
  }
  BOOST_TEST(extras.size() > 100);
}

BOOST_AUTO_TEST_CASE(SlackIsAvailableWithoutRequests) {
  ExtraAttemptBudget budget;
  int taken = 0;
  while (TakeExtraAttempt(&budget, kLimits, Millis(100))) ++taken;
  BOOST_TEST(taken == 5);
  BOOST_TEST(!TakeExtraAttempt(&budget, kLimits, Millis(9000)));
  BOOST_TEST(TakeExtraAttempt(&budget, kLimits, Millis(11000)));
}

// Attempts that only make an answer more complete must not use up the budget
// that a failing query needs a moment later.
BOOST_AUTO_TEST_CASE(ReserveIsKeptForUrgentAttempts) {
  ExtraAttemptBudget budget;
  int optional = 0;
  while (HasExtraAttempt(budget, kLimits, Millis(0), 0.4)) {
    TakeExtraAttempt(&budget, kLimits, Millis(0));
    ++optional;
  }
  BOOST_TEST(optional == 3);
  BOOST_TEST(HasExtraAttempt(budget, kLimits, Millis(0)));
}

}  // namespace
}  // namespace hibiscuspick::engine
