#include "hibiscuspick/engine/counting_instance.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "peer_table_fixture.h"

namespace hibiscuspick::engine {
namespace {

ClientAccountId Account(size_t i) {
  return ClientAccountId("account" + std::to_string(i));
}

// Without a bound each instance would message every other one of its data
// centre twice a second if there are no larger ones.
BOOST_AUTO_TEST_CASE(CandidatesAreSendersOrTheFirstInRank) {
  struct Row {
    size_t per_data_centre;
    size_t capable;
    size_t candidates;
  };
  for (const auto& row : std::vector<Row>{
           {21, 2, 2}, {21, 0, 4}, {66, 8, 4}, {2, 0, 1}, {3, 0, 1}}) {
    const auto table = MakePeerTable(row.per_data_centre, row.capable);
    const auto all = AllCountingCandidates(table, kNow);
    BOOST_TEST_REQUIRE(all.size() == 3);
    for (const auto& [data_centre, candidates] : all) {
      BOOST_TEST(candidates.size() == row.candidates);
      BOOST_TEST(std::is_sorted(candidates.begin(), candidates.end()));
      for (const auto& it : candidates) {
        BOOST_TEST(it.text.substr(0, 1) == data_centre.text);
      }
    }
  }
}

// An instance that doesn't answer would keep the accounts that it counts.
BOOST_AUTO_TEST_CASE(UnresponsiveInstancesAreNoCandidates) {
  auto table = MakePeerTable(21, 2);
  RecordUnresponsive(&table, InstanceId("a0"), kNow);
  const auto all = AllCountingCandidates(table, kNow);
  const auto& candidates = all.at(DataCentreId("a"));
  BOOST_TEST((std::find(candidates.begin(), candidates.end(),
                        InstanceId("a0")) == candidates.end()));
  BOOST_TEST(!candidates.empty());
}

// A choice that depends on the order of candidates, or moves accounts between
// candidates that stay, would drop tokens at each change.
BOOST_AUTO_TEST_CASE(OnlyAccountsOfARemovedCandidateMove) {
  const std::vector<InstanceId> four = {InstanceId("a0"), InstanceId("a1"),
                                        InstanceId("a2"), InstanceId("a3")};
  const std::vector<InstanceId> three = {InstanceId("a3"), InstanceId("a1"),
                                         InstanceId("a0")};
  std::vector<size_t> counts(4);
  for (size_t i = 0; i < 4000; ++i) {
    const auto account = Account(i);
    const auto chosen = *ChooseCountingInstance(four, account);
    const auto ranked = RankCountingInstances(four, account);
    BOOST_TEST((ranked[0] == chosen));
    ++counts[static_cast<size_t>(std::find(four.begin(), four.end(), chosen) -
                                 four.begin())];
    const auto without = *ChooseCountingInstance(three, account);
    BOOST_TEST((without == (chosen == InstanceId("a2") ? ranked[1] : chosen)));
  }
  for (const size_t it : counts) BOOST_TEST((it > 850 && it < 1150));
  BOOST_TEST((ChooseCountingInstance({}, Account(0)) == nullptr));
}

}  // namespace
}  // namespace hibiscuspick::engine
