// Tests the HTTP client against the platform's stand-in, so that both agree on
// the meaning of each call.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "hibiscuspick/platform/accept_write.h"
#include "hibiscuspick/platform/http_calls.h"
#include "hibiscuspick/platform/watch_loop.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/standins/platform_standin.h"

namespace hp = hibiscuspick;
namespace hpp = hibiscuspick::platform;
using hp::Code;
using hp::Json;
using hp::Revision;

namespace {

constexpr char kName[] = "settings/customer/c";

struct Fixture {
  hp::standins::PlatformStandin platform;
  hpp::Calls calls;

  Fixture() {
    BOOST_REQUIRE(IsOk(platform.Start("127.0.0.1", 0)));
    hpp::HttpCallLimits limits;
    limits.timeout = hp::Millis(300);
    calls = hpp::MakeHttpCalls({"127.0.0.1", platform.port()}, limits);
  }
  hpp::WriteState Write(const std::string& id,
                        std::optional<Revision> expected) const {
    const auto next =
        hp::settings::NextEnvelope(std::nullopt, {}, Json::object(), id, false);
    hpp::WriteState state;
    state.write_id = id;
    state.expected = expected;
    return RunWrite(calls, kName, ToJson(next), state, [] {});
  }
};

template <class T>
Code CodeOf(const hp::Result<T>& result) {
  return IsOk(result) ? Code::kOk : ErrorOf(result).code;
}

}  // namespace

BOOST_AUTO_TEST_CASE(written_objects_are_listed_watched_and_read) {
  Fixture bench;
  BOOST_TEST((CodeOf(bench.calls.get("config", kName)) == Code::kNotFound));
  const auto empty = bench.calls.list("config", Revision());
  BOOST_REQUIRE(IsOk(empty));
  BOOST_TEST(ValueOf(empty).complete_to.value == 0);
  const auto first = bench.Write("w1", std::nullopt);
  BOOST_TEST((first.outcome == hpp::WriteOutcome::kAccepted));
  const auto second = bench.Write("w2", first.version);
  BOOST_TEST((second.outcome == hpp::WriteOutcome::kAccepted));
  BOOST_TEST((bench.Write("w3", first.version).outcome ==
              hpp::WriteOutcome::kConflict));
  const auto changes =
      bench.calls.watch("config", first.version, hp::Millis(60000));
  BOOST_REQUIRE(IsOk(changes));
  BOOST_REQUIRE(ValueOf(changes).objects.size() == 1);
  BOOST_TEST(ValueOf(changes).objects[0].name == kName);
  BOOST_TEST((ValueOf(changes).objects[0].version == second.version));
  BOOST_TEST((ValueOf(changes).complete_to == second.version));
  BOOST_TEST(bench.platform.counts().conflicts == 1);
}

// The platform applies the write and drops the connection. The write must still
// be reported as accepted, with its version.
BOOST_AUTO_TEST_CASE(lost_reply_is_resolved_by_reading_back) {
  Fixture bench;
  hp::standins::PlatformFaults faults;
  faults.lose_put_replies = 1;
  bench.platform.SetFaults(faults);
  const auto state = bench.Write("w1", std::nullopt);
  BOOST_TEST((state.outcome == hpp::WriteOutcome::kAccepted));
  BOOST_TEST(state.version.value == 1);
  BOOST_TEST(bench.platform.counts().lost_replies == 1);
}

// If the platform rejects calls, the write was not applied; if it does not
// answer, the outcome is unknown until it does.
BOOST_AUTO_TEST_CASE(refusing_and_silent_outages_differ) {
  Fixture bench;
  hp::standins::PlatformFaults faults;
  faults.outage = hp::standins::Outage::kRefused;
  bench.platform.SetFaults(faults);
  BOOST_TEST((bench.Write("w1", std::nullopt).outcome ==
              hpp::WriteOutcome::kNotApplied));
  BOOST_TEST((CodeOf(bench.calls.list("config", Revision())) ==
              Code::kPlatformUnavailable));
  faults.outage = hp::standins::Outage::kSilent;
  bench.platform.SetFaults(faults);
  BOOST_TEST(
      (bench.Write("w2", std::nullopt).outcome == hpp::WriteOutcome::kUnknown));
  bench.platform.SetFaults({});
  BOOST_TEST((CodeOf(bench.calls.get("config", kName)) == Code::kNotFound));
}

BOOST_AUTO_TEST_CASE(restore_is_detected) {
  Fixture bench;
  const auto first = bench.Write("w1", std::nullopt);
  const auto backup = bench.platform.Backup();
  const auto second = bench.Write("w2", first.version);
  hp::settings::ConfigStore store;
  const auto follow = [&] {
    const Revision known = store.complete_to;
    const auto changes = bench.calls.list("config", Revision());
    BOOST_REQUIRE(IsOk(changes));
    return ApplyFromPlatform(&store, hpp::ToDelta({}, ValueOf(changes)), known);
  };
  BOOST_TEST(follow().alarms.empty());
  BOOST_REQUIRE(bench.platform.RestoreTo(backup));
  BOOST_TEST(follow().alarms.size() == 1);
  BOOST_TEST((store.objects[kName].version == second.version));
}

BOOST_AUTO_TEST_CASE(instance_list_is_decoded) {
  Fixture bench;
  bench.platform.SetInstanceList(Json::array({{{"id", "a"},
                                               {"address", "127.0.0.1"},
                                               {"inner_port", 8201},
                                               {"data_centre", "osl-1"},
                                               {"state", "live"}}}));
  const auto list = bench.calls.instances();
  BOOST_REQUIRE(IsOk(list));
  BOOST_REQUIRE(ValueOf(list).size() == 1);
  BOOST_TEST(ValueOf(list)[0].inner.port == 8201);
  BOOST_TEST(!ValueOf(list)[0].leaving);
}
