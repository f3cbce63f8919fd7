#include "hibiscuspick/settings/settings_tree.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
namespace hps = hibiscuspick::settings;
using hp::Json;
using hps::FaultsOf;
using hps::IsValid;
using hps::ValidValue;

namespace {

void Set(hps::SettingsTree* tree, const std::string& path,
         const std::string& text) {
  const auto node = hps::ParseTreePath(path);
  BOOST_REQUIRE(node.has_value());
  const auto values = hps::ReadLevelValues(node->level, Json::parse(text));
  BOOST_REQUIRE_MESSAGE(IsValid(values), hps::ToText(FaultsOf(values)));
  SetLevel(tree, *node, ValidValue(values));
}

hps::SettingsTree MakeTree() {
  hps::SettingsTree tree;
  Set(&tree, "system", R"({"deadline_ms": 300, "hedge_budget": 0.04,
                           "max_limit": 500, "sending_policy": "direct"})");
  Set(&tree, "data_centre/osl-1", R"({"deadline_ms": 250})");
  Set(&tree, "customer/c1", R"({"deadline_ms": 100, "max_limit": 900,
                                "customer_rate_limit": 5})");
  Set(&tree, "customer/c2", R"({"max_limit": 9})");
  Set(&tree, "service/s1", R"({"hedge_budget": 0.5, "hedge_enabled": false})");
  Set(&tree, "route/r1", R"({"deadline_ms": 50})");
  return tree;
}

const hp::DataCentreId kHere("osl-1");

struct ResolveCase {
  std::string name;
  hps::Scope scope;
  hps::Key key;
  double number;
  hps::Level level;
  bool capped;
};
std::ostream& operator<<(std::ostream& out, const ResolveCase& it) {
  return out << it.name;
}

using enum hps::Key;
using enum hps::Level;

const ResolveCase kCases[] = {
    {"the table's own value", {}, kHedgeMinMs, 2, kDefault, false},
    {"the system's", {}, kDeadlineMs, 300, kSystem, false},
    {"the data centre's",
     {kHere, {}, {}, {}},
     kDeadlineMs,
     250,
     kDataCentre,
     false},
    {"the customer's",
     {kHere, hp::CustomerId("c1"), {}, {}},
     kDeadlineMs,
     100,
     kCustomer,
     false},
    {"another customer's",
     {kHere, hp::CustomerId("c2"), {}, {}},
     kDeadlineMs,
     250,
     kDataCentre,
     false},
    {"the route's goes first",
     {kHere, hp::CustomerId("c1"), {}, hp::RouteId("r1")},
     kDeadlineMs,
     50,
     kRoute,
     false},
    {"a customer can't take more",
     {kHere, hp::CustomerId("c1"), {}, {}},
     kMaxLimit,
     500,
     kCustomer,
     true},
    {"a customer may take less",
     {kHere, hp::CustomerId("c2"), {}, {}},
     kMaxLimit,
     9,
     kCustomer,
     false},
    {"a service can't hedge more",
     {kHere, {}, hp::ServiceId("s1"), {}},
     kHedgeBudget,
     0.04,
     kService,
     true},
    {"a flag",
     {kHere, {}, hp::ServiceId("s1"), {}},
     kHedgeEnabled,
     0,
     kService,
     false},
    {"a choice", {}, kSendingPolicy, 1, kSystem, false},
    {"an unknown customer",
     {kHere, hp::CustomerId("zz"), {}, {}},
     kCustomerConcurrencyLimit,
     512,
     kDefault,
     false},
};

struct FaultCase {
  std::string name;
  hps::Level level;
  std::string text;
  std::vector<std::string> places;
};
std::ostream& operator<<(std::ostream& out, const FaultCase& it) {
  return out << it.name;
}

const FaultCase kInvalid[] = {
    {"everything wrong at once",
     kSystem,
     R"({"deadline_ms": "200", "limit": 1.5, "min_coverage": 1.01,
         "hedge_enabled": 1, "sending_policy": "both", "colour": 1})",
     {"$.deadline_ms", "$.limit", "$.min_coverage", "$.sending_policy",
      "$.hedge_enabled", "$.colour"}},
    {"not at this level",
     kCustomer,
     R"({"hedge_budget": 0.1, "eject_ms": 1000, "record_window_ms": 60000})",
     {"$.hedge_budget", "$.eject_ms", "$.record_window_ms"}},
    {"not an object", kRoute, "7", {"$"}},
};

}  // namespace

BOOST_DATA_TEST_CASE(values_are_inherited_and_overridden, data::make(kCases),
                     it) {
  const auto tree = MakeTree();
  const auto value = Resolve(tree, it.scope, it.key);
  BOOST_TEST(value.number == it.number);
  BOOST_TEST((value.level == it.level));
  BOOST_TEST(value.capped == it.capped);
  const auto all = ResolveAll(tree, it.scope);
  BOOST_TEST(hps::FractionOf(all, it.key) == it.number);
}

BOOST_DATA_TEST_CASE(all_faults_of_a_node_are_reported, data::make(kInvalid),
                     it) {
  std::vector<std::string> places;
  const auto result = hps::ReadLevelValues(it.level, Json::parse(it.text));
  for (const auto& fault : FaultsOf(result)) places.push_back(fault.place);
  BOOST_TEST(places == it.places, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(defaults_are_within_their_own_ranges) {
  for (const auto& row : hps::KeyTable()) {
    BOOST_TEST(row.fallback >= row.min, row.name);
    BOOST_TEST(row.fallback <= row.max, row.name);
    BOOST_TEST(IsAllowedAt(row, kSystem), row.name);
    const Json node = {{std::string(row.name), ToJson(row, row.fallback)}};
    BOOST_TEST(IsValid(hps::ReadLevelValues(kSystem, node)), row.name);
  }
}

BOOST_AUTO_TEST_CASE(effective_values_name_their_level) {
  const Json all =
      EffectiveJson(MakeTree(), {kHere, hp::CustomerId("c1"), {}, {}});
  BOOST_TEST(all.size() == hps::kKeyCount);
  BOOST_TEST(all["max_limit"] ==
             Json({{"value", 500}, {"level", "customer"}, {"capped", true}}));
  BOOST_TEST(all["sending_policy"] ==
             Json({{"value", "direct"}, {"level", "system"}}));
}
