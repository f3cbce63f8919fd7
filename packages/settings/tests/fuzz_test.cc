#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/settings/daemon_settings.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/settings/object_json.h"
#include "mutation.h"

namespace data = boost::unit_test::data;

namespace hibiscuspick::settings {
namespace {

constexpr int kRounds = 4000;

constexpr std::string_view kTokens[] = {"\"",
                                        "{",
                                        "}",
                                        "[",
                                        "]",
                                        ",",
                                        ":",
                                        "null",
                                        "true",
                                        "-1",
                                        "0",
                                        "1e400",
                                        "1e-400",
                                        "1.5",
                                        "18446744073709551616",
                                        "4294967296",
                                        "65536",
                                        "//",
                                        "/*",
                                        "\\ud800",
                                        "\\u0000",
                                        "\xff",
                                        "\"id\":",
                                        "\"slots\":",
                                        "127.0.0.1:0",
                                        "\"urgent\"",
                                        "\"b1\"",
                                        "\"p1\"",
                                        "[[[[[[[[",
                                        "\"deleted\":true,",
                                        "\"writes\":",
                                        "\"previous\":",
                                        "\"value\":"};

std::optional<std::string> NoEnvironment(const std::string& /*name*/) {
  return std::nullopt;
}

// Parses a value and serialises the result; nullopt if it is rejected.
using RoundTrip = std::function<std::optional<Json>(const Json&)>;

template <class T>
std::optional<Json> Serialise(const Checked<T>& it) {
  if (!IsValid(it)) {
    // A rejection must give the operator a reason.
    BOOST_TEST(!FaultsOf(it).empty());
    return std::nullopt;
  }
  return ToJson(ValidValue(it));
}

std::optional<Json> SerialiseEnvelope(const Json& value) {
  const auto read = ReadEnvelope(value);
  if (!IsOk(read)) return std::nullopt;
  return ToJson(ValueOf(read));
}

struct FuzzRow {
  const char* name;
  std::string_view text;
  RoundTrip round_trip;
};
std::ostream& operator<<(std::ostream& out, const FuzzRow& row) {
  return out << row.name;
}

const FuzzRow kRows[] = {
    {"service",
     R"({"backend_servers":[{"id":"b1","address":"127.0.0.1:9101",)"
     R"("data_centre":"osl-1","slots":2,"max_connections":25},)"
     R"({"id":"b2","address":"127.0.0.1:9102","data_centre":"osl-2"}]})",
     [](const Json& it) { return Serialise(ReadService(ServiceId("s"), it)); }},
    {"route",
     R"({"snapshot":"all","lane":"urgent","prefer":"coverage",)"
     R"("services":["s1","s2"]})",
     [](const Json& it) { return Serialise(ReadRoute(RouteId("r"), it)); }},
    {"snapshot",
     R"({"id":"2026-12-02a","index_version":7,"shards":[{"shard":"p1",)"
     R"("service":"s1","documents":100,"backend_servers":["b1"]},)"
     R"({"shard":"p2","service":"s2","documents":0}]})",
     [](const Json& it) {
       return Serialise(ReadSnapshot(SnapshotName("all"), Revision(3), it));
     }},
    {"drain", R"({"reason":"new disk"})",
     [](const Json& it) {
       return Serialise(ReadDrain(BackendServerId("b1"), it));
     }},
    {"envelope",
     R"({"deleted":false,"writes":[{"id":"w1","version":4},{"id":"w2",)"
     R"("version":0}],"previous":[{"version":3,"value":{"id":"a"}}],)"
     R"("value":{"id":"b","index_version":8}})",
     SerialiseEnvelope},
};

const std::string_view kDaemonSettings =
    R"({"instance":"osl-1-a","data_centre":"osl-1","listen":{)"
    R"("callers":"127.0.0.1:8001","operators":"127.0.0.1:8101",)"
    R"("inner":"127.0.0.1:8201"},"platform":"127.0.0.1:9000",)"
    R"("peers":["127.0.0.1:8202"],"operator_token":"t","inner_key":"k",)"
    R"(/* less */"log":{"level":"warn"},"balancer_lag_ms":5000,)"
    R"("traffic":{"max_attempts":512},"platform_calls":{"burst":100}})";

}  // namespace

// A value is damaged in transit, or an operator's script writes an unexpected
// one. A daemon that crashed on it would crash again on each restart, since the
// platform keeps the value. One that parsed it differently from what it
// serialises would disagree with other instances about the configuration.
BOOST_DATA_TEST_CASE(accepted_values_survive_a_round_trip, data::make(kRows),
                     row) {
  Random random(1);
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < kRounds; ++i) {
    const std::string text =
        testing::Mutate(std::string(row.text), kTokens, &random);
    const auto parsed = ParseJson(text);
    if (!IsOk(parsed)) continue;
    const auto written = row.round_trip(ValueOf(parsed));
    if (!written) {
      ++refused;
      continue;
    }
    ++accepted;
    const auto again = ParseJson(DumpJson(*written));
    BOOST_REQUIRE_MESSAGE(IsOk(again), text);
    const auto rewritten = row.round_trip(ValueOf(again));
    BOOST_REQUIRE_MESSAGE(rewritten.has_value(), text);
    BOOST_REQUIRE_MESSAGE(*rewritten == *written, text);
  }
  // Otherwise the mutations would test only one side.
  BOOST_TEST(accepted > 0);
  BOOST_TEST(refused > 0);
}

// A settings file is truncated or mistyped. The daemon must report the path and
// exit; one that started without a token would let anyone change the
// configuration.
BOOST_AUTO_TEST_CASE(damaged_daemon_settings_are_rejected_or_complete) {
  Random random(2);
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < kRounds; ++i) {
    const std::string text =
        testing::Mutate(std::string(kDaemonSettings), kTokens, &random);
    const auto read = ReadDaemonSettings(text, NoEnvironment);
    if (!IsValid(read)) {
      ++refused;
      BOOST_REQUIRE_MESSAGE(!FaultsOf(read).empty(), text);
      continue;
    }
    ++accepted;
    const DaemonSettings& it = ValidValue(read);
    BOOST_REQUIRE_MESSAGE(!it.instance.text.empty(), text);
    BOOST_REQUIRE_MESSAGE(!it.operator_token.empty(), text);
    BOOST_REQUIRE_MESSAGE(!it.inner_key.empty(), text);
    BOOST_REQUIRE_MESSAGE(!(it.callers == it.operators), text);
    BOOST_REQUIRE_MESSAGE(!(it.callers == it.inner), text);
    BOOST_REQUIRE_MESSAGE(it.max_attempts > 0, text);
    BOOST_REQUIRE_MESSAGE(it.stop_timeout.count >= 0, text);
  }
  BOOST_TEST(accepted > 0);
  BOOST_TEST(refused > 0);
}

}  // namespace hibiscuspick::settings
