#include "hibiscuspick/engine/store_retry.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "hibiscuspick/engine/directory.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

struct PauseRow {
  const char* name;
  StoreFailure what;
  int failures;
  double pause;
};

std::ostream& operator<<(std::ostream& out, const PauseRow& it) {
  return out << it.name;
}

const PauseRow kPauses[] = {
    {"first failure", StoreFailure::kUnreachable, 1, 100},
    {"second failure", StoreFailure::kUnreachable, 2, 200},
    {"long unreachable", StoreFailure::kUnreachable, 50, 400},
    {"long refused", StoreFailure::kRefused, 50, 1000},
};

BOOST_DATA_TEST_CASE(PausesGrowToABound, bdata::make(kPauses), row) {
  BOOST_TEST(RetryPause(row.what, row.failures, 1.0).count == row.pause);
}

// An instance is cut off from the store while a server is killed. The
// connection recovers just after a call has begun to hang. The instance waits
// for its timeout and the retry delay, lists, and keeps the missing entry for
// its grace period. If all this takes too long, it still sends requests to a
// server that has ended.
BOOST_AUTO_TEST_CASE(ACutOffInstanceKnowsOfRemovalsInTime) {
  const Millis back = LongestReturn();
  Directory directory;
  ServerEntry entry;
  entry.id = BackendServerId("leaves-without-a-word");
  ReplaceAll(&directory, {entry}, Millis(-10000));
  NoteStoreTrouble(&directory, back - Millis(1));
  ReplaceAll(&directory, {}, back);
  BOOST_TEST(directory.entries.contains(entry.id));
  const auto due = NextLapse(directory);
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST((*due <= kKnowsAllAgainIn - Millis(100)));
  BOOST_TEST(DropLapsed(&directory, *due));
  BOOST_TEST(!directory.entries.contains(entry.id));
}

// After a store outage, healthy servers need two seconds to register again.
BOOST_AUTO_TEST_CASE(ServersHaveTimeToWriteThemselvesInAgain) {
  BOOST_TEST((kReturnTime >= Millis(2100)));
}

}  // namespace
}  // namespace hibiscuspick::engine
