#include <boost/test/unit_test.hpp>
#include <string>

#include "hibiscuspick/routing/customer_limits.h"
#include "hibiscuspick/routing/merge.h"
#include "hibiscuspick/routing/reassign_budget.h"
#include "hibiscuspick/routing/unresponsive_peers.h"

namespace hibiscuspick::routing {

const CustomerRules kRules{10, 2, 3};

BOOST_AUTO_TEST_CASE(a_rate_limit_admits_its_burst_then_its_rate) {
  CustomerLimits limits;
  const CustomerId customer("skjermvern");
  Millis now(1000);
  BOOST_TEST(Admit(&limits, customer, kRules, now).admitted);
  BOOST_TEST(Admit(&limits, customer, kRules, now).admitted);
  const Admission refused = Admit(&limits, customer, kRules, now);
  BOOST_TEST(!refused.admitted);
  BOOST_TEST(refused.retry_after.count == 100);
  now += refused.retry_after;
  BOOST_TEST(Admit(&limits, customer, kRules, now).admitted);
}

BOOST_AUTO_TEST_CASE(release_frees_concurrency) {
  CustomerLimits limits;
  const CustomerRules rules{1000, 1000, 1};
  const CustomerId customer("c");
  const Admission first = Admit(&limits, customer, rules, Millis(1));
  BOOST_TEST(!Admit(&limits, customer, rules, Millis(1)).admitted);
  BOOST_TEST(Admit(&limits, CustomerId("d"), rules, Millis(1)).admitted);
  Release(&limits, first.entry);
  BOOST_TEST(Admit(&limits, customer, rules, Millis(1)).admitted);
}

// A caller sends a new customer name with each request. Memory stays bounded,
// names that don't fit in the table share one allowance, and a customer already
// in the table keeps its own.
BOOST_AUTO_TEST_CASE(many_customer_names_use_bounded_memory) {
  CustomerLimits limits;
  limits.max_customers = 100;
  const CustomerRules rules{1, 1, 2};
  const Admission known = Admit(&limits, CustomerId("known"), rules, Millis(1));
  int admitted = 0;
  for (int i = 0; i < 5000; ++i) {
    const CustomerId name("flood-" + std::to_string(i));
    if (Admit(&limits, name, rules, Millis(2)).admitted) ++admitted;
  }
  BOOST_TEST(limits.customers.size() <= 101);
  BOOST_TEST(admitted == 100);
  Release(&limits, known.entry);
  BOOST_TEST(Admit(&limits, CustomerId("known"), rules, Millis(1500)).admitted);
}

BOOST_AUTO_TEST_CASE(zero_limits_admit_none_and_defaults_admit_all) {
  CustomerLimits limits;
  const CustomerId customer("c");
  BOOST_TEST(!Admit(&limits, customer, {0, 1, 1}, Millis(9999)).admitted);
  BOOST_TEST(!Admit(&limits, customer, {1, 1, 0}, Millis(9999)).admitted);
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(Admit(&limits, customer, {}, Millis(9999)).admitted);
  }
}

BOOST_AUTO_TEST_CASE(idle_customers_are_evicted) {
  CustomerLimits limits;
  limits.max_customers = 10;
  for (int i = 0; i < 10; ++i) {
    const CustomerId name(std::to_string(i));
    Release(&limits, Admit(&limits, name, kRules, Millis(1)).entry);
  }
  const Admission admission =
      Admit(&limits, CustomerId("new"), kRules, Millis(5000));
  BOOST_TEST(admission.entry.text == "new");
  BOOST_TEST(limits.customers.size() == 1);
}

BOOST_AUTO_TEST_CASE(the_reassign_budget_is_credited_by_requests) {
  ReassignBudget budget{0.1, 5, 0};
  AddTokens(&budget, 20);
  BOOST_TEST(TakeTokens(&budget, 2));
  BOOST_TEST(!TakeTokens(&budget, 1));
  AddTokens(&budget, 1000);
  BOOST_TEST(budget.tokens == 5);
}

BOOST_AUTO_TEST_CASE(suspects_come_last_except_for_probes) {
  UnresponsivePeers unresponsive;
  const auto order = [&](double now) {
    std::vector<InstanceId> list{InstanceId("a"), InstanceId("b")};
    PutSuspectsLast(&unresponsive, &list, Millis(now));
    return list[0].text;
  };
  for (uint32_t i = 0; i < kSuspectAfter; ++i) {
    BOOST_TEST(order(0) == "a");
    RecordUnresponsive(&unresponsive, InstanceId("a"), Millis(0));
  }
  BOOST_TEST(order(1) == "b");
  BOOST_TEST(order(kProbeInterval.count) == "a");
  BOOST_TEST(order(kProbeInterval.count) == "b");
  RecordResponse(&unresponsive, InstanceId("a"));
  BOOST_TEST(order(1) == "a");
}

BOOST_AUTO_TEST_CASE(merged_hits_are_ordered_and_unique) {
  std::vector<AnswerHit> hits;
  for (const char* id : {"b", "a", "c", "a"}) {
    hits.push_back({{id, id[0] == 'c' ? 2.0 : 1.0, "{}"}, ShardId("p1")});
  }
  const auto merged = MergeHits(hits, 10);
  BOOST_TEST_REQUIRE(merged.size() == 3);
  BOOST_TEST(merged[0].hit.id == "c");
  BOOST_TEST(merged[1].hit.id == "a");
  BOOST_TEST(merged[2].hit.id == "b");
  BOOST_TEST(MergeHits(hits, 1).size() == 1);
  hits.push_back({{"b", 1.0, "{}"}, ShardId("other-family-1")});
  const auto both = MergeHits(hits, 10);
  BOOST_TEST_REQUIRE(both.size() == 4);
  BOOST_TEST(both[2].shard.text == "other-family-1");
}

}  // namespace hibiscuspick::routing
