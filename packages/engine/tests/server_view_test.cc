#include "hibiscuspick/engine/server_view.h"

#include <boost/test/unit_test.hpp>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kMedianLatency{28};

ServerView Server(const char* id, const char* data_centre) {
  ServerView server;
  server.entry.id = BackendServerId(id);
  server.entry.data_centre = DataCentreId(data_centre);
  return server;
}

ChoicePolicy Policy() {
  ChoicePolicy policy;
  policy.own_data_centre = DataCentreId("here");
  return policy;
}

size_t Chosen(const ServerView& a, const ServerView& b, Millis now) {
  const ServerView* both[] = {&a, &b};
  return ChooseServer(both, Policy(), kMedianLatency, now).value_or(99);
}

BOOST_AUTO_TEST_CASE(NearServerIsPreferredUntilItIsSlower) {
  auto near = Server("a", "here");
  const auto far = Server("b", "there");
  BOOST_TEST(Chosen(far, near, Millis(0)) == 1);
  for (int i = 1; i <= 6; ++i) {
    RecordReply(&near, AttemptId(i), Millis(280), kMedianLatency, Policy(),
                Millis(i));
  }
  BOOST_TEST(Chosen(far, near, Millis(10)) == 0);
}

// A server pauses for 250 ms. Attempts sent there meanwhile wait for the end of
// the pause; the overdue attempt must divert them in time.
BOOST_AUTO_TEST_CASE(OverdueAttemptDivertsOthers) {
  auto near = Server("a", "here");
  const auto far = Server("b", "there");
  RecordSent(&near, {AttemptId(1), Millis(0), Millis(60)});
  BOOST_TEST(!IsPauseSuspected(near, Millis(50)));
  BOOST_TEST(IsPauseSuspected(near, Millis(70)));
  BOOST_TEST(Chosen(far, near, Millis(70)) == 0);
  RecordReply(&near, AttemptId(1), Millis(250), kMedianLatency, Policy(),
              Millis(250));
  BOOST_TEST(!IsPauseSuspected(near, Millis(250)));
}

// A single slow request must not be taken for a pause if attempts sent after it
// were answered.
BOOST_AUTO_TEST_CASE(LaterReplyClearsTheSuspectedPause) {
  auto server = Server("a", "here");
  RecordSent(&server, {AttemptId(1), Millis(0), Millis(60)});
  RecordSent(&server, {AttemptId(2), Millis(40), Millis(100)});
  RecordReply(&server, AttemptId(2), Millis(30), kMedianLatency, Policy(),
              Millis(70));
  BOOST_TEST(!IsPauseSuspected(server, Millis(80)));
}

// A reply delayed by a pause took ten times the median. Counted in full it
// would exclude the near server for seconds, with twice the load on the other
// one.
BOOST_AUTO_TEST_CASE(SingleSlowReplyHasLittleWeight) {
  auto server = Server("a", "here");
  RecordReply(&server, AttemptId(1), Millis(280), kMedianLatency, Policy(),
              Millis(1));
  BOOST_TEST(RelativeLatency(server, Policy(), Millis(1)) < 2);
  for (int i = 2; i <= 8; ++i) {
    RecordReply(&server, AttemptId(i), Millis(280), kMedianLatency, Policy(),
                Millis(i));
  }
  BOOST_TEST(RelativeLatency(server, Policy(), Millis(8)) > 5);
  BOOST_TEST(RelativeLatency(server, Policy(), Millis(9008)) < 2.5);
}

// A shard's other server is lost. With a fixed number of attempts from each of
// six instances the remaining one has 18 at once, a queue of 250 ms in front of
// two slots, and all answers are slightly late.
BOOST_AUTO_TEST_CASE(LimitAdaptsToTheLatency) {
  auto server = Server("a", "here");
  const auto policy = Policy();
  Millis now(0);
  for (int i = 0; i < 40; ++i) {
    now += Millis(20);
    AdaptLimit(&server, 1.2, policy, now);
  }
  BOOST_TEST(OpenAttemptLimit(server, policy) == 4);
  for (int i = 0; i < 10; ++i) {
    now += Millis(100);
    AdaptLimit(&server, 6, policy, now);
  }
  BOOST_TEST(OpenAttemptLimit(server, policy) == 1);
  now += Millis(1);
  AdaptLimit(&server, 6, policy, now);
  BOOST_TEST(OpenAttemptLimit(server, policy) == 1);
}

// All attempts in flight when the limit was lowered report the same high
// latency once more.
BOOST_AUTO_TEST_CASE(LimitIsLoweredOncePerRound) {
  auto server = Server("a", "here");
  server.concurrency_limit = 4;
  for (int i = 0; i < 4; ++i) AdaptLimit(&server, 6, Policy(), Millis(i));
  BOOST_TEST(server.concurrency_limit > 2.5);
}

struct ExclusionFlag {
  void Apply(ServerView* server) const { (server->*flag) = true; }
  bool ServerView::*flag;
};

BOOST_AUTO_TEST_CASE(UnavailableServersGetNoAttempts) {
  for (const ExclusionFlag& it : {ExclusionFlag{&ServerView::draining},
                                  ExclusionFlag{&ServerView::removed},
                                  ExclusionFlag{&ServerView::unreachable}}) {
    auto server = Server("a", "here");
    BOOST_TEST(CanAcceptAttempt(server, Policy(), Millis(0)));
    it.Apply(&server);
    BOOST_TEST(!CanAcceptAttempt(server, Policy(), Millis(0)));
  }
}

BOOST_AUTO_TEST_CASE(BackoffGrowsWithConsecutiveFailures) {
  auto server = Server("a", "here");
  RecordFailure(&server, AttemptId(1), Policy(), Millis(0));
  BOOST_TEST(!CanAcceptAttempt(server, Policy(), Millis(20)));
  BOOST_TEST(CanAcceptAttempt(server, Policy(), Millis(26)));
  for (int i = 0; i < 12; ++i) {
    RecordFailure(&server, AttemptId(2), Policy(), Millis(30));
  }
  BOOST_TEST(!CanAcceptAttempt(server, Policy(), Millis(1020)));
  BOOST_TEST(CanAcceptAttempt(server, Policy(), Millis(1031)));
}

// One of two servers fails two of five requests, and the other is busy. While
// the budget pays for second attempts the free one is worth trying. Otherwise a
// failed part is lost, and with it the whole query.
BOOST_AUTO_TEST_CASE(FailingServersAreAvoidedWithoutBudget) {
  ServerView busy;
  ServerView failing;
  RecordSent(&busy, {AttemptId(1), Millis(0), Millis(900)});
  failing.failure_rate = 0.4;
  const ServerView* servers[] = {&busy, &failing};
  ChoicePolicy policy;
  policy.failure_cost = 2;
  BOOST_TEST(*ChooseServer(servers, policy, Millis(28), Millis(0)) == 1);
  policy.failure_cost = policy.unbudgeted_failure_cost;
  BOOST_TEST(*ChooseServer(servers, policy, Millis(28), Millis(0)) == 0);
}

}  // namespace
}  // namespace hibiscuspick::engine
