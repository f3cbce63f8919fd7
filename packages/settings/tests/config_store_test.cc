#include "hibiscuspick/settings/config_store.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "hibiscuspick/base/random.h"

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
namespace hps = hibiscuspick::settings;
using hp::Revision;
using hps::ConfigDelta;
using hps::ConfigStore;

namespace {

hps::ConfigObject Object(const std::string& name, uint64_t version,
                         const std::string& text = "v") {
  return {name, Revision(version), text};
}

ConfigStore StoreWith(Revision complete_to,
                      const std::vector<hps::ConfigObject>& objects) {
  ConfigStore store;
  ApplyDelta(&store, {Revision(), complete_to, objects});
  return store;
}

}  // namespace

// Messages between instances arrive out of order, late and duplicated. In any
// order an instance must end with the newest version of each object; otherwise
// an operator's accepted change would be lost there.
BOOST_DATA_TEST_CASE(any_order_ends_in_the_same_store, data::xrange(50), seed) {
  hp::Random random(static_cast<uint64_t>(seed));
  std::vector<ConfigDelta> deltas;
  for (uint64_t i = 1; i <= 30; ++i) {
    const std::string name = "services/s" + std::to_string(random.Below(4));
    deltas.push_back({Revision(i - 1),
                      Revision(i),
                      {Object(name, i, "text " + std::to_string(i))}});
  }
  ConfigStore in_order;
  for (const auto& it : deltas) ApplyDelta(&in_order, it);
  ConfigStore shuffled;
  for (int i = 0; i < 200; ++i) {
    ApplyDelta(&shuffled, deltas[random.Below(deltas.size())]);
  }
  for (const auto& it : deltas) ApplyDelta(&shuffled, it);
  BOOST_TEST(HashOf(shuffled) == HashOf(in_order));
  BOOST_TEST((shuffled.objects == in_order.objects));
  BOOST_TEST(shuffled.complete_to.value == 30);
}

// A message between two instances is lost. The next one must not raise the
// receiver's watermark: it would never request the missing change and would
// keep serving old settings.
BOOST_AUTO_TEST_CASE(a_gap_does_not_raise_the_watermark) {
  auto store = StoreWith(Revision(10), {Object("routes/a", 3)});
  const auto applied = ApplyDelta(
      &store, {Revision(12), Revision(15), {Object("routes/b", 14)}});
  BOOST_TEST(applied.gap);
  BOOST_TEST(store.complete_to.value == 10);
  BOOST_TEST(store.objects.contains("routes/b"));
  const auto repair = DeltaSince(
      StoreWith(Revision(15), {Object("routes/c", 11), Object("routes/b", 14)}),
      store.complete_to);
  BOOST_TEST(!ApplyDelta(&store, repair).gap);
  BOOST_TEST(store.complete_to.value == 15);
  BOOST_TEST(store.objects.contains("routes/c"));
}

// An object is deleted while a peer is partitioned. When the peer returns with
// the old value, the object must stay deleted.
BOOST_AUTO_TEST_CASE(a_deleted_object_does_not_come_back) {
  const auto stale = StoreWith(Revision(5), {Object("services/s", 5)});
  auto store = StoreWith(Revision(9), {Object("services/s", 9, "deleted")});
  const auto applied = ApplyDelta(&store, DeltaSince(stale, Revision()));
  BOOST_TEST(applied.changed.empty());
  BOOST_TEST(applied.alarms.empty());
  BOOST_TEST(store.objects["services/s"].text == "deleted");
}

// The platform is restored from an old backup. Its values must not replace what
// operators were told is in force; they raise an alarm instead.
BOOST_AUTO_TEST_CASE(a_restored_platform_is_rejected_with_an_alarm) {
  auto store = StoreWith(Revision(20), {Object("settings/system", 18, "new")});
  const auto before = HashOf(store);
  const ConfigDelta old{
      Revision(),
      Revision(12),
      {Object("settings/system", 7, "old"), Object("routes/r", 12, "old")}};
  const auto applied = ApplyFromPlatform(&store, old, store.newest);
  BOOST_REQUIRE(applied.alarms.size() == 1);
  BOOST_TEST((applied.alarms[0].code == hp::Code::kPlatformWentBack));
  BOOST_TEST(HashOf(store) == before);
}

// After a restore the platform's counter grows past its old value, so that the
// revision alone looks right. Comparing the full listing still finds the
// objects that are older there or missing, and keeps the local ones.
BOOST_AUTO_TEST_CASE(
    a_restored_platform_with_newer_writes_is_detected_by_object) {
  auto store = StoreWith(Revision(20),
                         {Object("settings/system", 18, "new"),
                          Object("routes/gone", 19), Object("routes/same", 4)});
  const auto applied =
      ApplyFromPlatform(&store,
                        {Revision(),
                         Revision(25),
                         {Object("settings/system", 7, "old"),
                          Object("routes/same", 4), Object("routes/new", 22)}},
                        store.newest);
  BOOST_REQUIRE(applied.alarms.size() == 2);
  BOOST_TEST(applied.alarms[0].place == "routes/gone");
  BOOST_TEST(applied.alarms[1].place == "settings/system");
  BOOST_TEST(store.objects["settings/system"].text == "new");
  BOOST_TEST(store.objects["routes/new"].version.value == 22);
}

// The platform is restored after it accepted writes from this instance that no
// listing had contained yet. The watermark alone is below the restored
// revision, so that the old values would be accepted as new ones.
BOOST_AUTO_TEST_CASE(a_restore_below_single_accepted_writes_is_detected) {
  auto store = StoreWith(Revision(53), {Object("settings/system", 53)});
  ApplyDelta(&store, {{}, {}, {Object("settings/system", 56, "accepted")}});
  BOOST_TEST(store.newest.value == 56);
  const auto applied = ApplyFromPlatform(
      &store,
      {Revision(53), Revision(54), {Object("settings/system", 54, "other")}},
      store.newest);
  BOOST_TEST(applied.alarms.size() == 1);
  BOOST_TEST(store.complete_to.value == 53);
}

// A peer sends newer changes while a watch is still waiting for its answer. The
// late answer is older than the store by then, but nothing was restored, so it
// must not raise an alarm.
BOOST_AUTO_TEST_CASE(a_slow_answer_is_not_a_restore) {
  auto store = StoreWith(Revision(10), {});
  const Revision known = store.newest;
  ApplyDelta(&store, {Revision(10), Revision(14), {Object("routes/a", 14)}});
  const auto applied = ApplyFromPlatform(
      &store, {Revision(10), Revision(12), {Object("routes/a", 12)}}, known);
  BOOST_TEST(applied.alarms.empty());
  BOOST_TEST(store.objects["routes/a"].version.value == 14);
  BOOST_TEST(store.complete_to.value == 14);
}

// One version with two contents means that the platform's counter was reset and
// assigned a number twice. Two instances would differ permanently.
BOOST_AUTO_TEST_CASE(one_version_with_two_contents_raises_an_alarm) {
  auto store = StoreWith(Revision(5), {Object("routes/a", 5, "one")});
  const auto applied = ApplyDelta(
      &store, {Revision(), Revision(5), {Object("routes/a", 5, "two")}});
  BOOST_REQUIRE(applied.alarms.size() == 1);
  BOOST_TEST(applied.alarms[0].place == "routes/a");
  BOOST_TEST(store.objects["routes/a"].text == "one");
}

// An accepted write is applied before the platform's watch reports it. Other
// changes before it may still be unknown, so the watermark stays.
BOOST_AUTO_TEST_CASE(an_accepted_write_does_not_raise_the_watermark) {
  auto store = StoreWith(Revision(5), {});
  const auto generation = store.generation;
  const auto applied = ApplyDelta(&store, {{}, {}, {Object("routes/a", 9)}});
  BOOST_TEST(applied.changed.size() == 1);
  BOOST_TEST(store.complete_to.value == 5);
  BOOST_TEST(store.generation > generation);
}

// All instances start on an empty platform. If its empty answer counted as no
// answer, no operator could ever write the first object.
BOOST_AUTO_TEST_CASE(an_empty_platform_counts_as_an_answer) {
  ConfigStore store;
  ApplyDelta(&store, {{}, {}, {}});
  BOOST_TEST(!store.loaded);
  BOOST_TEST(
      ApplyFromPlatform(&store, {{}, {}, {}}, Revision()).watermark_raised);
  BOOST_TEST(store.loaded);
  BOOST_TEST(
      !ApplyFromPlatform(&store, {{}, {}, {}}, Revision()).watermark_raised);
  BOOST_TEST(store.complete_to.value == 0);
}
