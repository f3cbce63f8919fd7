// Each answer is of one snapshot while versions change.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "hibiscuspick/base/random.h"
#include "query_driver.h"

namespace hibiscuspick::routing {

namespace data = boost::unit_test::data;

HeldVersions HeldOf(const std::string& shard, std::vector<uint64_t> versions,
                    Millis seen) {
  HeldVersions held;
  std::vector<IndexVersion> list;
  for (const uint64_t it : versions) list.emplace_back(it);
  RecordRefusal(&held, ShardId(shard), IndexVersion(0), list, seen);
  return held;
}

struct ChoiceCase {
  std::string name;
  HeldVersions held;
  uint64_t chosen;
};
std::ostream& operator<<(std::ostream& out, const ChoiceCase& it) {
  return out << it.name;
}
const ChoiceCase kChoices[] = {
    {"no reports", {}, 8},
    {"the new version is not loaded everywhere",
     HeldOf("p1", {6, 7}, Millis(900)), 7},
    {"the old version was dropped", HeldOf("p1", {8}, Millis(900)), 8},
    {"both versions were dropped", HeldOf("p1", {9}, Millis(900)), 8},
    {"the report has expired",
     HeldOf("p1", {7}, Millis(900) - kHeldReportLifetime), 8},
    {"a shard of neither plan", HeldOf("q1", {7}, Millis(900)), 8},
};

BOOST_DATA_TEST_CASE(the_newest_version_of_best_coverage_is_pinned,
                     data::make(kChoices), it) {
  QueryDriver driver({TestPlan(8, 4), TestPlan(7, 4)});
  driver.Start(it.held);
  BOOST_TEST(driver.sent.at(0).part.version.value == it.chosen);
}

BOOST_AUTO_TEST_CASE(a_complete_reply_invalidates_an_earlier_refusal) {
  HeldVersions held = HeldOf("p1", {7}, Millis(900));
  RecordAnswer(&held, ShardId("p1"), IndexVersion(8));
  BOOST_TEST(held.reports.empty());
}

BOOST_AUTO_TEST_CASE(held_reports_expire_and_are_bounded) {
  HeldVersions held;
  for (size_t i = 0; i < kMaxHeldReports + 10; ++i) {
    RecordRefusal(&held, ShardId(std::to_string(i)), IndexVersion(1), {},
                  Millis(5));
  }
  BOOST_TEST(held.reports.size() == kMaxHeldReports);
  RemoveExpired(&held, Millis(6) + kHeldReportLifetime);
  BOOST_TEST(held.reports.empty());
}

// The data is repartitioned while a query runs: the backend servers drop the
// pinned version, and the newer manifest has other shards and counts. The
// answer must consist of the newer version alone, with its own denominator.
BOOST_AUTO_TEST_CASE(a_dropped_version_restarts_the_query_on_a_newer_one) {
  QueryDriver driver({TestPlan(7, 4)});
  driver.Start();
  driver.Deliver(0, {Answered("p1", {{"old", 1, "{}"}})});
  driver.plans = {TestPlan(8, 3, "q", 50), TestPlan(7, 4)};
  driver.Deliver(0, {Refused("p2", {8})});
  BOOST_TEST_REQUIRE(driver.sent.size() == 2);
  BOOST_TEST(driver.sent[1].part.version.value == 8);
  BOOST_TEST(driver.sent[1].part.shards.size() == 3);
  BOOST_TEST(driver.cancelled.size() == 1);
  // Late outcomes of the first version only count as attempts.
  driver.Deliver(0, {Answered("p3", {{"late", 1, "{}"}}),
                     Answered("p4", {{"later", 1, "{}"}})});
  driver.Deliver(
      1, {Answered("q1", {{"new", 1, "{}"}}), Answered("q2"), Answered("q3")});
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.answer->version.value == 8);
  BOOST_TEST(driver.answer->documents_total == 150);
  BOOST_TEST(driver.answer->documents_covered == 150);
  BOOST_TEST_REQUIRE(driver.answer->hits.size() == 1);
  BOOST_TEST(driver.answer->hits[0].hit.id == "new");
  BOOST_TEST(driver.answer->attempts == 7);
  BOOST_TEST(driver.answer->restarts == 1);
}

// Both manifests have a shard of the same name with different counts. A reply
// for the first version that arrives after the restart must not count for the
// second.
BOOST_AUTO_TEST_CASE(a_late_reply_for_the_first_version_does_not_count) {
  QueryDriver driver({TestPlan(8, 2, "p", 30), TestPlan(7, 2)});
  driver.Start(HeldOf("p1", {7}, Millis(1000)));
  BOOST_TEST(driver.sent.at(0).part.version.value == 7);
  driver.Deliver(0, {Refused("p2", {8})});
  BOOST_TEST(driver.state.plan->version.value == 7);
  driver.TickAt(100);
  BOOST_TEST(driver.answer->documents_covered == 0);

  QueryDriver other({TestPlan(7, 2)});
  other.Start();
  other.plans = {TestPlan(8, 2, "p", 30), TestPlan(7, 2)};
  other.Deliver(0, {Refused("p2", {8})});
  other.Deliver(0, {Answered("p1", {{"old", 1, "{}"}})});
  other.Deliver(1, {Answered("p2", {{"new", 1, "{}"}})});
  other.TickAt(100);
  BOOST_TEST(other.answer->version.value == 8);
  BOOST_TEST(other.answer->documents_covered == 30);
  BOOST_TEST(other.answer->documents_total == 60);
  BOOST_TEST(other.answer->hits.size() == 1);
}

struct RestartCase {
  std::string name;
  settings::Prefer prefer;
  // Time of the refusal, in milliseconds after the start.
  double at;
  bool restarts;
};
std::ostream& operator<<(std::ostream& out, const RestartCase& it) {
  return out << it.name;
}
const RestartCase kRestarts[] = {
    {"coverage, early", settings::Prefer::kCoverage, 5, true},
    {"coverage, no time left", settings::Prefer::kCoverage, 95, false},
    {"latency, coverage still sufficient", settings::Prefer::kLatency, 5,
     false},
};

BOOST_DATA_TEST_CASE(a_query_restarts_only_where_it_helps,
                     data::make(kRestarts), it) {
  QueryDriver driver({TestPlan(8, 4), TestPlan(7, 4)});
  driver.request.values.prefer = it.prefer;
  driver.request.values.owner_timeout = Millis(500);
  driver.request.min_coverage = 0.7;
  driver.Start();
  driver.now = Millis(1000 + it.at);
  driver.Deliver(0, {Refused("p2", {7})});
  BOOST_TEST((driver.state.generation == 1) == it.restarts);
}

// Each of two versions is missing at one shard. Without a bound the query would
// alternate between them until its deadline.
BOOST_AUTO_TEST_CASE(a_query_never_returns_to_an_earlier_version) {
  QueryDriver driver({TestPlan(8, 2), TestPlan(7, 2)});
  driver.Start();
  driver.Deliver(0, {Refused("p1", {7})});
  BOOST_TEST(driver.sent.at(1).part.version.value == 7);
  driver.Deliver(1, {Refused("p2", {8}), Answered("p1")});
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  BOOST_TEST(driver.sent.size() == 2);
  BOOST_TEST(driver.answer->version.value == 7);
  BOOST_TEST((driver.answer->missing[0].code == Code::kVersionNotHeld));
}

BOOST_AUTO_TEST_CASE(a_dropped_only_version_gives_snapshot_gone) {
  QueryDriver driver({TestPlan(7, 1)});
  driver.Start();
  driver.Deliver(0, {Refused("p1", {9})});
  BOOST_TEST((driver.answer->code == Code::kSnapshotGone));
  BOOST_TEST_REQUIRE(driver.observed_versions.size() == 1);
  BOOST_TEST(driver.observed_versions[0].held.at(0).value == 9);
}

// New versions appear, owners time out, fail and recover, and outcomes arrive
// twice, late and for other parts, in random order. An answer must hold hits of
// one version only and count each document of its manifest at most once.
BOOST_DATA_TEST_CASE(random_events_never_mix_versions_or_inflate_coverage,
                     data::xrange(200), seed) {
  Random random(static_cast<uint64_t>(seed) + 1);
  QueryDriver driver({TestPlan(7, 5, "p", 10)});
  driver.request.limit = 1000;
  driver.request.values.max_candidates = 4;
  driver.Start();
  for (int n = 0; n < 400 && !driver.answer; ++n) {
    driver.now += Millis(random.Fraction());
    if (random.Below(40) == 0) {
      const uint64_t next = driver.plans[0]->version.value + 1;
      driver.plans.insert(driver.plans.begin(),
                          TestPlan(next, 1 + static_cast<int>(random.Below(6)),
                                   random.Below(2) == 0 ? "p" : "q", next));
    }
    if (random.Below(60) == 0) {
      driver.Handle(PeerFailed{driver.candidates[random.Below(2)]});
      continue;
    }
    if (random.Below(3) == 0) {
      driver.Handle(Tick{});
      continue;
    }
    const SendPart part = driver.sent[random.Below(driver.sent.size())];
    const auto& work = part.part.shards[random.Below(part.part.shards.size())];
    const std::string shard = work.shard.text;
    const std::string id =
        shard + "@" + std::to_string(part.part.version.value);
    limits::ShardOutcome outcome = Answered(shard, {{id, 1, "{}"}});
    const size_t roll = random.Below(8);
    if (roll == 0) outcome = Refused(shard, {driver.plans[0]->version.value});
    if (roll == 1) outcome = Failed(shard, Code::kReadFailed);
    if (roll == 2) outcome = Failed(shard, Code::kNotReady, Ran::kNo);
    driver.Handle(OutcomesArrived{part.part.origin.part, {outcome}});
  }
  driver.TickAt(100);
  BOOST_TEST_REQUIRE(driver.answer.has_value());
  const Answer& answer = *driver.answer;
  const std::string suffix = "@" + std::to_string(answer.version.value);
  for (const auto& it : answer.hits) BOOST_TEST(it.hit.id.ends_with(suffix));
  BOOST_TEST(answer.hits.size() == answer.shards_answered);
  BOOST_TEST(answer.documents_covered <= answer.documents_total);
  BOOST_TEST(answer.missing.size() + answer.shards_answered ==
             answer.shards_total);
}

}  // namespace hibiscuspick::routing
