#include "hibiscuspick/settings/edge_settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "hibiscuspick/base/json.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::settings {
namespace {

Json ValidSettings() {
  return Json::parse(R"({"instance": "a-1", "data_centre": "a", "edge": {
    "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "store": "10.0.0.2:3",
    "news": "10.0.0.1:4", "queries": "10.0.0.1:5", "processor": 0.25,
    "limits": {"memory_mb": 260, "descriptors": 4100},
    "extra_attempts": {"ratio": 0.2, "window_ms": 10000, "slack": 52},
    "cold_servers": {"overage": 1.5, "slack": 5},
    "allowances": {"window_ms": 2.5e3, "overage": 0.1, "slack": 20},
    "client_keys": {"strict_revocation": true, "max_age_ms": 7000},
    "regions": {"a": "north", "b": "south"}, "grace_ms": 6000}})");
}

BOOST_AUTO_TEST_CASE(ValidFile) {
  const auto checked = ReadEdgeSettings(ValidSettings().dump());
  BOOST_TEST_REQUIRE(IsValid(checked));
  const auto& settings = ValidValue(checked);
  BOOST_TEST(settings.cpu_cores == 0.25);
  BOOST_TEST(settings.memory_mb == 260);
  BOOST_TEST(settings.descriptors == 4100);
  BOOST_TEST(settings.extra_slack == 52);
  BOOST_TEST(settings.extra_window.count == 10000);
  BOOST_TEST(ToText(settings.updates) == "10.0.0.1:4");
  BOOST_TEST(settings.cold_overage == 1.5);
  BOOST_TEST(settings.cold_slack == 5);
  BOOST_TEST(settings.allowance_window.count == 2500);
  BOOST_TEST(settings.allowance_overage == 0.1);
  BOOST_TEST(settings.allowance_slack == 20);
  BOOST_TEST(settings.strict_revocation);
  BOOST_TEST(settings.max_key_age.count == 7000);
  BOOST_TEST(!EdgeSettings().strict_revocation);
  BOOST_TEST(settings.regions.at(DataCentreId("b")) == "south");
  BOOST_TEST(IsEdgeSettings(ValidSettings().dump()));
  BOOST_TEST(!IsEdgeSettings("{}"));
  BOOST_TEST(!IsEdgeSettings("{\"edge\": {"));
}

// Every mechanism is on unless the file switches it off by its name.
BOOST_AUTO_TEST_CASE(MechanismsAreOnUnlessSwitchedOff) {
  for (const auto& off : kMechanismNames) {
    Json file = ValidSettings();
    file["edge"]["policy"][std::string(off.name)] = false;
    const auto checked = ReadEdgeSettings(file.dump());
    BOOST_TEST_REQUIRE(IsValid(checked));
    for (const auto& it : kMechanismNames) {
      const bool expected = it.name != off.name;
      BOOST_TEST((ValidValue(checked).mechanisms.*it.field) == expected);
    }
  }
}

struct BadRow {
  const char* pointer;
  Json value;
  const char* place;
};

std::ostream& operator<<(std::ostream& out, const BadRow& row) {
  return out << row.pointer;
}

const BadRow kBad[] = {
    {"/instance", 3, "$.instance"},
    {"/data_centre", "a b", "$.data_centre"},
    {"/surprise", 1, "$.surprise"},
    {"/edge/store", "name:80", "$.edge.store"},
    {"/edge/callers", nullptr, "$.edge.callers"},
    {"/edge/processor", "half", "$.edge.processor"},
    {"/edge/grace_ms", 10, "$.edge.grace_ms"},
    {"/edge/instances", 0, "$.edge.instances"},
    {"/edge/extra_attempts/ratio", -1, "$.edge.extra_attempts.ratio"},
    {"/edge/extra_attempts/slck", 1, "$.edge.extra_attempts.slck"},
    {"/edge/cold_servers/overage", -1, "$.edge.cold_servers.overage"},
    {"/edge/cold_servers/slak", 1, "$.edge.cold_servers.slak"},
    {"/edge/client_keys/strict_revocation", 1,
     "$.edge.client_keys.strict_revocation"},
    {"/edge/client_keys/max_age_ms", 0, "$.edge.client_keys.max_age_ms"},
    {"/edge/client_keys/max_age", 1, "$.edge.client_keys.max_age"},
    {"/edge/regions", "north", "$.edge.regions"},
    {"/edge/regions/a", 3, "$.edge.regions.a"},
    {"/edge/policy/hedgin", false, "$.edge.policy.hedgin"},
    {"/edge/policy/hedging", 0, "$.edge.policy.hedging"},
    {"/edge/log", Json{{"level", "loud"}}, "$.edge.log.level"},
};

// An error in the file must be reported with its path and must not start a
// process with guessed settings.
BOOST_DATA_TEST_CASE(FaultsNameTheirPath, bdata::make(kBad), row) {
  Json file = ValidSettings();
  file[Json::json_pointer(row.pointer)] = row.value;
  const auto faults = FaultsOf(ReadEdgeSettings(file.dump()));
  BOOST_TEST_REQUIRE(faults.size() == 1);
  BOOST_TEST(faults[0].place == row.place);
}

BOOST_AUTO_TEST_CASE(TruncatedFile) {
  const std::string text = ValidSettings().dump();
  BOOST_TEST(!IsValid(ReadEdgeSettings(text.substr(0, text.size() / 2))));
}

}  // namespace
}  // namespace hibiscuspick::settings
