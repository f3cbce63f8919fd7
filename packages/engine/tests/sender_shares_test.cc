#include "hibiscuspick/engine/sender_shares.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sender_counts_printer.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {

namespace {

const SenderCounts kCounts[] = {
    {1, 0, 0}, {195, 0, 0}, {9, 3, 3}, {195, 15, 5}, {72, 24, 3}, {460, 7, 7},
};

// Each instance keeps to its own share without coordination, so that a sum
// above the whole would exceed the limit configured by the users.
BOOST_DATA_TEST_CASE(SharesAddUpToNoMoreThanTheWhole, bdata::make(kCounts),
                     counts) {
  const auto sum = [&](double SenderShares::*of) {
    const auto n = [](size_t count) { return static_cast<double>(count); };
    const auto part = [&](SenderRole role) {
      return ComputeShares(counts, role).*of;
    };
    if (counts.senders == 0)
      return n(counts.instances) * part(SenderRole::kNotSender);
    return n(counts.primary_senders) * part(SenderRole::kPrimary) +
           n(counts.senders - counts.primary_senders) *
               part(SenderRole::kStandby) +
           n(counts.instances - counts.senders) * part(SenderRole::kNotSender);
  };
  constexpr double kRounding = 1e-9;
  BOOST_TEST(sum(&SenderShares::connections) <= 1 + kRounding);
  BOOST_TEST(sum(&SenderShares::slack) <= 1 + kRounding);
  BOOST_TEST(sum(&SenderShares::slack) > 0.8);
}

// Slack is useful where the queries are: at the primary senders.
BOOST_AUTO_TEST_CASE(PrimarySendersHaveMostOfTheSlack) {
  const SenderCounts counts{195, 15, 5};
  BOOST_TEST(ComputeShares(counts, SenderRole::kPrimary).slack * 5 >= 0.7);
  BOOST_TEST(ComputeShares(counts, SenderRole::kStandby).connections > 0);
  BOOST_TEST(ComputeShares(counts, SenderRole::kNotSender).connections > 0);
}

}  // namespace
}  // namespace hibiscuspick::engine
