#include "hibiscuspick/engine/store_retry.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "hibiscuspick/engine/directory.h"
#include "hibiscuspick/engine/update_sources.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

struct DelayRow {
  const char* name;
  StoreFailure failure;
  int failures;
  double delay;
};

std::ostream& operator<<(std::ostream& out, const DelayRow& it) {
  return out << it.name;
}

const DelayRow kDelays[] = {
    {"first failure", StoreFailure::kUnreachable, 1, 100},
    {"second failure", StoreFailure::kUnreachable, 2, 200},
    {"long unreachable", StoreFailure::kUnreachable, 50, 400},
    {"long refused", StoreFailure::kRefused, 50, 1000},
};

BOOST_DATA_TEST_CASE(RetryDelaysGrowToABound, bdata::make(kDelays), row) {
  BOOST_TEST(RetryDelay(row.failure, row.failures, 1.0).count == row.delay);
}

// An instance is cut off from the store while a server is killed. The
// connection recovers just after a call has begun to hang. The instance waits
// for its timeout and the retry delay, lists, and keeps the missing entry for
// its grace period. If all this takes too long, it still sends requests to a
// server that has ended.
BOOST_AUTO_TEST_CASE(CutOffInstanceLearnsOfRemovalsInTime) {
  const Millis recovery = MaxRecoveryTime();
  Directory directory;
  ServerEntry entry;
  entry.id = BackendServerId("leaves-without-a-word");
  ReplaceAll(&directory, {entry}, Millis(-10000));
  RecordStoreFailure(&directory, recovery - Millis(1));
  ReplaceAll(&directory, {}, recovery);
  BOOST_TEST(directory.entries.contains(entry.id));
  const auto due = NextExpiry(directory);
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST((*due <= kRecoveryTimeLimit - Millis(100)));
  BOOST_TEST(RemoveExpired(&directory, *due));
  BOOST_TEST(!directory.entries.contains(entry.id));
}

// Failure: after a silent loss of connection, servers that left get requests.
BOOST_AUTO_TEST_CASE(SilentWatchLearnsOfRemovalsInTime) {
  constexpr double kMaxJitter = 1.5;
  const Millis detected = ServersWatchWait(std::nullopt) + kWatchTimeoutMargin;
  const Millis answered =
      detected + RetryDelay(StoreFailure::kUnreachable, 1, kMaxJitter);
  Directory directory;
  RecordStoreFailure(&directory, detected);
  ServerEntry entry;
  entry.id = BackendServerId("leaves-without-a-word");
  PutEntry(&directory, entry);
  RemoveEntry(&directory, entry.id, answered);
  const auto due = NextExpiry(directory);
  BOOST_TEST_REQUIRE(due.has_value());
  BOOST_TEST(due->count <= (kRecoveryTimeLimit - Millis(100)).count);
}

// After a store outage, healthy servers need two seconds to register again.
BOOST_AUTO_TEST_CASE(ServersHaveTimeToRegisterAgain) {
  BOOST_TEST((kReregistrationTime >= Millis(2100)));
}

}  // namespace
}  // namespace hibiscuspick::engine
