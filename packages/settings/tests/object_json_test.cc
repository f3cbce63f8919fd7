#include "hibiscuspick/settings/object_json.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "hibiscuspick/settings/object_name.h"

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
namespace hps = hibiscuspick::settings;
using hp::Json;
using hps::FaultsOf;
using hps::IsValid;
using hps::ValidValue;

namespace {

struct ObjectCase {
  std::string name;
  hps::ObjectKind kind;
  std::string text;
  std::vector<std::string> places;
};
std::ostream& operator<<(std::ostream& out, const ObjectCase& it) {
  return out << it.name;
}

using enum hps::ObjectKind;

const ObjectCase kObjects[] = {
    {"service",
     kService,
     R"({"backend_servers": [{"id": "b1", "address": "127.0.0.1:9101",
         "data_centre": "osl-1", "slots": 2, "max_connections": 25}]})",
     {}},
    {"service without servers",
     kService,
     R"({"backend_servers": []})",
     {"$.backend_servers"}},
    {"service with many faults",
     kService,
     R"({"backend_servers": [
         {"id": "b1", "address": "127.0.0.1:1", "data_centre": "d"},
         {"id": "b1", "address": "127.0.0.1:1", "data_centre": "d",
          "slots": 0},
         {"id": "b/2", "address": "host:1", "colour": 1}], "x": 1})",
     {"$.backend_servers[1].slots", "$.backend_servers[2].id",
      "$.backend_servers[2].address", "$.backend_servers[2].data_centre",
      "$.backend_servers[2].colour", "$.backend_servers[1].id",
      "$.backend_servers[1].address", "$.x"}},
    {"service that is a list", kService, "[]", {"$", "$.backend_servers"}},
    {"route",
     kRoute,
     R"({"snapshot": "policies", "lane": "urgent", "prefer": "coverage",
         "services": ["a", "b"]})",
     {}},
    {"route with faults",
     kRoute,
     R"({"lane": "fast", "prefer": 1, "services": ["a", "a", 7]})",
     {"$.snapshot", "$.lane", "$.prefer", "$.services[1]", "$.services[2]"}},
    {"snapshot",
     kSnapshot,
     R"({"id": "2026-12-02a", "index_version": 7, "shards": [
         {"shard": "p2", "service": "claims-02", "documents": 100,
          "backend_servers": ["b3", "b4"]}]})",
     {}},
    {"snapshot with a double shard",
     kSnapshot,
     R"({"id": "x", "index_version": 7, "shards": [
         {"shard": "p", "service": "s", "documents": 1},
         {"shard": "p", "service": "s", "documents": 1}]})",
     {"$.shards[1].shard"}},
    {"snapshot with faults",
     kSnapshot,
     R"({"id": "x", "index_version": 0, "shards": [
         {"shard": "p", "service": "s", "documents": -1},
         {"shard": "q", "service": "s", "documents": 1e300}]})",
     {"$.index_version", "$.shards[0].documents", "$.shards[1].documents"}},
    {"snapshot with numbers that would wrap",
     kSnapshot,
     R"({"id": "x", "index_version": 18446744073709551615, "shards": [
         {"shard": "p", "service": "s", "documents": 9007199254740992},
         {"shard": "q", "service": "s", "documents": 1}]})",
     {"$.index_version", "$.shards"}},
    {"drain", kDrain, R"({"reason": "disk"})", {}},
    {"drain with faults",
     kDrain,
     R"({"reason": 1, "until": 2})",
     {"$.reason", "$.until"}},
};

std::vector<std::string> PlacesOf(const std::vector<hps::Fault>& faults) {
  std::vector<std::string> places;
  for (const auto& it : faults) places.push_back(it.place);
  return places;
}

// Checks the faults, and that a valid value is unchanged by ToJson.
template <class T>
void Check(const hps::Checked<T>& result, const ObjectCase& it) {
  BOOST_TEST(PlacesOf(FaultsOf(result)) == it.places,
             boost::test_tools::per_element());
  if (IsValid(result))
    BOOST_TEST(ToJson(ValidValue(result)) == Json::parse(it.text));
}

}  // namespace

BOOST_DATA_TEST_CASE(all_faults_of_an_object_are_reported, data::make(kObjects),
                     it) {
  const Json value = Json::parse(it.text);
  if (it.kind == kService) {
    Check(hps::ReadService(hp::ServiceId("s"), value), it);
  } else if (it.kind == kRoute) {
    Check(hps::ReadRoute(hp::RouteId("r"), value), it);
  } else if (it.kind == kSnapshot) {
    Check(hps::ReadSnapshot(hp::SnapshotName("n"), hp::Revision(1), value), it);
  } else {
    Check(hps::ReadDrain(hp::BackendServerId("b"), value), it);
  }
}

struct NameCase {
  std::string text;
  bool good;
};
std::ostream& operator<<(std::ostream& out, const NameCase& it) {
  return out << it.text;
}

const NameCase kNames[] = {
    {"services/claims-02", true},
    {"settings/system", true},
    {"settings/customer/c", true},
    {"settings/default", false},
    {"settings/customer/", false},
    {"settings/customer/a/b", false},
    {"services/", false},
    {"services/..", false},
    {"services/a b", false},
    {"machines/a", false},
    {"services", false},
    {"", false},
    {"drains/" + std::string(100, 'b'), true},
    {"drains/" + std::string(101, 'b'), false},
};

BOOST_DATA_TEST_CASE(object_names_are_validated, data::make(kNames), it) {
  const auto name = hps::ParseObjectName(it.text);
  BOOST_TEST(name.has_value() == it.good);
  if (name) BOOST_TEST(ToText(*name) == it.text);
}
