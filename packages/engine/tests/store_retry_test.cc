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
    {"the first failure", StoreFailure::kUnreachable, 1, 100},
    {"the second", StoreFailure::kUnreachable, 2, 200},
    {"a long cut", StoreFailure::kUnreachable, 50, 400},
    {"a long refusal", StoreFailure::kRefused, 50, 1000},
};

BOOST_DATA_TEST_CASE(PausesGrowToABound, bdata::make(kPauses), row) {
  BOOST_TEST(RetryPause(row.what, row.failures, 1.0).count == row.pause);
}

// An instance is cut off while a server leaves without a word. The cut ends
// just as a call has begun to hang; the instance waits for its end and its
// pause, lists, and doubts what is missing. If all that lasts too long it still
// sends callers' requests to a server that is about to end, or has ended.
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

// The store was away, and servers that are well have two seconds after its
// return to write themselves in again.
BOOST_AUTO_TEST_CASE(ServersHaveTimeToWriteThemselvesInAgain) {
  BOOST_TEST((kReturnTime >= Millis(2100)));
}

}  // namespace
}  // namespace hibiscuspick::engine
