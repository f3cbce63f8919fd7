#include "hibiscuspick/settings/configuration.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "hibiscuspick/settings/cross_check.h"
#include "hibiscuspick/settings/envelope.h"

namespace hp = hibiscuspick;
namespace hps = hibiscuspick::settings;
using hp::Json;
using hp::Revision;

namespace {

// Writes objects as an operator's instance does, without a platform.
struct ConfigFixture {
  hps::ConfigStore store;
  uint64_t version = 0;

  std::optional<hps::Envelope> CurrentEnvelope(const std::string& name) const {
    const auto it = store.objects.find(name);
    if (it == store.objects.end()) return std::nullopt;
    return ValueOf(hps::ReadEnvelopeText(it->second.text));
  }
  void Put(const std::string& name, Json value) {
    const auto it = store.objects.find(name);
    const Revision last =
        it == store.objects.end() ? Revision() : it->second.version;
    const auto next =
        NextEnvelope(CurrentEnvelope(name), last, std::move(value),
                     "w" + std::to_string(++version), name[1] == 'n');
    ApplyDelta(&store,
               {Revision(version - 1),
                Revision(version),
                {{name, Revision(version), hp::DumpJson(ToJson(next))}}});
  }
  hps::CheckedWrite Check(const std::string& name, const Json& value) const {
    const auto current = CurrentEnvelope(name);
    return CheckWrite(*BuildConfiguration(store), *hps::ParseObjectName(name),
                      value, current ? &*current : nullptr);
  }
};

Json Service(const std::string& server, int port) {
  return {{"backend_servers",
           {{{"id", server},
             {"address", "127.0.0.1:" + std::to_string(port)},
             {"data_centre", "osl-1"}}}}};
}

Json Manifest(int index_version, int documents = 10,
              const std::string& service = "s",
              const std::string& shard = "p") {
  return {
      {"id", "m" + std::to_string(index_version)},
      {"index_version", index_version},
      {"shards",
       {{{"shard", shard}, {"service", service}, {"documents", documents}}}}};
}

const hp::SnapshotName kName("n");

}  // namespace

// Backend servers drop an old index only some time after the new one is
// announced. An instance that starts in between must still be able to pin it.
BOOST_AUTO_TEST_CASE(the_last_two_manifests_stay_pinnable) {
  ConfigFixture fixture;
  fixture.Put("services/s", Service("b1", 9101));
  for (int i = 1; i <= 4; ++i) fixture.Put("snapshots/n", Manifest(i));
  const auto view = hps::BuildConfiguration(fixture.store);
  BOOST_TEST(hps::NewestManifest(*view, kName)->index_version.value == 4);
  BOOST_TEST(hps::FindManifest(*view, kName, hp::IndexVersion(3)));
  BOOST_TEST(
      hps::FindManifest(*view, kName, hp::IndexVersion(2))->revision.value ==
      3);
  BOOST_TEST(!hps::FindManifest(*view, kName, hp::IndexVersion(1)));
}

BOOST_AUTO_TEST_CASE(a_manifest_written_again_is_kept_once) {
  ConfigFixture fixture;
  fixture.Put("snapshots/n", Manifest(1));
  fixture.Put("snapshots/n", Manifest(2));
  fixture.Put("snapshots/n", Manifest(2));
  const auto view = hps::BuildConfiguration(fixture.store);
  BOOST_TEST(view->snapshots.at(kName).size() == 2);
}

// An operator publishes a snapshot again with a lower or the same index version
// but other shards. Answers gathered under that number would mix two versions.
BOOST_AUTO_TEST_CASE(an_index_version_never_decreases_or_changes_its_shards) {
  ConfigFixture fixture;
  fixture.Put("services/s", Service("b1", 9101));
  fixture.Put("snapshots/n", Manifest(5));
  BOOST_TEST(fixture.Check("snapshots/n", Manifest(6)).faults.empty());
  BOOST_TEST(fixture.Check("snapshots/n", Manifest(5)).faults.empty());
  for (const Json& value :
       {Manifest(4), Manifest(5, 11), Manifest(5, 10, "s", "q")}) {
    const auto checked = fixture.Check("snapshots/n", value);
    BOOST_REQUIRE(checked.faults.size() == 1);
    BOOST_TEST(checked.faults[0].place == "$.index_version");
  }
  // Deleting the snapshot first makes no difference.
  fixture.Put("snapshots/n", nullptr);
  BOOST_TEST(hps::BuildConfiguration(fixture.store)->snapshots.empty());
  BOOST_TEST(fixture.Check("snapshots/n", Manifest(4)).faults.size() == 1);
  BOOST_TEST(fixture.Check("snapshots/n", Manifest(6)).faults.empty());
}

BOOST_AUTO_TEST_CASE(a_manifest_may_only_name_existing_servers) {
  ConfigFixture fixture;
  fixture.Put("services/s", Service("b1", 9101));
  Json wrong = Manifest(1);
  wrong["shards"][0]["backend_servers"] = {"b1", "b9"};
  const auto checked = fixture.Check("snapshots/n", wrong);
  BOOST_REQUIRE(checked.faults.size() == 1);
  BOOST_TEST(checked.faults[0].place == "$.shards[0].backend_servers[1]");
  BOOST_TEST(
      fixture.Check("snapshots/n", Manifest(1, 10, "zz")).faults.size() == 1);
}

// Two services with one backend server would each count its slots as their own
// and overload it.
BOOST_AUTO_TEST_CASE(a_backend_server_belongs_to_one_service) {
  ConfigFixture fixture;
  fixture.Put("services/s", Service("b1", 9101));
  BOOST_TEST(fixture.Check("services/t", Service("b1", 9102)).faults.size() ==
             1);
  BOOST_TEST(fixture.Check("services/t", Service("b2", 9101)).faults.size() ==
             1);
  BOOST_TEST(fixture.Check("services/t", Service("b2", 9102)).faults.empty());
  BOOST_TEST(fixture.Check("services/s", Service("b1", 9103)).faults.empty());
  // Two racing writes may both pass; then there is at least a warning.
  fixture.Put("services/t", Service("b1", 9101));
  BOOST_TEST(!hps::BuildConfiguration(fixture.store)->warnings.empty());
}

BOOST_AUTO_TEST_CASE(an_inconsistency_that_only_reduces_coverage_is_a_warning) {
  ConfigFixture fixture;
  fixture.Put("services/s", Service("b1", 9101));
  fixture.Put("snapshots/n", Manifest(1));
  const auto route = fixture.Check("routes/r", {{"snapshot", "none"}});
  BOOST_TEST(route.faults.empty());
  BOOST_TEST(route.warnings.size() == 1);
  const auto view = hps::BuildConfiguration(fixture.store);
  const auto warnings =
      DeletionWarnings(*view, *hps::ParseObjectName("services/s"));
  BOOST_REQUIRE(warnings.size() == 1);
  BOOST_TEST(warnings[0].place == "snapshots/n $.shards[0].service");
}

// A newer release writes objects that this one can't parse. Dropping one would
// remove its service from every answer, so the last valid value stays in use.
BOOST_AUTO_TEST_CASE(an_unparsable_object_keeps_its_last_value) {
  ConfigFixture fixture;
  fixture.Put("services/s", Service("b1", 9101));
  fixture.Put("settings/system", {{"deadline_ms", 77}});
  fixture.Put("snapshots/n", Manifest(1));
  fixture.Put("routes/r", {{"snapshot", "n"}});
  const auto last = hps::BuildConfiguration(fixture.store);
  BOOST_TEST(last->warnings.empty());
  for (const std::string name :
       {"services/s", "settings/system", "snapshots/n", "routes/r"}) {
    fixture.Put(name, {{"from", "the future"}});
  }
  const auto view = hps::BuildConfiguration(fixture.store, last.get());
  BOOST_TEST(view->services.size() == 1);
  BOOST_TEST(view->routes.size() == 1);
  BOOST_TEST(hps::NewestManifest(*view, kName) ==
             hps::NewestManifest(*last, kName));
  BOOST_TEST(Resolve(view->settings, {}, hps::Key::kDeadlineMs).number == 77);
  BOOST_TEST(view->warnings.size() > 4);
}

// The view is built incrementally from the previous one. Whatever is written,
// invalidated, corrected and deleted on the way, it must equal the view that a
// newly started instance builds, or two instances would serve different
// configurations.
BOOST_AUTO_TEST_CASE(an_incremental_view_equals_one_built_from_scratch) {
  ConfigFixture fixture;
  std::shared_ptr<const hps::Configuration> view;
  const auto step = [&](const std::string& name, const Json& value) {
    fixture.Put(name, value);
    view = hps::BuildConfiguration(fixture.store, view.get());
    const auto fresh = hps::BuildConfiguration(fixture.store);
    BOOST_TEST((view->objects == fresh->objects));
    BOOST_TEST(view->services.size() == fresh->services.size());
    BOOST_TEST(view->routes.size() == fresh->routes.size());
    BOOST_TEST(view->snapshots.size() == fresh->snapshots.size());
    BOOST_TEST((view->drains == fresh->drains));
    BOOST_TEST(hps::ToText(view->warnings) == hps::ToText(fresh->warnings));
    BOOST_TEST(
        EffectiveJson(view->settings, {{}, hp::CustomerId("c"), {}, {}}) ==
        EffectiveJson(fresh->settings, {{}, hp::CustomerId("c"), {}, {}}));
  };
  for (int round = 0; round < 2; ++round) {
    step("services/s", Service("b1", 9101));
    step("snapshots/n", Manifest(1 + round));
    step("routes/r", {{"snapshot", "n"}});
    step("settings/system", {{"deadline_ms", 70 + round}});
    step("settings/customer/c", {{"limit", 7}});
    step("drains/b1", Json::object());
    for (const std::string name :
         {"drains/b1", "settings/customer/c", "settings/system", "services/s",
          "routes/r", "snapshots/n"}) {
      step(name, nullptr);
    }
  }
}

BOOST_AUTO_TEST_CASE(only_the_last_write_ids_are_kept) {
  std::optional<hps::Envelope> envelope;
  for (uint64_t i = 1; i <= 10; ++i) {
    envelope = NextEnvelope(envelope, Revision(i - 1), Json::object(),
                            "w" + std::to_string(i), false);
    envelope = ValueOf(hps::ReadEnvelope(ToJson(*envelope)));
  }
  BOOST_TEST(envelope->writes.size() == hps::kKeptWriteIds);
  BOOST_TEST(envelope->writes.front().id == "w3");
  BOOST_TEST(envelope->writes.front().version.value == 3);
  BOOST_TEST(envelope->writes.back().version.value == 0);
}
