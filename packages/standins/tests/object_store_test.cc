#include "hibiscuspick/standins/object_store.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace {

using hibiscuspick::standins::ChangesAfter;
using hibiscuspick::standins::Conflict;
using hibiscuspick::standins::Get;
using hibiscuspick::standins::ObjectStore;
using hibiscuspick::standins::Put;
using hibiscuspick::standins::Restore;
using hibiscuspick::standins::TakeBackup;
using hibiscuspick::standins::WatchReady;

constexpr char kKind[] = "config";

// Three writes of two objects: "a" at 1 and 3, "b" at 2.
ObjectStore ThreeWrites() {
  ObjectStore store;
  Put(store, kKind, "a", "1", 0);
  Put(store, kKind, "b", "2", 0);
  Put(store, kKind, "a", "3", 1);
  return store;
}

struct PutRow {
  const char* what;
  const char* name;
  uint64_t expected;
  // 0: a conflict.
  uint64_t version;
};

std::ostream& operator<<(std::ostream& out, const PutRow& row) {
  return out << row.what;
}

const std::vector<PutRow> kPutRows = {
    {"a new object", "c", 0, 4},
    {"a new object that exists", "a", 0, 0},
    {"the version of now", "a", 3, 4},
    {"a version that was", "a", 1, 0},
    {"a version still to come", "a", 4, 0},
    {"a version of no object", "c", 1, 0},
};

struct AfterRow {
  uint64_t after;
  std::vector<std::string> names;
  bool ready;
};

std::ostream& operator<<(std::ostream& out, const AfterRow& row) {
  return out << "after " << row.after;
}

const std::vector<AfterRow> kAfterRows = {
    {0, {"b", "a"}, true}, {1, {"b", "a"}, true}, {2, {"a"}, true},
    {3, {}, false},        {4, {}, true},
};

}  // namespace

BOOST_DATA_TEST_CASE(a_write_counts_only_with_the_right_version, kPutRows) {
  ObjectStore store = ThreeWrites();
  const auto before = Get(store, kKind, sample.name);
  const auto outcome = Put(store, kKind, sample.name, "9", sample.expected);
  if (sample.version != 0) {
    BOOST_REQUIRE(std::holds_alternative<uint64_t>(outcome));
    BOOST_TEST(std::get<uint64_t>(outcome) == sample.version);
    BOOST_TEST(Get(store, kKind, sample.name)->value == "9");
    return;
  }
  BOOST_REQUIRE(std::holds_alternative<Conflict>(outcome));
  const uint64_t current = before ? before->version : 0;
  BOOST_TEST(std::get<Conflict>(outcome).current.version == current);
  BOOST_TEST(store.state.revision == 3U);
}

BOOST_DATA_TEST_CASE(changes_are_the_newest_of_each_object, kAfterRows) {
  const ObjectStore store = ThreeWrites();
  const auto list = ChangesAfter(store, kKind, sample.after);
  BOOST_TEST(list.complete_to == 3U);
  std::vector<std::string> names;
  for (const auto& it : list.changes) names.push_back(it.name);
  BOOST_TEST(names == sample.names, boost::test_tools::per_element());
  BOOST_TEST(WatchReady(store, kKind, sample.after) == sample.ready);
}

BOOST_AUTO_TEST_CASE(one_counter_serves_all_kinds) {
  ObjectStore store = ThreeWrites();
  Put(store, "record", "a", "x", 0);
  BOOST_TEST(Get(store, "record", "a")->version == 4U);
  BOOST_TEST(ChangesAfter(store, kKind, 3).complete_to == 4U);
  BOOST_TEST(!WatchReady(store, kKind, 3));
}

// The platform's operators bring back yesterday's backup. Versions already
// given out are given out again, and a reader sees the counter below its own.
BOOST_AUTO_TEST_CASE(a_restore_takes_the_counter_back) {
  ObjectStore store = ThreeWrites();
  const uint64_t backup = TakeBackup(store);
  Put(store, kKind, "a", "4", 3);
  BOOST_TEST(!Restore(store, backup + 1));
  BOOST_REQUIRE(Restore(store, backup));
  BOOST_TEST(Get(store, kKind, "a")->value == "3");
  BOOST_TEST(WatchReady(store, kKind, 4));
  BOOST_TEST(std::get<uint64_t>(Put(store, kKind, "c", "5", 0)) == 4U);
}
