#include "hibiscuspick/engine/directory.h"

#include <boost/test/unit_test.hpp>

namespace hibiscuspick::engine {
namespace {

ServerEntry Entry(const char* id) {
  ServerEntry entry;
  entry.id = BackendServerId(id);
  return entry;
}

// The store was down for longer than the lifetime of the servers' entries. When
// it returns, healthy servers are missing from its list; callers would be
// refused until these have registered again.
BOOST_AUTO_TEST_CASE(MissingEntriesAreKeptAfterAnOutage) {
  Directory directory;
  ReplaceAll(&directory, {Entry("a"), Entry("b")}, Millis(0));
  RecordStoreFailure(&directory, Millis(5000));
  ReplaceAll(&directory, {Entry("a")}, Millis(6000));
  BOOST_TEST(directory.entries.contains(BackendServerId("b")));
  PutEntry(&directory, Entry("b"));
  BOOST_TEST(!RemoveExpired(&directory, Millis(20000)));
  BOOST_TEST(directory.entries.contains(BackendServerId("b")));
}

BOOST_AUTO_TEST_CASE(MissingEntriesExpireAfterTheGracePeriod) {
  Directory directory;
  ReplaceAll(&directory, {Entry("a"), Entry("b")}, Millis(0));
  RecordStoreFailure(&directory, Millis(5000));
  RemoveEntry(&directory, BackendServerId("b"), Millis(6000));
  RemoveEntry(&directory, BackendServerId("b"), Millis(7000));
  BOOST_TEST(!RemoveExpired(&directory, Millis(8000)));
  BOOST_TEST(RemoveExpired(&directory, Millis(8500)));
  BOOST_TEST(!directory.entries.contains(BackendServerId("b")));
}

// A server that is killed disappears from the list. While the store is healthy
// its entry must be removed at once, or it would still get requests.
BOOST_AUTO_TEST_CASE(MissingEntriesAreRemovedAtOnceWithoutAnOutage) {
  Directory directory;
  ReplaceAll(&directory, {Entry("a"), Entry("b")}, Millis(0));
  RemoveEntry(&directory, BackendServerId("b"), Millis(1000));
  BOOST_TEST(!directory.entries.contains(BackendServerId("b")));
}

// During store trouble a valid entry is overwritten with an invalid one. It has
// not expired: if it were kept, the server would get requests for two more
// seconds, and the entry would come back with the next list.
BOOST_AUTO_TEST_CASE(InvalidEntriesAreRemovedAtOnce) {
  Directory directory;
  RecordStoreFailure(&directory, Millis(1000));
  ReplaceAll(&directory, {Entry("a"), Entry("b")}, Millis(1000));
  RemoveEntry(&directory, BackendServerId("a"), Millis(1100));
  RemoveEntryNow(&directory, BackendServerId("a"));
  RemoveEntryNow(&directory, BackendServerId("b"));
  BOOST_TEST(directory.entries.empty());
  BOOST_TEST(!NextExpiry(directory).has_value());
  PutEntry(&directory, Entry("b"));
  BOOST_TEST(directory.entries.contains(BackendServerId("b")));
}

}  // namespace
}  // namespace hibiscuspick::engine
