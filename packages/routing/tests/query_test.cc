#include "hibiscuspick/routing/query.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "query_driver.h"

namespace hibiscuspick::routing {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_CASE(shards_of_one_instance_are_sent_in_one_part) {
  QueryDriver driver({TestPlan(7, 4)});
  driver.Start();
  BOOST_TEST_REQUIRE(driver.sent.size() == 1);
  const auto& part = driver.sent[0].part;
  BOOST_TEST(driver.sent[0].to.text == "a");
  BOOST_TEST(part.shards.size() == 4);
  BOOST_TEST(part.version.value == 7);
  BOOST_TEST(part.time_left.count == 100);
  BOOST_TEST(part.shards[2].servers[0].text == "s1-a");
  BOOST_TEST((QueryOf(part.origin.part) == QueryId(7)));
}

BOOST_AUTO_TEST_CASE(a_query_finishes_with_its_last_shard) {
  QueryDriver driver({TestPlan(7, 3)});
  driver.Start();
  driver.Deliver(0, {Answered("p1", {{"d2", 0.5, "{}"}, {"d1", 0.5, "{}"}})});
  driver.Deliver(0, {Answered("p2", {{"d9", 0.9, "{}"}})});
  BOOST_TEST(!driver.answer.has_value());
  driver.Deliver(0, {Answered("p3")});
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.answer->documents_covered == 300);
  BOOST_TEST(driver.answer->coverage == 1);
  BOOST_TEST(driver.answer->attempts == 3);
  BOOST_TEST_REQUIRE(driver.answer->hits.size() == 3);
  BOOST_TEST(driver.answer->hits[0].hit.id == "d9");
  BOOST_TEST(driver.answer->hits[0].shard.text == "p2");
  BOOST_TEST(driver.answer->hits[1].hit.id == "d1");
}

// Far more hits arrive than are requested. The best of all are kept, including
// those of the first shards.
BOOST_AUTO_TEST_CASE(pruning_keeps_the_best_hits) {
  QueryDriver driver({TestPlan(7, 60)});
  driver.Start();
  for (int shard = 1; shard <= 60; ++shard) {
    std::vector<limits::Hit> hits;
    for (int i = 0; i < 5; ++i) {
      const double score = (shard * 37 + i * 11) % 101;
      hits.push_back(
          {std::to_string(shard) + "." + std::to_string(i), score, "{}"});
    }
    driver.Deliver(0, {Answered("p" + std::to_string(shard), hits)});
    BOOST_TEST(driver.state.hits.size() <= 45U);
  }
  BOOST_TEST_REQUIRE(driver.answer->hits.size() == 5U);
  for (const auto& it : driver.answer->hits) BOOST_TEST(it.hit.score >= 99);
}

struct EndCase {
  std::string name;
  settings::Prefer prefer;
  double min_coverage;
  int answered;
  // Time of the answer, in milliseconds after the start.
  double ends_at;
  uint64_t covered;
};
std::ostream& operator<<(std::ostream& out, const EndCase& it) {
  return out << it.name;
}
const EndCase kEnds[] = {
    {"latency, enough coverage", settings::Prefer::kLatency, 0.5, 2, 2, 200},
    {"latency, too little coverage", settings::Prefer::kLatency, 0.9, 2, 100,
     200},
    {"latency, no minimum", settings::Prefer::kLatency, 0, 1, 2, 100},
    {"coverage waits for the deadline", settings::Prefer::kCoverage, 0.5, 3,
     100, 300},
};

BOOST_DATA_TEST_CASE(the_preference_decides_how_long_to_wait, data::make(kEnds),
                     it) {
  QueryDriver driver({TestPlan(7, 4)});
  driver.request.values.prefer = it.prefer;
  driver.request.min_coverage = it.min_coverage;
  driver.may_reassign = false;
  driver.Start();
  for (int i = 1; i <= it.answered; ++i) {
    driver.Deliver(0, {Answered("p" + std::to_string(i))});
  }
  driver.TickAt(it.ends_at - 0.5);
  BOOST_TEST(!driver.answer.has_value());
  driver.TickAt(it.ends_at);
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.answer->documents_covered == it.covered);
  BOOST_TEST(driver.answer->missing.size() ==
             static_cast<size_t>(4 - it.answered));
  const Code code =
      it.ends_at < 100 ? Code::kNotWaitedFor : Code::kDeadlineExceeded;
  BOOST_TEST((driver.answer->missing[0].code == code));
  BOOST_TEST(driver.cancelled.size() == 1);
}

// Outcomes arrive twice, or for shards or parts that were not requested. If
// they counted, coverage would be too high or a hit would appear twice.
BOOST_AUTO_TEST_CASE(only_the_first_outcome_of_a_shard_counts) {
  QueryDriver driver({TestPlan(7, 3)});
  driver.Start();
  driver.Deliver(0, {Answered("p1", {{"d1", 1, "{}"}})});
  driver.Deliver(0, {Answered("p1", {{"d1", 1, "{}"}})});
  driver.Deliver(0, {Answered("p99", {{"d99", 1, "{}"}})});
  driver.Handle(OutcomesArrived{PartId((7ULL << kPartBits) + 900),
                                {Answered("p2"), Answered("p3")}});
  BOOST_TEST(!driver.answer.has_value());
  driver.TickAt(100);
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.answer->documents_covered == 100);
  BOOST_TEST(driver.answer->shards_answered == 1);
  BOOST_TEST(driver.answer->hits.size() == 1);
}

// A backend server returns NaN as a score, which has no order. The order of the
// hits would change from call to call.
BOOST_AUTO_TEST_CASE(a_nan_score_fails_its_shard) {
  QueryDriver driver({TestPlan(7, 2)});
  driver.Start();
  driver.Deliver(0, {Answered("p1", {{"d1", std::nan(""), "{}"}}),
                     Answered("p2", {{"d2", 1, "{}"}})});
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.answer->documents_covered == 100);
  BOOST_TEST((driver.answer->missing[0].code == Code::kBadReply));
}

// The owner of some shards hangs without closing its connection. Its shards are
// requested from the next instance instead of waiting for the deadline, and
// late outcomes of the first are not counted twice.
BOOST_AUTO_TEST_CASE(parts_of_an_unresponsive_owner_are_reassigned) {
  QueryDriver driver({TestPlan(7, 2)});
  driver.Start();
  driver.TickAt(29);
  BOOST_TEST(driver.sent.size() == 1);
  driver.TickAt(30);
  BOOST_TEST_REQUIRE(driver.sent.size() == 2);
  BOOST_TEST(driver.sent[1].to.text == "b");
  BOOST_TEST(
      (driver.sent[0].part.origin.part != driver.sent[1].part.origin.part));
  BOOST_TEST(driver.sent[1].part.time_left.count == 70);
  driver.Deliver(1, {Answered("p1", {{"d1", 1, "{}"}})});
  driver.Deliver(0, {Answered("p1", {{"d1", 1, "{}"}}),
                     Answered("p2", {{"d2", 1, "{}"}})});
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.answer->documents_covered == 200);
  BOOST_TEST(driver.answer->hits.size() == 2);
  // Three outcomes, plus the shard that the second instance is still working
  // on.
  BOOST_TEST(driver.answer->attempts == 4);
  BOOST_TEST(driver.answer->parts_reassigned == 1);
  BOOST_TEST_REQUIRE(driver.cancelled.size() == 1);
  BOOST_TEST(driver.cancelled[0].at.text == "b");
}

// Every owner is slow from overload. Requesting each part from another instance
// as well would double the load; the budget prevents it, and the first owners'
// outcomes form the answer.
BOOST_AUTO_TEST_CASE(the_budget_bounds_reassignment) {
  QueryDriver driver({TestPlan(7, 2)});
  driver.may_reassign = false;
  driver.Start();
  driver.TickAt(30);
  driver.TickAt(60);
  BOOST_TEST(driver.sent.size() == 1);
  driver.Deliver(0, {Answered("p1"), Answered("p2")});
  BOOST_TEST(driver.answer->coverage == 1);
}

// An owner with a long queue sends keepalives. It must not time out.
BOOST_AUTO_TEST_CASE(an_empty_report_extends_the_owner_timeout) {
  QueryDriver driver({TestPlan(7, 2)});
  driver.Start();
  driver.now = Millis(1025);
  driver.Deliver(0, {});
  driver.TickAt(50);
  BOOST_TEST(driver.sent.size() == 1);
  BOOST_TEST(NextDue(driver.state).count == 1055);
}

// Instances fail one after another. The query ends up running its shards on
// this instance, and only then has no candidate left.
BOOST_AUTO_TEST_CASE(failed_instances_are_replaced_down_to_this_one) {
  QueryDriver driver({TestPlan(7, 2)});
  driver.Start();
  driver.Handle(PeerFailed{InstanceId("a")});
  driver.Handle(PeerFailed{InstanceId("b")});
  BOOST_TEST_REQUIRE(driver.sent.size() == 3);
  BOOST_TEST(driver.sent[2].to.text == "self");
  driver.Deliver(
      2, {Failed("p1", Code::kConnectFailed, Ran::kNo), Answered("p2")});
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.answer->documents_covered == 100);
  BOOST_TEST((driver.answer->missing[0].code == Code::kConnectFailed));
}

// An owner times out and then reports that it can't serve. The instance that
// took over is still working, so the shard is not requested a third time.
BOOST_AUTO_TEST_CASE(a_shard_in_flight_is_not_requested_again) {
  QueryDriver driver({TestPlan(7, 1)});
  driver.Start();
  driver.TickAt(30);
  driver.Deliver(0, {Failed("p1", Code::kNotReady, Ran::kNo)});
  BOOST_TEST(driver.sent.size() == 2);
  BOOST_TEST(!driver.answer.has_value());
  driver.Deliver(1, {Answered("p1")});
  BOOST_TEST(driver.answer->coverage == 1);
}

// There are more candidates than max_candidates. The last try runs on this
// instance, which works even when it is partitioned from all others.
BOOST_AUTO_TEST_CASE(the_last_try_runs_on_this_instance) {
  QueryDriver driver({TestPlan(7, 1)});
  driver.candidates = {InstanceId("a"), InstanceId("b"), InstanceId("c"),
                       InstanceId("d"), InstanceId("self")};
  driver.Start();
  driver.Handle(PeerFailed{InstanceId("a")});
  driver.Handle(PeerFailed{InstanceId("b")});
  BOOST_TEST(driver.sent.back().to.text == "self");
}

struct FailureCase {
  std::string name;
  std::vector<InstanceId> candidates;
  Code failure;
  Ran failure_ran;
  Code code;
  Ran ran;
};
std::ostream& operator<<(std::ostream& out, const FailureCase& it) {
  return out << it.name;
}
const FailureCase kFailureCases[] = {
    {"refused here",
     {InstanceId("self")},
     Code::kQueueFull,
     Ran::kNo,
     Code::kQueueFull,
     Ran::kNo},
    {"shed at a server",
     {InstanceId("self")},
     Code::kShed,
     Ran::kMaybe,
     Code::kShed,
     Ran::kMaybe},
    {"refused at another instance",
     {InstanceId("a")},
     Code::kQueueFull,
     Ran::kNo,
     Code::kQueueFull,
     Ran::kMaybe},
    {"failed at a server",
     {InstanceId("self")},
     Code::kBackendError,
     Ran::kMaybe,
     Code::kBackendError,
     Ran::kMaybe},
};

// All shards fail permanently long before the deadline. The query fails at
// once, with `ran` kNo only if nothing left this instance.
BOOST_DATA_TEST_CASE(a_query_whose_shards_all_failed_ends_at_once,
                     data::make(kFailureCases), it) {
  QueryDriver driver({TestPlan(7, 2)});
  driver.candidates = it.candidates;
  driver.Start();
  driver.now = Millis(1003);
  driver.Deliver(0, {Failed("p1", it.failure, it.failure_ran),
                     Failed("p2", it.failure, it.failure_ran)});
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST((driver.answer->code == it.code));
  BOOST_TEST((driver.answer->ran == it.ran));
  BOOST_TEST(driver.answer->elapsed.count == 3);
}

// The deadline passes while a part runs here without a report. An attempt may
// be at a server, so `ran` must be kMaybe.
BOOST_AUTO_TEST_CASE(a_part_without_a_report_may_have_run) {
  QueryDriver driver({TestPlan(7, 1)});
  driver.candidates = {InstanceId("self")};
  driver.Start();
  driver.TickAt(100);
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST((driver.answer->code == Code::kDeadlineExceeded));
  BOOST_TEST((driver.answer->ran == Ran::kMaybe));
}

// The caller disconnects while the query runs. All its parts are cancelled, so
// that no other query waits behind them.
BOOST_AUTO_TEST_CASE(a_disconnected_caller_cancels_all_parts) {
  QueryDriver driver({TestPlan(7, 2)});
  driver.Start();
  driver.TickAt(30);
  driver.Handle(CallerGone{});
  BOOST_TEST((driver.answer->code == Code::kCallerGone));
  BOOST_TEST(driver.cancelled.size() == 2);
  driver.Deliver(0, {Answered("p1")});
  BOOST_TEST(driver.cancelled.size() == 2);
}

BOOST_AUTO_TEST_CASE(a_route_that_covers_nothing_has_no_snapshot) {
  for (const Plans& plans : {Plans{}, Plans{TestPlan(7, 0)}}) {
    QueryDriver driver(plans);
    driver.Start();
    BOOST_TEST_REQUIRE(driver.answer.has_value());
    BOOST_TEST((driver.answer->code == Code::kNoSnapshot));
    BOOST_TEST((driver.answer->ran == Ran::kNo));
  }
}

}  // namespace hibiscuspick::routing
