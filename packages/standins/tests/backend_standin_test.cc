#include "hibiscuspick/standins/backend_standin.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "hibiscuspick/standins/backend_fleet.h"
#include "standin_calls.h"

namespace {

using hibiscuspick::Code;
using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Json;
using hibiscuspick::Millis;
using hibiscuspick::ParseJson;
using hibiscuspick::ValueOf;
using hibiscuspick::http::Connection;
using hibiscuspick::http::HeaderOf;
using hibiscuspick::http::MakeRequest;
using hibiscuspick::standins::BackendFleet;
using hibiscuspick::standins::BackendStandin;
using hibiscuspick::standins::BodyOf;
using hibiscuspick::standins::Call;
using hibiscuspick::standins::Eventually;
using hibiscuspick::standins::kHangGuard;
using hibiscuspick::standins::Query;
using hibiscuspick::standins::StatusOf;

// Work that ends only by being cancelled or by the deadline.
constexpr char kEndlessWork[] =
    R"({"distribution": "fixed", "service_ms": 3600000})";
constexpr char kQuickWork[] = R"({"distribution": "fixed", "service_ms": 0})";

struct Running {
  explicit Running(const std::string& patch) : server("b1", {}, 1) {
    Patch(patch);
    BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  }
  void Patch(const std::string& patch) {
    BOOST_REQUIRE(IsOk(server.Patch(ValueOf(ParseJson(patch)))));
  }
  uint16_t port() { return server.port(); }
  BackendStandin server;
};

// Attempts that are under way, each on a thread and a connection of its own.
struct Callers {
  ~Callers() { Join(); }
  void Start(uint16_t port, const std::string& attempt) {
    threads.emplace_back([this, port, attempt, i = threads.size()] {
      statuses[i] = StatusOf(Query(port, attempt));
    });
  }
  void Join() {
    for (auto& it : threads) it.join();
    threads.clear();
  }
  std::vector<int> statuses = std::vector<int>(16, -1);
  std::vector<std::thread> threads;
};

struct FaultRow {
  const char* kind;
  // 0: no whole reply.
  int status;
  const char* header;
  const char* value;
};

std::ostream& operator<<(std::ostream& out, const FaultRow& row) {
  return out << row.kind;
}

const std::vector<FaultRow> kFaultRows = {
    {"late", 200, "X-Attempt-Id", "a1"},
    {"cut_off", 0, "", ""},
    {"garbage", 0, "", ""},
    {"bad_json", 200, "X-Attempt-Id", "a1"},
    {"endless", 0, "", ""},
    {"closed", 0, "", ""},
    {"error", 500, "X-Attempt-Id", "a1"},
    {"incomplete", 200, "X-Attempt-Id", "a1"},
    {"wrong_attempt", 200, "X-Attempt-Id", "of-another-attempt"},
    {"wrong_snapshot", 200, "X-Snapshot", "999999999"},
    {"wrong_server", 200, "X-Server-Id", "another-server"},
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_query_is_answered_with_its_own_headers) {
  Running it(kQuickWork);
  const auto reply = Query(it.port(), "a1");
  BOOST_REQUIRE(StatusOf(reply) == 200);
  BOOST_TEST(HeaderOf(ValueOf(reply), "X-Attempt-Id") == "a1");
  BOOST_TEST(HeaderOf(ValueOf(reply), "X-Snapshot") == "1");
  BOOST_TEST(HeaderOf(ValueOf(reply), "X-Server-Id") == "b1");
  BOOST_TEST(HeaderOf(ValueOf(reply), "X-Draining").empty());
  BOOST_TEST(BodyOf(reply)["hits"].size() == 3U);
  BOOST_TEST(BodyOf(reply)["complete"] == true);
  BOOST_TEST(it.server.stats().executed[0] == 1U);
}

BOOST_DATA_TEST_CASE(each_fault_spoils_one_reply, kFaultRows) {
  Running it(kQuickWork);
  it.Patch(std::string(R"({"faults": [{"count": 1, "kind": ")") + sample.kind +
           "\"}]}");
  const auto reply = Query(it.port(), "a1");
  BOOST_REQUIRE(StatusOf(reply) == sample.status);
  if (sample.status != 0) {
    BOOST_TEST(HeaderOf(ValueOf(reply), sample.header) == sample.value);
  }
  BOOST_TEST(StatusOf(Query(it.port(), "a2")) == 200);
}

BOOST_AUTO_TEST_CASE(a_version_that_is_not_held_is_named) {
  Running it(R"({"held": [6, 7]})");
  const auto reply = Query(it.port(), "a1", "8");
  BOOST_TEST(StatusOf(reply) == 409);
  BOOST_TEST(BodyOf(reply) == (Json{{"held", {6, 7}}}));
}

// Two attempts fill the slots, a third fills the queue. The fourth is told
// that it did not run.
BOOST_AUTO_TEST_CASE(beyond_slots_and_queue_work_is_shed) {
  Running it(kEndlessWork);
  it.Patch(R"({"max_queue": 1})");
  Callers callers;
  for (const char* id : {"a1", "a2", "a3"}) callers.Start(it.port(), id);
  BOOST_TEST(Eventually([&] {
    const auto stats = it.server.stats();
    return stats.running_now == 2 && stats.queued_now == 1;
  }));
  const auto shed = Query(it.port(), "a4");
  BOOST_REQUIRE(StatusOf(shed) == 503);
  BOOST_TEST(HeaderOf(ValueOf(shed), "X-Not-Run") == "true");
  for (const char* id : {"a1", "a2", "a3"}) {
    const std::string path = std::string("/v1/attempts/") + id;
    BOOST_TEST(StatusOf(Call(it.port(), "DELETE", path)) == 200);
  }
  callers.Join();
  BOOST_TEST(callers.statuses[0] == 410);
  BOOST_TEST(it.server.stats().running_now == 0U);
}

// A hedge has won and the loser is cancelled. Its slot goes to the next in
// line without waiting for the work to end.
BOOST_AUTO_TEST_CASE(a_cancelled_attempt_frees_its_slot_at_once) {
  Running it(kEndlessWork);
  it.Patch(R"({"slots": 1})");
  Callers callers;
  callers.Start(it.port(), "a1");
  BOOST_TEST(Eventually([&] { return it.server.stats().running_now == 1; }));
  callers.Start(it.port(), "a2");
  BOOST_TEST(Eventually([&] { return it.server.stats().queued_now == 1; }));
  it.Patch(kQuickWork);
  BOOST_TEST(StatusOf(Call(it.port(), "DELETE", "/v1/attempts/a1")) == 200);
  callers.Join();
  BOOST_TEST(callers.statuses[0] == 410);
  BOOST_TEST(callers.statuses[1] == 200);
  BOOST_TEST(StatusOf(Call(it.port(), "DELETE", "/v1/attempts/a1")) == 404);
  BOOST_TEST(it.server.stats().cancelled_running == 1U);
}

BOOST_AUTO_TEST_CASE(work_stops_at_its_deadline) {
  Running it(kEndlessWork);
  BOOST_TEST(StatusOf(Query(it.port(), "a1", "1", "20")) == 504);
  BOOST_TEST(it.server.stats().expired == 1U);
  BOOST_TEST(it.server.stats().running_now == 0U);
}

BOOST_AUTO_TEST_CASE(a_connection_over_the_limit_is_closed_unread) {
  Running it(R"({"max_connections": 1, "service_ms": 0})");
  Connection first({"127.0.0.1", it.port()}, {});
  const auto request = MakeRequest("GET", "/v1/health");
  BOOST_TEST(StatusOf(first.Send(request, kHangGuard)) == 200);
  BOOST_TEST(StatusOf(Query(it.port(), "a1")) == 0);
  BOOST_TEST(it.server.stats().connections_refused == 1U);
  BOOST_TEST(StatusOf(first.Send(request, kHangGuard)) == 200);
}

// The server's process dies in the middle of an attempt and comes back. The
// caller sees a broken connection, then nobody listening, then a server with
// the next incarnation.
BOOST_AUTO_TEST_CASE(a_killed_server_cuts_off_and_comes_back) {
  Running it(kEndlessWork);
  Callers callers;
  callers.Start(it.port(), "a1");
  BOOST_TEST(Eventually([&] { return it.server.stats().running_now == 1; }));
  it.server.Kill();
  callers.Join();
  BOOST_TEST(callers.statuses[0] == 0);
  const auto gone = Query(it.port(), "a2");
  BOOST_REQUIRE(!IsOk(gone));
  BOOST_TEST((ErrorOf(gone).code == Code::kConnectFailed));
  it.Patch(kQuickWork);
  BOOST_REQUIRE(IsOk(it.server.Revive()));
  const auto back = Query(it.port(), "a3");
  BOOST_REQUIRE(StatusOf(back) == 200);
  BOOST_TEST(HeaderOf(ValueOf(back), "X-Server-Incarnation") == "2");
}

// A server that leaves says so on every reply, and counts who comes all the
// same.
BOOST_AUTO_TEST_CASE(a_draining_server_says_so_and_counts_new_work) {
  Running it(kQuickWork);
  it.Patch(R"({"draining": true})");
  const auto reply = Query(it.port(), "a1");
  BOOST_REQUIRE(StatusOf(reply) == 200);
  BOOST_TEST(HeaderOf(ValueOf(reply), "X-Draining") == "true");
  BOOST_TEST(it.server.stats().arrived_draining == 1U);
}

BOOST_AUTO_TEST_CASE(load_figures_may_mislead) {
  Running it(R"({"reported_load": 99})");
  BOOST_TEST(BodyOf(Call(it.port(), "GET", "/v1/load"))["running"] == 99);
}

BOOST_AUTO_TEST_CASE(a_fleet_is_driven_through_its_control_server) {
  hibiscuspick::standins::FleetOptions options;
  options.base_port = 0;
  options.control_port = 0;
  options.count = 3;
  options.settings.service_time.mean = Millis(0);
  BackendFleet fleet(options);
  BOOST_REQUIRE(IsOk(fleet.Start()));
  const uint16_t control = fleet.control_port();
  const httplib::Headers record = {{"X-Attempt-Id", "a1"},
                                   {"X-Record-Key", "k 1"}};
  for (size_t i = 0; i < 2; ++i) {
    const auto reply = Call(fleet.server(i).port(), "POST",
                            "/v1/shards/p2/record", "{}", record);
    BOOST_TEST(BodyOf(reply)["execution"] == 1);
  }
  const std::string path = "/control/records?key=k%201";
  BOOST_TEST(BodyOf(Call(control, "GET", path))["executions"] == 2);
  BOOST_TEST(BodyOf(Call(control, "GET", "/control/records"))["most"] == 2);
  Call(control, "PUT", "/control/servers/all", R"({"slots": 7})");
  Call(control, "POST", "/control/servers/b2/kill");
  const Json list = BodyOf(Call(control, "GET", "/control/servers"));
  BOOST_REQUIRE(list.size() == 3U);
  BOOST_TEST(list[0]["settings"]["slots"] == 7);
  BOOST_TEST(list[0]["alive"] == true);
  BOOST_TEST(list[1]["alive"] == false);
  Call(control, "POST", "/control/servers/b2/revive");
  BOOST_TEST(fleet.server(1).alive());
  const auto unknown = Call(control, "POST", "/control/servers/b9/kill");
  BOOST_TEST(StatusOf(unknown) == 404);
}
