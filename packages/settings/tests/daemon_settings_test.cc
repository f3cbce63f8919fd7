#include "hibiscuspick/settings/daemon_settings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

namespace data = boost::unit_test::data;
using hibiscuspick::settings::FaultsOf;
using hibiscuspick::settings::IsValid;
using hibiscuspick::settings::ReadDaemonSettings;
using hibiscuspick::settings::ValidValue;

namespace {

std::optional<std::string> Environment(const std::string& name) {
  if (name == "HP_KEY") return "key from the environment";
  return std::nullopt;
}

std::string WithHead(const std::string& rest) {
  return R"({// where it stands
    "instance": "osl-1-a", "data_centre": "osl-1",
    "listen": {"callers": "127.0.0.1:8001", "operators": "127.0.0.1:8101",
               "inner": "127.0.0.1:8201"},
    "platform": "127.0.0.1:9000")" +
         rest + "}";
}

struct FaultCase {
  std::string name;
  std::string text;
  std::vector<std::string> places;
};
std::ostream& operator<<(std::ostream& out, const FaultCase& it) {
  return out << it.name;
}

const FaultCase kInvalid[] = {
    {"not JSON", "{", {"$"}},
    {"an array",
     "[]",
     {"$", "$.instance", "$.data_centre", "$.listen.callers",
      "$.listen.operators", "$.listen.inner", "$.platform", "$.operator_token",
      "$.inner_key"}},
    {"no secrets", WithHead(""), {"$.operator_token", "$.inner_key"}},
    {"an empty token",
     WithHead(R"(,"operator_token": "", "inner_key": "k")"),
     {"$.operator_token"}},
    {"an unset variable",
     WithHead(R"(,"operator_token_env": "HP_NONE", "inner_key": "k")"),
     {"$.operator_token_env"}},
    {"a secret given twice",
     WithHead(R"(,"operator_token": "t", "inner_key": "k",
                 "inner_key_env": "HP_KEY")"),
     {"$.inner_key_env"}},
    {"unknown keys everywhere",
     WithHead(R"(,"operator_token": "t", "inner_key": "k", "colour": 1,
                 "log": {"levle": "info"})"),
     {"$.log.levle", "$.colour"}},
    {"peers that are not addresses",
     WithHead(R"(,"operator_token": "t", "inner_key": "k",
                 "peers": ["127.0.0.1:8202", "host:1", 7])"),
     {"$.peers[1]", "$.peers[2]"}},
    {"values out of range",
     WithHead(R"(,"operator_token": "t", "inner_key": "k",
                 "balancer_lag_ms": -1, "stop_timeout_ms": 1.5,
                 "traffic": {"max_attempts": 0}, "log": {"format": "xml"})"),
     {"$.log.format", "$.balancer_lag_ms", "$.stop_timeout_ms",
      "$.traffic.max_attempts"}},
};

}  // namespace

BOOST_DATA_TEST_CASE(every_fault_is_reported_with_its_path,
                     data::make(kInvalid), it) {
  const auto result = ReadDaemonSettings(it.text, Environment);
  std::vector<std::string> places;
  for (const auto& fault : FaultsOf(result)) places.push_back(fault.place);
  BOOST_TEST(places == it.places, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_valid_file_is_read_with_comments_and_defaults) {
  const auto result = ReadDaemonSettings(
      WithHead(R"(,"operator_token": "t", "inner_key_env": "HP_KEY",
                  "region": "oslo", "log": {"level": "debug"})"),
      Environment);
  BOOST_REQUIRE(IsValid(result));
  const auto& settings = ValidValue(result);
  BOOST_TEST(settings.instance.text == "osl-1-a");
  BOOST_TEST(settings.inner.port == 8201);
  BOOST_TEST(settings.inner_key == "key from the environment");
  BOOST_TEST(settings.log_level == "debug");
  BOOST_TEST(settings.region == "oslo");
  BOOST_TEST(settings.balancer_lag.count == 5000);
}
