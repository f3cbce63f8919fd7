#include "hibiscuspick/engine/fan_out.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

using Outlooks = std::vector<std::optional<ShardOutlook>>;

constexpr size_t kShards = 20;
constexpr size_t kNeeded = 18;

Outlooks Even(Millis service) {
  return Outlooks(kShards, ShardOutlook{Millis(0), service, Millis(0)});
}

// Two servers of two shards are lost and the remaining ones are overloaded. If
// these shards were requested all the same, each query would make them slower
// for the next one, and callers would wait for answers that 18 of 20 parts
// could have given earlier.
BOOST_AUTO_TEST_CASE(OverloadedShardsAreKeptBack) {
  auto outlooks = Even(Millis(30));
  outlooks[3]->service = Millis(160);
  outlooks[7]->wait = Millis(140);
  const auto plan = PlanFanOut(outlooks, kNeeded, Millis(190), 0.6);
  BOOST_TEST(plan.possible);
  BOOST_TEST(plan.asked.size() == kNeeded);
  BOOST_TEST((plan.deferred == std::vector<size_t>{3, 7}));
}

// If more shards are slow than the minimum coverage can spare, only the slowest
// are deferred.
BOOST_AUTO_TEST_CASE(NeverKeepsBackMoreThanTheLeastShareSpares) {
  auto outlooks = Even(Millis(160));
  outlooks[5]->service = Millis(170);
  outlooks[6]->service = Millis(180);
  const auto plan = PlanFanOut(outlooks, kNeeded, Millis(190), 0.6);
  BOOST_TEST(plan.asked.size() == kNeeded);
  BOOST_TEST((plan.deferred == std::vector<size_t>{5, 6}));
}

// A data centre with 6 of 20 shards becomes unreachable. Otherwise the 14
// others would work for each query, and the caller would learn of the failure
// only at its deadline.
BOOST_AUTO_TEST_CASE(FailsBeforeAnyWorkIfTheShareIsOutOfReach) {
  auto outlooks = Even(Millis(30));
  for (size_t i = 0; i < 6; ++i) outlooks[i].reset();
  const auto plan = PlanFanOut(outlooks, kNeeded, Millis(190), 0.6);
  BOOST_TEST(!plan.possible);
  BOOST_TEST(plan.asked.empty());
}

struct AdmitRow {
  const char* name;
  ShardOutlook worst;
  // Number of shards with this estimate.
  size_t count;
  bool returning;
  bool admitted;
};

std::ostream& operator<<(std::ostream& out, const AdmitRow& row) {
  return out << row.name;
}

const AdmitRow kAdmits[] = {
    {"idle", {Millis(0), Millis(30), Millis(0)}, 20, false, true},
    {"two overloaded shards can be spared",
     {Millis(900), Millis(30), Millis(0)},
     2,
     false,
     true},
    {"three overloaded shards",
     {Millis(180), Millis(30), Millis(0)},
     3,
     false,
     false},
    {"three overloaded shards, retry of the caller",
     {Millis(180), Millis(30), Millis(0)},
     3,
     true,
     true},
    {"slow servers without a queue",
     {Millis(0), Millis(336), Millis(0)},
     3,
     false,
     true},
    {"expected after the deadline",
     {Millis(1900), Millis(336), Millis(0)},
     3,
     true,
     false},
};

// Refusing queries helps against queues. Where the servers themselves are slow,
// it only turns late answers into none.
BOOST_DATA_TEST_CASE(WholeQueriesAreAdmitted, bdata::make(kAdmits), row) {
  auto outlooks = Even(Millis(30));
  for (size_t i = 0; i < row.count; ++i) outlooks[i] = row.worst;
  const auto admission =
      Admit(outlooks, kNeeded, {Millis(190), Millis(1990), row.returning});
  BOOST_TEST(admission.admitted == row.admitted);
}

struct BehindRow {
  const char* name;
  ShardOutlook worst;
  size_t count;
  bool behind;
};

std::ostream& operator<<(std::ostream& out, const BehindRow& row) {
  return out << row.name;
}

const BehindRow kBehinds[] = {
    {"idle", {Millis(0), Millis(30), Millis(0)}, 20, false},
    {"two late shards can be spared",
     {Millis(500), Millis(30), Millis(0)},
     2,
     false},
    {"late because of a queue", {Millis(300), Millis(30), Millis(0)}, 3, true},
    {"late because of slow servers",
     {Millis(0), Millis(336), Millis(0)},
     3,
     true},
};

// Under overload, callers that were refused return with little time left.
// Ordered by due time alone, their parts would be served first until that time
// has passed, in vain, and delay the other queries.
BOOST_DATA_TEST_CASE(WhatIsNotExpectedInTimeWaitsBehind, bdata::make(kBehinds),
                     row) {
  auto outlooks = Even(Millis(30));
  for (size_t i = 0; i < row.count; ++i) outlooks[i] = row.worst;
  const auto admission =
      Admit(outlooks, kNeeded, {Millis(190), Millis(1990), true});
  BOOST_TEST(admission.admitted);
  BOOST_TEST(admission.behind == row.behind);
}

// There are twice as many callers as the servers can serve. A returning one
// would wait behind all others until its deadline while some of its parts run
// for nothing. Refused at once it loses nothing, and the others gain.
BOOST_AUTO_TEST_CASE(NobodyWaitsBehindInVain) {
  auto outlooks = Even(Millis(30));
  for (size_t i = 0; i < 5; ++i) {
    outlooks[i] = {Millis(180), Millis(30), Millis(500)};
  }
  const QueryTimes times{Millis(190), Millis(1990), true};
  BOOST_TEST(Admit(outlooks, kNeeded, times).admitted);
  for (size_t i = 0; i < 3; ++i) outlooks[i]->wait_behind = Millis(2000);
  BOOST_TEST(!Admit(outlooks, kNeeded, times).admitted);
  // Two such shards can be spared.
  outlooks[0]->wait_behind = Millis(500);
  BOOST_TEST(Admit(outlooks, kNeeded, times).admitted);
}

struct NeedRow {
  const char* name;
  size_t failed;
  bool needs;
};

std::ostream& operator<<(std::ostream& out, const NeedRow& row) {
  return out << row.name;
}

const NeedRow kNeeds[] = {
    {"first failure", 0, false},
    {"second failure", 1, false},
    {"third failure, where 18 of 20 allow two", 2, true},
};

// One server of each shard fails two of five requests. The budget pays for a
// second attempt in every fourth query. If it were spent on the first failures,
// none would be left for a query that has lost its third part, and the caller
// would get an error.
BOOST_DATA_TEST_CASE(RetriesGoWhereTheShareNeedsThem, bdata::make(kNeeds),
                     row) {
  BOOST_TEST(NeedsRetry(kShards, row.failed, kNeeded) == row.needs);
}

BOOST_AUTO_TEST_CASE(PlainRequestsAlwaysNeedTheirRetry) {
  BOOST_TEST(NeedsRetry(1, 0, 1));
}

// The query's time was spent before it arrived, on a hop to a peer that had
// stalled. There is no queue to blame: if it were refused, its caller would get
// nothing although a late answer is available at once.
BOOST_AUTO_TEST_CASE(NobodyIsRefusedForAQueueThatIsNotThere) {
  const auto admission =
      Admit(Even(Millis(30)), kNeeded, {Millis(-300), Millis(1400), false});
  BOOST_TEST(admission.admitted);
}

// The caller must be told when the queue will have drained, not a constant.
BOOST_AUTO_TEST_CASE(RetryAfterFollowsTheQueue) {
  auto outlooks = Even(Millis(30));
  for (size_t i = 0; i < 3; ++i)
    outlooks[i] = {Millis(400), Millis(30), Millis(0)};
  const auto admission =
      Admit(outlooks, kNeeded, {Millis(190), Millis(1990), false});
  BOOST_TEST(!admission.admitted);
  BOOST_TEST(admission.retry_after.count == 240);
}

PartView Late(size_t place, double since) {
  return {place, 1, Millis(since), false, true};
}

// Three parts are late and two may be missing: one second attempt decides
// whether the caller gets an answer in time, the others only complete it.
BOOST_AUTO_TEST_CASE(UrgentHedgesAreThoseTheShareNeeds) {
  const auto plan =
      PlanHedges({Late(4, 3), Late(5, 1), Late(6, 2)}, 17, kNeeded, Millis(10));
  BOOST_TEST((plan.urgent == std::vector<size_t>{5}));
  BOOST_TEST((plan.optional == std::vector<size_t>{6, 4}));
}

// A deferred shard uses no budget, since it has not been requested before.
BOOST_AUTO_TEST_CASE(KeptBackShardsGoBeforeSecondAttempts) {
  std::vector<PartView> missing = {Late(4, 3), Late(5, 1)};
  missing.push_back({9, 0, kNever, true, false});
  const auto plan = PlanHedges(missing, 17, kNeeded, Millis(10));
  BOOST_TEST((plan.start == std::vector<size_t>{9}));
  BOOST_TEST(plan.urgent.empty());
}

BOOST_AUTO_TEST_CASE(PartsOnTimeAreLeftAlone) {
  const auto plan =
      PlanHedges({Late(4, 30), Late(5, 31)}, 10, kNeeded, Millis(10));
  BOOST_TEST(plan.urgent.empty());
  BOOST_TEST(plan.optional.empty());
}

}  // namespace
}  // namespace hibiscuspick::engine
