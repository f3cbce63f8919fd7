#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

bool IsStatus(const std::string& answer, int status) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

std::string BodyOf(const std::string& answer) {
  const size_t at = answer.find("\r\n\r\n");
  return at == std::string::npos ? "" : answer.substr(at + 4);
}

RawServer::Script Replies(const std::string& stamp, const std::string& body) {
  return [=](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, stamp, body)};
  };
}

// Adds a route "/p/" to one service.
void AddPlain(TrafficFixture* fixture, engine::Idempotency repeat) {
  auto& route = fixture->AddRoute("/p/");
  route.idempotency = repeat;
  route.split = {{ServiceId("s"), 1}};
}

// Failure: a new process without a configuration replies 404, which tells
// callers that the route does not exist. It must reply 503, so that they retry.
BOOST_AUTO_TEST_CASE(RequestsBeforeConfigurationGet503) {
  TrafficFixture fixture;
  BOOST_TEST_REQUIRE(fixture.listened());
  BOOST_TEST(IsStatus(fixture.GetReadiness(), 503));
  const auto answer = fixture.SendRequest("GET /p/x");
  BOOST_TEST(IsStatus(answer, 503));
  BOOST_TEST(HeaderValue(answer, "Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(PlainRequestIsForwardedUnchanged) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  auto& server = fixture.AddServer("s", Replies("stamp-1", "the body"));
  fixture.Publish();
  BOOST_TEST(IsStatus(fixture.GetReadiness(), 200));
  const auto answer = fixture.SendRequest(
      "POST /p/x?y=1", "Content-Length: 2\r\nA-Header: v\r\n\r\nhi");
  BOOST_TEST(IsStatus(answer, 200));
  BOOST_TEST(BodyOf(answer) == "the body");
  BOOST_TEST(HeaderValue(answer, "Q-Stamp") == "stamp-1");
  const auto sent = server.requests().at(0);
  BOOST_TEST(sent.starts_with("POST /p/x?y=1 HTTP/1.1\r\n"));
  BOOST_TEST(sent.ends_with("\r\n\r\nhi"));
  BOOST_TEST(HeaderValue(sent, "A-Header") == "v");
  BOOST_TEST(HeaderValue(sent, "Q-Id") == "one");
  BOOST_TEST(HeaderValue(sent, "Q-Expect") == "server-1");
  BOOST_TEST(std::stoi(HeaderValue(sent, "Q-Deadline")) <= 2000);
  BOOST_TEST(IsStatus(fixture.SendRequest("GET /nowhere/"), 404));
}

// Failure: a caller sets the headers for the expected server or the stamp,
// which would reach a server that has left, or pass for an answer.
BOOST_AUTO_TEST_CASE(ForgedHeadersOfCallersAreDropped) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  auto& server = fixture.AddServer("s", Replies("stamp-1", ""));
  fixture.Publish();
  fixture.SendRequest("GET /p/x", "Q-Expect: other\r\nQ-Stamp: forged\r\n");
  const auto sent = server.requests().at(0);
  BOOST_TEST(sent.find("other") == std::string::npos);
  BOOST_TEST(sent.find("forged") == std::string::npos);
}

struct DeadlineRow {
  const char* header;
  int min;
  int max;
};

std::ostream& operator<<(std::ostream& out, const DeadlineRow& row) {
  return out << '"' << row.header << '"';
}

const DeadlineRow kDeadlines[] = {
    {"Q-Deadline: 700\r\n", 600, 700},
    {"Q-Deadline: 0\r\n", 2900, 3000},
    {"Q-Deadline: -5\r\n", 2900, 3000},
    {"Q-Deadline: soon\r\n", 2900, 3000},
    {"Q-Deadline: 99999999999999999999\r\n", 2900, 3000},
    {"Q-Deadline: 900000\r\n", 2900, 3000},
    {"", 2900, 3000},
};

// Servers must get a usable deadline whatever the caller sent; without one they
// would keep working for callers that are gone.
BOOST_DATA_TEST_CASE(ServersGetUsableDeadline, bdata::make(kDeadlines), row) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  auto& server = fixture.AddServer("s", Replies("stamp-1", ""));
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send("GET /p/x HTTP/1.1\r\nHost: h\r\nQ-Id: one\r\n" +
              std::string(row.header) + "\r\n");
  BOOST_TEST(IsStatus(client.Receive("\r\n\r\n"), 200));
  const int deadline =
      std::stoi(HeaderValue(server.requests().at(0), "Q-Deadline"));
  BOOST_TEST(deadline >= row.min);
  BOOST_TEST(deadline <= row.max);
}

struct FaultRow {
  const char* name;
  ScriptedReply first;
  int status;
  size_t request_count;
};

std::ostream& operator<<(std::ostream& out, const FaultRow& row) {
  return out << row.name;
}

const char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nQ-Id: one\r\nQ-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
const char kMisdirected[] =
    "HTTP/1.1 421 Misdirected Request\r\nQ-Id: one\r\nContent-Length: "
    "0\r\n\r\n";
const char kFailure[] =
    "HTTP/1.1 500 Internal Server Error\r\nQ-Id: one\r\nQ-Stamp: s\r\n"
    "Content-Length: 4\r\n\r\noops";

const FaultRow kFaults[] = {
    {"reset after it was sent", {.text = "", .resets = true}, 502, 1},
    {"truncated reply",
     {.text = "HTTP/1.1 200 OK\r\nContent-Le", .closes = true},
     502,
     1},
    {"error reply of the server", {.text = kFailure}, 500, 1},
    {"refused without running", {.text = kRefusal}, 200, 2},
    {"another server has the address", {.text = kMisdirected}, 200, 2},
};

// Two servers of the service; the first to get a request replies with `first`.
void AddTwoServers(TrafficFixture* fixture, const ScriptedReply& first,
                   std::atomic<size_t>* request_count) {
  for (int i = 0; i < 2; ++i) {
    fixture->AddServer("s", [first, request_count](const std::string& request) {
      return ++*request_count == 1
                 ? first
                 : ScriptedReply{.text = ValidReply(request, "later", "")};
    });
  }
  fixture->Publish();
}

// Failure: the reply to a claim is lost, the claim is sent again and paid
// twice. A request that is not idempotent may be repeated only if the server
// says that it has not run.
BOOST_DATA_TEST_CASE(NonIdempotentRequestsAreNotRepeated, bdata::make(kFaults),
                     row) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  std::atomic<size_t> request_count{0};
  AddTwoServers(&fixture, row.first, &request_count);
  const auto answer = fixture.SendRequest("POST /p/x", "Content-Length: 0\r\n");
  BOOST_TEST(IsStatus(answer, row.status));
  BOOST_TEST(request_count == row.request_count);
}

// The same faults with an idempotent route: the caller gets an answer.
BOOST_DATA_TEST_CASE(IdempotentRequestsAreRetried, bdata::make(kFaults), row) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kIdempotent);
  std::atomic<size_t> request_count{0};
  AddTwoServers(&fixture, row.first, &request_count);
  BOOST_TEST(IsStatus(fixture.SendRequest("GET /p/x"), 200));
  BOOST_TEST(request_count == 2);
}

// All servers refuse: the caller must learn that its request has not run and
// when to retry.
BOOST_AUTO_TEST_CASE(RefusalByAllServersGets503) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  fixture.AddServer("s", [](auto&) { return ScriptedReply{.text = kRefusal}; });
  fixture.Publish();
  const auto answer = fixture.SendRequest("GET /p/x");
  BOOST_TEST(IsStatus(answer, 503));
  BOOST_TEST(HeaderValue(answer, "Retry-After") != "");
}

// Failure: a server replies twice, or late to an earlier request, and each
// caller gets the previous caller's answer.
BOOST_AUTO_TEST_CASE(RepliesToOtherRequestsAreSkipped) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  const std::string late =
      "HTTP/1.1 200 OK\r\nQ-Id: zero\r\nQ-Stamp: old\r\n"
      "Content-Length: 3\r\n\r\nold";
  fixture.AddServer("s", [&](const std::string& request) {
    return ScriptedReply{.text =
                             late + ValidReply(request, "new", "new") + late};
  });
  fixture.Publish();
  for (int i = 0; i < 3; ++i) {
    const auto answer = fixture.SendRequest("GET /p/x");
    BOOST_TEST(BodyOf(answer) == "new");
    BOOST_TEST(HeaderValue(answer, "Q-Stamp") == "new");
  }
}

// A reply without a length ends with its connection. If the connection is
// reset, the reply is truncated and must not be taken for complete.
BOOST_AUTO_TEST_CASE(RepliesWithoutLengthEndWithConnection) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  std::atomic<bool> resets_connection{false};
  fixture.AddServer("s", [&](auto&) {
    return ScriptedReply{
        .text =
            "HTTP/1.1 200 OK\r\nQ-Id: one\r\nQ-Stamp: s\r\n\r\n"
            "until the end",
        .closes = true,
        .resets = resets_connection.load()};
  });
  fixture.Publish();
  BOOST_TEST(BodyOf(fixture.SendRequest("GET /p/x")) == "until the end");
  resets_connection = true;
  BOOST_TEST(IsStatus(fixture.SendRequest("GET /p/x"), 502));
}

// Failure: the caller disconnects, and servers that keep working for it delay
// others.
BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsAttempts) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kIdempotent);
  auto& server = fixture.AddServer(
      "s", [](auto&) { return ScriptedReply{.text = "", .silent = true}; });
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send(TrafficFixture::RequestText("GET /p/x"));
  BOOST_TEST(Eventually([&] { return server.requests().size() == 1; }));
  client.Close();
  BOOST_TEST(Eventually([&] { return server.abandoned() == 1; }));
}

// The deadline passes while the server is silent: the caller is told so, and
// not that nothing has run.
BOOST_AUTO_TEST_CASE(ExpiredDeadlineIsAnsweredImmediately) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  fixture.AddServer(
      "s", [](auto&) { return ScriptedReply{.text = "", .silent = true}; });
  fixture.AddRoute("/q/").split = {{ServiceId("s"), 1}};
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send(
      "GET /p/x HTTP/1.1\r\nHost: h\r\nQ-Id: one\r\nQ-Deadline: 300\r\n\r\n");
  const auto began = SteadyNow();
  BOOST_TEST(IsStatus(client.Receive("\r\n\r\n"), 504));
  BOOST_TEST((SteadyNow() - began).count < 3000);
}

// Operators can see the outcome of queries without reading logs.
BOOST_AUTO_TEST_CASE(MetricsCountQueryOutcomes) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  fixture.AddServer("s", Replies("stamp-1", ""));
  fixture.Publish();
  fixture.SendRequest("GET /p/x");
  fixture.SendRequest("GET /nowhere/");
  const auto text = fixture.GetReadiness("/metrics");
  for (const char* line :
       {"hibiscuspick_edge_queries_total{fault=\"none\"} 1\n",
        "hibiscuspick_edge_queries_total{fault=\"time_up\"} 0\n",
        "hibiscuspick_edge_refused_total 1\n",
        "# TYPE hibiscuspick_edge_query_seconds histogram\n"}) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

// An older configuration that arrives late must not come into force.
BOOST_AUTO_TEST_CASE(OlderConfigurationIsIgnored) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  fixture.AddServer("s", Replies("stamp-1", ""));
  fixture.Publish(7);
  fixture.OnLoop([&] {
    auto old = std::make_shared<engine::TrafficConfig>();
    old->version = 6;
    fixture.server().SetConfig(old);
  });
  BOOST_TEST(IsStatus(fixture.SendRequest("GET /p/x"), 200));
}

// Failure: a graceful shutdown breaks requests that run, or that the load
// balancer still sends for a while.
BOOST_AUTO_TEST_CASE(ShutdownFinishesRunningRequests) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  fixture.AddServer("s", [](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "s", "whole"),
                         .wait_ms = 150};
  });
  fixture.Publish();
  RawClient early(fixture.port());
  early.Send(TrafficFixture::RequestText("GET /p/x"));
  std::atomic<bool> done{false};
  fixture.OnLoop([&] { fixture.server().Stop([&] { done = true; }); });
  BOOST_TEST(IsStatus(fixture.GetReadiness(), 503));
  const auto late = fixture.SendRequest("GET /p/x");
  BOOST_TEST(BodyOf(late) == "whole");
  const auto answer = early.Receive();
  BOOST_TEST(BodyOf(answer) == "whole");
  BOOST_TEST(HeaderValue(answer, "Connection") == "close");
  BOOST_TEST(Eventually([&] { return done.load(); }));
}

// Failure: a request still running when the process has to exit gets a closed
// connection instead of an answer.
BOOST_AUTO_TEST_CASE(ShutdownAnswersUnfinishedRequests) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  fixture.AddServer(
      "s", [](auto&) { return ScriptedReply{.text = "", .silent = true}; });
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send(TrafficFixture::RequestText("GET /p/x"));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  fixture.OnLoop([&] { fixture.server().Stop([] {}); });
  BOOST_TEST(IsStatus(client.Receive(), 504));
}

// Failure: a caller connects just before the process exits, and its connection
// is accepted and then broken, so it does not know whether its request has run.
// The connection must be refused.
BOOST_AUTO_TEST_CASE(ShutdownRefusesNewConnections) {
  TrafficFixture fixture;
  AddPlain(&fixture, engine::Idempotency::kNotIdempotent);
  fixture.AddServer("s", Replies("stamp-1", "x"));
  fixture.Publish();
  std::atomic<bool> done{false};
  fixture.OnLoop([&] { fixture.server().Stop([&] { done = true; }); });
  BOOST_TEST_REQUIRE(Eventually([&] { return done.load(); }));
  BOOST_TEST(!RawClient(fixture.port()).IsConnected());
}

struct NetworkTimeRow {
  std::optional<Millis> network_time;
  double answer_in;
};

std::ostream& operator<<(std::ostream& out, const NetworkTimeRow& row) {
  return out << (row.network_time ? row.network_time->count : -1);
}

const NetworkTimeRow kNetworkTimes[] = {
    {std::nullopt, 71}, {Millis(0), 76}, {Millis(2), 74}, {Millis(12.8), 63.2}};

// Failure: answers leave at the same time for near and far callers, so those to
// far callers arrive after the target, and those to near callers miss parts
// that would have arrived.
BOOST_DATA_TEST_CASE(AnswerTimeDependsOnNetworkTime, bdata::make(kNetworkTimes),
                     row) {
  QueryContext context;
  const auto names = TestWireNames();
  context.names = &names;
  engine::Route route;
  route.target = Millis(80);
  auto pace = engine::InitialRouteLatency(route.target);
  HttpRequest request;
  request.network_time = row.network_time;
  const auto clocks = QueryRun::DeadlinesFor(context, route, &pace, request);
  BOOST_TEST(clocks.answer_in.count == row.answer_in,
             boost::test_tools::tolerance(1e-9));
}

}  // namespace
}  // namespace hibiscuspick::edge
