#include <boost/test/unit_test.hpp>

#include "hibiscuspick/engine/server_view.h"

namespace hibiscuspick::engine {
namespace {

constexpr Millis kMedian{20};

ServerView TwoSlots() {
  ServerView server;
  server.entry.slots = 2;
  return server;
}

// Failure: a server at its limit refuses several attempts in a row and then
// gets none for a second, in which it would have room.
BOOST_AUTO_TEST_CASE(RefusingServersAreTriedAgainSoon) {
  for (const bool evidence : {true, false}) {
    ChoicePolicy policy;
    policy.refusal_evidence = evidence;
    auto server = TwoSlots();
    const Millis now{5000};
    for (int i = 0; i < 8; ++i) {
      RecordRefusal(&server, AttemptId(1), policy, now);
    }
    BOOST_TEST(CanAcceptAttempt(server, policy, now + Millis(201)) == evidence);
    BOOST_TEST(!CanAcceptAttempt(server, policy, now + Millis(24)));
  }
}

// Failure: refusals, which cost no time, are taken for failures and add to the
// cost of a server as much as these do.
BOOST_AUTO_TEST_CASE(RefusalsAreNoFailures) {
  const ChoicePolicy policy;
  auto server = TwoSlots();
  Millis now{5000};
  const Millis before = ExpectedCost(server, policy, kMedian, now);
  for (int i = 0; i < 40; ++i, now += Millis(100)) {
    RecordRefusal(&server, AttemptId(1), policy, now);
  }
  BOOST_TEST(server.failure_rate == 0);
  BOOST_TEST(server.consecutive_failures == 0);
  BOOST_TEST(RefusalRate(server.refusals, now) > 0.9);
  const Millis refusing = ExpectedCost(server, policy, kMedian, now);
  BOOST_TEST(((refusing - before) > kMedian * 2));
  for (int i = 0; i < 20; ++i, now += Millis(100)) {
    RecordReply(&server, AttemptId(1), kMedian, kMedian, policy, now);
  }
  BOOST_TEST(RefusalRate(server.refusals, now) < 0.05);
}

}  // namespace
}  // namespace hibiscuspick::engine
