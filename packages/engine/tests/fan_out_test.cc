#include "hibiscuspick/engine/fan_out.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

using Estimates = std::vector<std::optional<ShardEstimate>>;

constexpr size_t kShards = 20;
constexpr size_t kNeeded = 18;

Estimates Uniform(Millis service) {
  return Estimates(kShards, ShardEstimate{Millis(0), service, Millis(0)});
}

// Two servers of two shards are lost and the remaining ones are overloaded. If
// these shards were requested all the same, each query would make them slower
// for the next one, and callers would wait for answers that 18 of 20 parts
// could have given earlier.
BOOST_AUTO_TEST_CASE(OverloadedShardsAreDeferred) {
  auto estimates = Uniform(Millis(30));
  estimates[3]->service_time = Millis(160);
  estimates[7]->queue_wait = Millis(140);
  const auto plan = PlanFanOut(estimates, kNeeded, Millis(190), 0.6);
  BOOST_TEST(plan.feasible);
  BOOST_TEST(plan.immediate.size() == kNeeded);
  BOOST_TEST((plan.deferred == std::vector<size_t>{3, 7}));
}

// If more shards are slow than the minimum coverage can spare, only the slowest
// are deferred.
BOOST_AUTO_TEST_CASE(DefersNoMoreThanMinCoverageAllows) {
  auto estimates = Uniform(Millis(160));
  estimates[5]->service_time = Millis(170);
  estimates[6]->service_time = Millis(180);
  const auto plan = PlanFanOut(estimates, kNeeded, Millis(190), 0.6);
  BOOST_TEST(plan.immediate.size() == kNeeded);
  BOOST_TEST((plan.deferred == std::vector<size_t>{5, 6}));
}

// A data centre with 6 of 20 shards becomes unreachable. Otherwise the 14
// others would work for each query, and the caller would learn of the failure
// only at its deadline.
BOOST_AUTO_TEST_CASE(FailsEarlyIfMinCoverageIsUnreachable) {
  auto estimates = Uniform(Millis(30));
  for (size_t i = 0; i < 6; ++i) estimates[i].reset();
  const auto plan = PlanFanOut(estimates, kNeeded, Millis(190), 0.6);
  BOOST_TEST(!plan.feasible);
  BOOST_TEST(plan.immediate.empty());
}

struct AdmitRow {
  const char* name;
  ShardEstimate worst;
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
BOOST_DATA_TEST_CASE(AdmitsOrRefusesWholeQueries, bdata::make(kAdmits), row) {
  auto estimates = Uniform(Millis(30));
  for (size_t i = 0; i < row.count; ++i) estimates[i] = row.worst;
  const auto admission =
      Admit(estimates, kNeeded, {Millis(190), Millis(1990), row.returning});
  BOOST_TEST(admission.admitted == row.admitted);
}

struct DeprioritizedRow {
  const char* name;
  ShardEstimate worst;
  size_t count;
  bool deprioritized;
};

std::ostream& operator<<(std::ostream& out, const DeprioritizedRow& row) {
  return out << row.name;
}

const DeprioritizedRow kDeprioritized[] = {
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
BOOST_DATA_TEST_CASE(LateQueriesAreDeprioritized, bdata::make(kDeprioritized),
                     row) {
  auto estimates = Uniform(Millis(30));
  for (size_t i = 0; i < row.count; ++i) estimates[i] = row.worst;
  const auto admission =
      Admit(estimates, kNeeded, {Millis(190), Millis(1990), true});
  BOOST_TEST(admission.admitted);
  BOOST_TEST(admission.deprioritized == row.deprioritized);
}

// There are twice as many callers as the servers can serve. A returning one
// would wait behind all others until its deadline while some of its parts run
// for nothing. Refused at once it loses nothing, and the others gain.
BOOST_AUTO_TEST_CASE(RefusesQueriesThatWouldMissTheDeadlineInTheQueue) {
  auto estimates = Uniform(Millis(30));
  for (size_t i = 0; i < 5; ++i) {
    estimates[i] = {Millis(180), Millis(30), Millis(500)};
  }
  const QueryTimes times{Millis(190), Millis(1990), true};
  BOOST_TEST(Admit(estimates, kNeeded, times).admitted);
  for (size_t i = 0; i < 3; ++i)
    estimates[i]->deprioritized_wait = Millis(2000);
  BOOST_TEST(!Admit(estimates, kNeeded, times).admitted);
  // Two such shards can be spared.
  estimates[0]->deprioritized_wait = Millis(500);
  BOOST_TEST(Admit(estimates, kNeeded, times).admitted);
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
BOOST_DATA_TEST_CASE(RetriesOnlyForMinCoverage, bdata::make(kNeeds), row) {
  BOOST_TEST(NeedsRetry(kShards, row.failed, kNeeded) == row.needs);
}

BOOST_AUTO_TEST_CASE(PlainRequestsAlwaysNeedTheRetry) {
  BOOST_TEST(NeedsRetry(1, 0, 1));
}

// The query's time was spent before it arrived, on a hop to a peer that had
// stalled. There is no queue to blame: if it were refused, its caller would get
// nothing although a late answer is available at once.
BOOST_AUTO_TEST_CASE(NoRefusalWithoutAQueue) {
  const auto admission =
      Admit(Uniform(Millis(30)), kNeeded, {Millis(-300), Millis(1400), false});
  BOOST_TEST(admission.admitted);
}

// The caller must be told when the queue will have drained, not a constant.
BOOST_AUTO_TEST_CASE(RetryAfterFollowsTheQueueWait) {
  auto estimates = Uniform(Millis(30));
  for (size_t i = 0; i < 3; ++i)
    estimates[i] = {Millis(400), Millis(30), Millis(0)};
  const auto admission =
      Admit(estimates, kNeeded, {Millis(190), Millis(1990), false});
  BOOST_TEST(!admission.admitted);
  BOOST_TEST(admission.retry_after.count == 240);
}

PendingPart LatePart(size_t index, double sent_at) {
  return {index, 1, Millis(sent_at), false, true};
}

// Three parts are late and two may be missing: one second attempt decides
// whether the caller gets an answer in time, the others only complete it.
BOOST_AUTO_TEST_CASE(HedgesNeededForMinCoverageAreUrgent) {
  const auto plan = PlanHedges({LatePart(4, 3), LatePart(5, 1), LatePart(6, 2)},
                               17, kNeeded, Millis(10));
  BOOST_TEST((plan.urgent == std::vector<size_t>{5}));
  BOOST_TEST((plan.optional == std::vector<size_t>{6, 4}));
}

// A deferred shard uses no budget, since it has not been requested before.
BOOST_AUTO_TEST_CASE(DeferredShardsStartBeforeHedges) {
  std::vector<PendingPart> missing = {LatePart(4, 3), LatePart(5, 1)};
  missing.push_back({9, 0, kNever, true, false});
  const auto plan = PlanHedges(missing, 17, kNeeded, Millis(10));
  BOOST_TEST((plan.start_deferred == std::vector<size_t>{9}));
  BOOST_TEST(plan.urgent.empty());
}

BOOST_AUTO_TEST_CASE(PartsOnTimeAreNotHedged) {
  const auto plan =
      PlanHedges({LatePart(4, 30), LatePart(5, 31)}, 10, kNeeded, Millis(10));
  BOOST_TEST(plan.urgent.empty());
  BOOST_TEST(plan.optional.empty());
}

}  // namespace
}  // namespace hibiscuspick::engine
