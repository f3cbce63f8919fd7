#include "hibiscuspick/engine/cold_start.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "hibiscuspick/base/random.h"
#include "sender_counts_printer.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {

namespace {

const SenderCounts kCounts[] = {
    {1, 0, 0}, {6, 0, 0}, {83, 0, 0}, {9, 3, 3}, {83, 6, 3}, {460, 35, 7},
};
constexpr ColdLimits kLimits{10, 1.5, 5};
constexpr double kBound = 20;

// All instances counted, each with its role and rank.
std::vector<SenderRank> AllRanks(const SenderCounts& counts) {
  std::vector<SenderRank> all;
  for (size_t i = 0; i < counts.primary_senders; ++i) {
    all.push_back({SenderRole::kPrimary, i});
  }
  for (size_t i = 0; i < counts.senders - counts.primary_senders; ++i) {
    all.push_back({SenderRole::kStandby, i});
  }
  for (size_t i = counts.senders; i < counts.instances; ++i) {
    all.push_back({SenderRole::kNotSender, i});
  }
  return all;
}

// Failure: each instance keeps to its own share, but all of them together
// overload a server that has just come back.
BOOST_DATA_TEST_CASE(AllowancesStayBelowTheLimit, bdata::make(kCounts),
                     counts) {
  int sum = 0;
  for (const auto& it : AllRanks(counts))
    sum += ColdAllowance(kLimits, counts, it);
  BOOST_TEST(sum <= kBound);
  BOOST_TEST(sum >= kBound * 0.4);
}

// Failure: every instance's share is below one request per second. If all round
// it up the server gets too many, if all round it down it gets none.
BOOST_AUTO_TEST_CASE(LowRanksSendWhereTheShareIsBelowOne) {
  const SenderCounts counts{83, 0, 0};
  BOOST_TEST(ColdAllowance(kLimits, counts, {SenderRole::kNotSender, 0}) == 1);
  BOOST_TEST(ColdAllowance(kLimits, counts, {SenderRole::kNotSender, 82}) == 0);
}

// Failure: bursts around the boundary of two windows, or requests delayed by
// connection setup, add up to more than the limit within one second.
BOOST_DATA_TEST_CASE(NoSecondExceedsTheLimit, bdata::make(kCounts), counts) {
  Random random(7);
  constexpr double kConnecting = 300;
  std::vector<Millis> arrivals;
  for (const auto& it : AllRanks(counts)) {
    const int allowance = ColdAllowance(kLimits, counts, it);
    RecentSends sent;
    for (Millis now(0); now < Millis(6000); now += Millis(10)) {
      if (!HasColdAllowance(sent, allowance, now)) continue;
      AddRecentSend(&sent, now);
      arrivals.push_back(now + Millis(random.Fraction() * kConnecting));
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  for (size_t i = 0; i < arrivals.size(); ++i) {
    const auto end = std::upper_bound(arrivals.begin(), arrivals.end(),
                                      arrivals[i] + Millis(1000));
    const auto first = arrivals.begin() + static_cast<std::ptrdiff_t>(i);
    const auto within = std::distance(first, end);
    BOOST_TEST_REQUIRE(static_cast<double>(within) <= kBound);
  }
}

}  // namespace
}  // namespace hibiscuspick::engine
