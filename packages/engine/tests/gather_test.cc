#include "hibiscuspick/engine/gather.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

struct NeededRow {
  double min_coverage;
  size_t shards;
  size_t needed;
};

std::ostream& operator<<(std::ostream& out, const NeededRow& row) {
  return out << row.min_coverage << " of " << row.shards;
}

const NeededRow kNeeded[] = {
    {0.89, 20, 18}, {0.75, 20, 15}, {0.9, 20, 18}, {0.95, 90, 86},
    {0.85, 90, 77}, {0, 20, 1},     {1, 20, 20},   {0.3, 10, 3},
};

BOOST_DATA_TEST_CASE(MinCoverageIsRoundedUp, bdata::make(kNeeded), row) {
  BOOST_TEST(PartsNeeded(row.min_coverage, row.shards) == row.needed);
}

const NeededRow kNeededOfSubset[] = {
    {0.95, 17, 16}, {0.95, 3, 2}, {0.85, 17, 14}, {0.95, 20, 19},
    {1, 17, 17},    {0, 5, 0},    {0.3, 10, 3},
};

BOOST_DATA_TEST_CASE(MinCoverageOfASubsetIsRoundedDown,
                     bdata::make(kNeededOfSubset), row) {
  BOOST_TEST(PartsNeededOfSubset(row.min_coverage, row.shards) == row.needed);
}

struct StepRow {
  const char* name;
  GatherProgress progress;
  double now;
  GatherStep step;
};

std::ostream& operator<<(std::ostream& out, const StepRow& row) {
  return out << row.name;
}

const StepRow kSteps[] = {
    {"all received", {20, 18, 20, 0}, 10, GatherStep::kAnswer},
    {"enough, time left", {20, 18, 19, 0}, 10, GatherStep::kWait},
    {"enough, target reached", {20, 18, 18, 0}, 190, GatherStep::kAnswer},
    {"enough, the rest failed", {20, 18, 18, 2}, 10, GatherStep::kAnswer},
    {"too few, target passed", {20, 18, 17, 0}, 190, GatherStep::kWait},
    {"enough after the target", {20, 18, 18, 0}, 300, GatherStep::kAnswer},
    {"too many failed", {20, 18, 10, 3}, 10, GatherStep::kFail},
    {"deadline passed", {20, 18, 17, 0}, 2000, GatherStep::kTimedOut},
};

BOOST_DATA_TEST_CASE(NextStepFollowsDeadlinesAndParts, bdata::make(kSteps),
                     row) {
  const GatherDeadlines deadlines{Millis(190), Millis(1990)};
  BOOST_TEST((NextStep(row.progress, deadlines, Millis(row.now)) == row.step));
}

struct ChecksRow {
  bool checks_pending;
  double now;
  bool awaits;
};

std::ostream& operator<<(std::ostream& out, const ChecksRow& row) {
  return out << row.checks_pending << " at " << row.now;
}

const ChecksRow kChecks[] = {
    {false, 10, false}, {true, 10, true},    {true, 190, true},
    {true, 1989, true}, {true, 1990, false}, {true, 2090, false},
};

// Failure: a query waits for a check beyond its deadline.
BOOST_DATA_TEST_CASE(ChecksAreNotAwaitedAtTheDeadline, bdata::make(kChecks),
                     row) {
  const GatherDeadlines deadlines{Millis(190), Millis(1990)};
  BOOST_TEST(AwaitsChecks(row.checks_pending, deadlines, Millis(row.now)) ==
             row.awaits);
}

std::string Record(char first) {
  return std::string(1, first) + "23456789abcdef";
}
std::string Padded(char first) { return Record(first) + "!"; }

// Callers compare the answer byte by byte with the greatest records of the
// parts that it names; one record too many or too few makes it wrong.
BOOST_AUTO_TEST_CASE(MergesInDescendingOrderAndKeepsDuplicates) {
  const std::string a = Padded('c') + Padded('a') + "short";
  const std::string b = Padded('b') + Padded('c');
  BOOST_TEST(MergeTop({a, b}, 3) == Padded('c') + Padded('c') + Padded('b'));
  BOOST_TEST(MergeTop({a, b}, 9).size() == 4 * kRecordBytes);
  BOOST_TEST(MergeTop({"tooshort"}, 3).empty());
}

// Bytes above 0x7f are greater than letters: a signed comparison would sort
// them last.
BOOST_AUTO_TEST_CASE(ComparesBytesAsUnsigned) {
  const std::string low(kRecordBytes, 'z');
  const std::string high(kRecordBytes, '\xf0');
  BOOST_TEST(MergeTop({low, high}, 1) == high);
}

}  // namespace
}  // namespace hibiscuspick::engine
