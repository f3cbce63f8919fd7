#include "hibiscuspick/engine/server_belief.h"

#include <boost/test/unit_test.hpp>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kUsual{28};

ServerBelief Server(const char* id, const char* data_centre) {
  ServerBelief server;
  server.entry.id = BackendServerId(id);
  server.entry.data_centre = DataCentreId(data_centre);
  return server;
}

ChoicePolicy Policy() {
  ChoicePolicy policy;
  policy.own_data_centre = DataCentreId("here");
  return policy;
}

size_t Chosen(const ServerBelief& a, const ServerBelief& b, Millis now) {
  const ServerBelief* both[] = {&a, &b};
  return ChooseServer(both, Policy(), kUsual, now).value_or(99);
}

BOOST_AUTO_TEST_CASE(NearServerFirstUntilItIsSlower) {
  auto near = Server("a", "here");
  const auto far = Server("b", "there");
  BOOST_TEST(Chosen(far, near, Millis(0)) == 1);
  for (int i = 1; i <= 6; ++i) {
    NoteReply(&near, AttemptId(i), Millis(280), kUsual, Policy(), Millis(i));
  }
  BOOST_TEST(Chosen(far, near, Millis(10)) == 0);
}

// A server pauses for 250 ms. Attempts sent there meanwhile wait for the end of
// the pause; the overdue attempt must divert them in time.
BOOST_AUTO_TEST_CASE(OverdueAttemptTurnsOthersAway) {
  auto near = Server("a", "here");
  const auto far = Server("b", "there");
  NoteSent(&near, {AttemptId(1), Millis(0), Millis(60)});
  BOOST_TEST(!IsSuspected(near, Millis(50)));
  BOOST_TEST(IsSuspected(near, Millis(70)));
  BOOST_TEST(Chosen(far, near, Millis(70)) == 0);
  NoteReply(&near, AttemptId(1), Millis(250), kUsual, Policy(), Millis(250));
  BOOST_TEST(!IsSuspected(near, Millis(250)));
}

// A single slow request must not be taken for a pause if attempts sent after it
// were answered.
BOOST_AUTO_TEST_CASE(LaterReplyClearsTheSuspicion) {
  auto server = Server("a", "here");
  NoteSent(&server, {AttemptId(1), Millis(0), Millis(60)});
  NoteSent(&server, {AttemptId(2), Millis(40), Millis(100)});
  NoteReply(&server, AttemptId(2), Millis(30), kUsual, Policy(), Millis(70));
  BOOST_TEST(!IsSuspected(server, Millis(80)));
}

// A reply delayed by a pause took ten times the median. Counted in full it
// would exclude the near server for seconds, with twice the load on the other
// one.
BOOST_AUTO_TEST_CASE(OneSlowReplySaysLittle) {
  auto server = Server("a", "here");
  NoteReply(&server, AttemptId(1), Millis(280), kUsual, Policy(), Millis(1));
  BOOST_TEST(SlownessNow(server, Policy(), Millis(1)) < 2);
  for (int i = 2; i <= 8; ++i) {
    NoteReply(&server, AttemptId(i), Millis(280), kUsual, Policy(), Millis(i));
  }
  BOOST_TEST(SlownessNow(server, Policy(), Millis(8)) > 5);
  BOOST_TEST(SlownessNow(server, Policy(), Millis(9008)) < 2.5);
}

// A shard's other server is lost. With a fixed number of attempts from each of
// six instances the remaining one has 18 at once, a queue of 250 ms in front of
// two slots, and all answers are slightly late.
BOOST_AUTO_TEST_CASE(LimitFollowsTheLatency) {
  auto server = Server("a", "here");
  const auto policy = Policy();
  Millis now(0);
  for (int i = 0; i < 40; ++i) {
    now += Millis(20);
    AdaptLimit(&server, 1.2, policy, now);
  }
  BOOST_TEST(OpenLimit(server, policy) == 4);
  for (int i = 0; i < 10; ++i) {
    now += Millis(100);
    AdaptLimit(&server, 6, policy, now);
  }
  BOOST_TEST(OpenLimit(server, policy) == 1);
  now += Millis(1);
  AdaptLimit(&server, 6, policy, now);
  BOOST_TEST(OpenLimit(server, policy) == 1);
}

// All attempts in flight when the limit was lowered report the same high
// latency once more.
BOOST_AUTO_TEST_CASE(LimitIsLoweredOnceForEachRound) {
  auto server = Server("a", "here");
  server.limit = 4;
  for (int i = 0; i < 4; ++i) AdaptLimit(&server, 6, Policy(), Millis(i));
  BOOST_TEST(server.limit > 2.5);
}

struct Refusal {
  void Apply(ServerBelief* server) const { (server->*flag) = true; }
  bool ServerBelief::*flag;
};

BOOST_AUTO_TEST_CASE(LeavingLostAndGoneServersGetNothing) {
  for (const Refusal& it :
       {Refusal{&ServerBelief::draining}, Refusal{&ServerBelief::removed},
        Refusal{&ServerBelief::unreachable}}) {
    auto server = Server("a", "here");
    BOOST_TEST(TakesAttempt(server, Policy(), Millis(0)));
    it.Apply(&server);
    BOOST_TEST(!TakesAttempt(server, Policy(), Millis(0)));
  }
}

BOOST_AUTO_TEST_CASE(FailuresAreAvoidedLongerInARow) {
  auto server = Server("a", "here");
  NoteFailure(&server, AttemptId(1), Policy(), Millis(0));
  BOOST_TEST(!TakesAttempt(server, Policy(), Millis(20)));
  BOOST_TEST(TakesAttempt(server, Policy(), Millis(26)));
  for (int i = 0; i < 12; ++i) {
    NoteFailure(&server, AttemptId(2), Policy(), Millis(30));
  }
  BOOST_TEST(!TakesAttempt(server, Policy(), Millis(1020)));
  BOOST_TEST(TakesAttempt(server, Policy(), Millis(1031)));
}

// One of two servers fails two of five requests, and the other is busy. While
// the budget pays for second attempts the free one is worth trying. Otherwise a
// failed part is lost, and with it the whole query.
BOOST_AUTO_TEST_CASE(FailingServersAreLeftAloneWhileNothingPaysForFailures) {
  ServerBelief busy;
  ServerBelief failing;
  NoteSent(&busy, {AttemptId(1), Millis(0), Millis(900)});
  failing.failing = 0.4;
  const ServerBelief* servers[] = {&busy, &failing};
  ChoicePolicy policy;
  policy.failure_cost = 2;
  BOOST_TEST(*ChooseServer(servers, policy, Millis(28), Millis(0)) == 1);
  policy.failure_cost = policy.unpaid_failure_cost;
  BOOST_TEST(*ChooseServer(servers, policy, Millis(28), Millis(0)) == 0);
}

}  // namespace
}  // namespace hibiscuspick::engine
