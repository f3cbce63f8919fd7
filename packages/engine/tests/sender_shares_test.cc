#include "hibiscuspick/engine/sender_shares.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "share_plan_text.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {

namespace {

const SharePlan kPlans[] = {
    {1, 0, 0}, {195, 0, 0}, {9, 3, 3}, {195, 15, 5}, {72, 24, 3}, {460, 7, 7},
};

// Each instance keeps to its own share without coordination, so that a sum
// above the whole would exceed the limit configured by the users.
BOOST_DATA_TEST_CASE(PartsMakeNoMoreThanTheWhole, bdata::make(kPlans), plan) {
  const auto sum = [&](double SenderShares::*of) {
    const auto n = [](size_t count) { return static_cast<double>(count); };
    const auto part = [&](SenderRole role) { return SharesOf(plan, role).*of; };
    if (plan.senders == 0) return n(plan.instances) * part(SenderRole::kNone);
    return n(plan.first_senders) * part(SenderRole::kFirst) +
           n(plan.senders - plan.first_senders) * part(SenderRole::kStandIn) +
           n(plan.instances - plan.senders) * part(SenderRole::kNone);
  };
  constexpr double kRounding = 1e-9;
  BOOST_TEST(sum(&SenderShares::connections) <= 1 + kRounding);
  BOOST_TEST(sum(&SenderShares::slack) <= 1 + kRounding);
  BOOST_TEST(sum(&SenderShares::slack) > 0.8);
}

// Slack is useful where the queries are: at the primary senders.
BOOST_AUTO_TEST_CASE(FirstSendersHoldMostOfTheSlack) {
  const SharePlan plan{195, 15, 5};
  BOOST_TEST(SharesOf(plan, SenderRole::kFirst).slack * 5 >= 0.7);
  BOOST_TEST(SharesOf(plan, SenderRole::kStandIn).connections > 0);
  BOOST_TEST(SharesOf(plan, SenderRole::kNone).connections > 0);
}

}  // namespace
}  // namespace hibiscuspick::engine
