#include "hibiscuspick/standins/platform_standin.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "standin_calls.h"

namespace {

using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Json;
using hibiscuspick::standins::BodyOf;
using hibiscuspick::standins::Call;
using hibiscuspick::standins::Eventually;
using hibiscuspick::standins::Outage;
using hibiscuspick::standins::PlatformCall;
using hibiscuspick::standins::PlatformFaults;
using hibiscuspick::standins::PlatformStandin;
using hibiscuspick::standins::StatusOf;

struct Running {
  Running() { BOOST_REQUIRE(IsOk(platform.Start("127.0.0.1", 0))); }
  uint16_t port() { return platform.port(); }
  auto Create(const std::string& name, const std::string& value) {
    return Call(port(), "PUT", "/objects/config/" + name, value,
                {{"If-None-Match", "*"}});
  }
  PlatformStandin platform;
};

struct PutRow {
  const char* header;
  const char* value;
  std::string body;
  int status;
};

std::ostream& operator<<(std::ostream& out, const PutRow& row) {
  return out << row.header << ": " << row.value << " -> " << row.status;
}

const std::vector<PutRow> kPutRows = {
    {"If-Match", "1", "2", 200},
    {"If-Match", "\"1\"", "2", 200},
    {"If-Match", "2", "2", 412},
    {"If-None-Match", "*", "2", 412},
    {"If-Match", "one", "2", 428},
    {"X-Other", "1", "2", 428},
    {"If-Match", "1", "{", 400},
    {"If-Match", "1", "\"" + std::string((1 << 20) - 2, 'x') + "\"", 200},
    {"If-Match", "1", "\"" + std::string(1 << 20, 'x') + "\"", 413},
};

const std::vector<const char*> kWrongFaults = {
    "[]", R"({"outage": "some"})", R"({"delay_ms": -1})", R"({"delay": 1})"};

}  // namespace

BOOST_DATA_TEST_CASE(puts_are_conditional_and_bounded, kPutRows) {
  Running it;
  BOOST_REQUIRE(StatusOf(it.Create("services/claims-02", "1")) == 200);
  const auto reply =
      Call(it.port(), "PUT", "/objects/config/services/claims-02", sample.body,
           {{sample.header, sample.value}});
  BOOST_TEST(StatusOf(reply) == sample.status);
  if (sample.status == 412) {
    BOOST_TEST(BodyOf(reply) == (Json{{"version", 1}, {"value", 1}}));
  }
}

BOOST_AUTO_TEST_CASE(a_watch_ends_with_the_first_change) {
  Running it;
  Json seen;
  std::thread watcher([&] {
    seen =
        BodyOf(Call(it.port(), "GET", "/watch/config?after=0&wait_ms=15000"));
  });
  BOOST_TEST(Eventually([&] {
    return it.platform.counts().by_kind[size_t(PlatformCall::kWatch)] == 1;
  }));
  it.Create("routes/a", "{}");
  watcher.join();
  BOOST_TEST(seen["complete_to"] == 1);
  BOOST_REQUIRE(seen["objects"].size() == 1U);
  BOOST_TEST(seen["objects"][0]["name"] == "routes/a");
}

// The platform takes a write and its answer is lost on the way. The writer
// sees a broken connection, though the new value is there for all to read.
BOOST_AUTO_TEST_CASE(a_lost_reply_leaves_the_write_in_effect) {
  Running it;
  BOOST_TEST(StatusOf(Call(it.port(), "PUT", "/control/faults",
                           R"({"lose_put_replies": 1})")) == 200);
  BOOST_TEST(StatusOf(it.Create("a", "5")) == 0);
  BOOST_TEST(BodyOf(Call(it.port(), "GET", "/objects/config/a"))["value"] == 5);
  BOOST_TEST(StatusOf(it.Create("b", "5")) == 200);
  BOOST_TEST(it.platform.counts().lost_replies == 1U);
}

// The platform is down: each call is refused at once, and what is stored is
// there again afterwards.
BOOST_AUTO_TEST_CASE(an_outage_refuses_and_passes) {
  Running it;
  it.Create("a", "5");
  PlatformFaults faults;
  faults.outage = Outage::kRefused;
  it.platform.SetFaults(faults);
  BOOST_TEST(StatusOf(it.Create("b", "5")) == 503);
  BOOST_TEST(StatusOf(Call(it.port(), "GET", "/objects/config/a")) == 503);
  it.platform.SetFaults({});
  BOOST_TEST(StatusOf(Call(it.port(), "GET", "/objects/config/a")) == 200);
  BOOST_TEST(StatusOf(Call(it.port(), "GET", "/objects/config/b")) == 404);
}

// The platform takes the connection and says nothing. The caller waits until
// the outage ends and then finds its connection closed.
BOOST_AUTO_TEST_CASE(a_silent_outage_answers_nothing) {
  Running it;
  PlatformFaults faults;
  faults.outage = Outage::kSilent;
  it.platform.SetFaults(faults);
  int status = -1;
  std::thread caller([&] { status = StatusOf(it.Create("a", "5")); });
  BOOST_TEST(Eventually([&] {
    return it.platform.counts().by_kind[size_t(PlatformCall::kPut)] == 1;
  }));
  it.platform.SetFaults({});
  caller.join();
  BOOST_TEST(status == 0);
  BOOST_TEST(StatusOf(Call(it.port(), "GET", "/objects/config/a")) == 404);
}

BOOST_AUTO_TEST_CASE(the_list_of_instances_lags) {
  Running it;
  const std::string list = R"([{"id": "osl-1-a", "state": "live"}])";
  Call(it.port(), "PUT", "/control/instances?lag_ms=3600000", list);
  BOOST_TEST(BodyOf(Call(it.port(), "GET", "/instances")).empty());
}

BOOST_AUTO_TEST_CASE(the_list_of_instances_is_given) {
  Running it;
  const std::string list = R"([{"id": "osl-1-a", "state": "live"}])";
  Call(it.port(), "PUT", "/control/instances", list);
  BOOST_TEST(BodyOf(Call(it.port(), "GET", "/instances")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_restore_goes_back_to_a_backup) {
  Running it;
  it.Create("a", "5");
  const auto backup = BodyOf(Call(it.port(), "POST", "/control/backup"));
  it.Create("b", "5");
  const std::string path = "/control/restore?revision=";
  BOOST_TEST(StatusOf(Call(it.port(), "POST", path + "2")) == 404);
  const std::string revision = backup["revision"].dump();
  BOOST_TEST(StatusOf(Call(it.port(), "POST", path + revision)) == 200);
  const auto list = BodyOf(Call(it.port(), "GET", "/objects/config?after=0"));
  BOOST_TEST(list["complete_to"] == 1);
  BOOST_TEST(list["objects"].size() == 1U);
}

BOOST_DATA_TEST_CASE(wrong_faults_are_refused, kWrongFaults) {
  Running it;
  BOOST_TEST(StatusOf(Call(it.port(), "PUT", "/control/faults", sample)) ==
             400);
}
