#include "hibiscuspick/front/callers_api.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>

#include "hibiscuspick/base/json.h"
#include "raw_client.h"

namespace hibiscuspick::front {

namespace data = boost::unit_test::data;

// The API on a server, with the rest of the process played by the test.
struct ApiFixture {
  CallersPorts ports;
  metrics::Registry registry;
  routing::Answer answer;
  records::RecordAnswer record_answer;
  routing::QueryRequest seen;
  records::RecordRequest seen_record;
  std::atomic<int> queries{0};
  std::atomic<int> stopped{0};
  Code readiness = Code::kOk;
  bool waits_for_caller = false;
  routing::CustomerRules rules;
  std::unique_ptr<CallersApi> api;
  std::unique_ptr<http::Server> server;

  ApiFixture() {
    answer.snapshot_id = "2026-12-02a";
    answer.version = IndexVersion(7);
    answer.shards_total = 2;
    answer.shards_answered = 1;
    answer.documents_total = 200;
    answer.documents_covered = 190;
    answer.coverage = 0.95;
    answer.missing = {{ShardId("p2"), Code::kDeadlineExceeded}};
    answer.hits = {{{"doc-1", 0.5, R"({"name":"Ås"})"}, ShardId("p1")}};
    answer.attempts = 3;
    answer.elapsed = Millis(36.6);
    record_answer.result = "{\"row\":1}";
    ports.find_route = [this](const RouteId& route, const CustomerId&) {
      return FindRoute(route);
    };
    ports.run_query = [this](routing::QueryRequest request, Millis,
                             const std::function<routing::Plans()>&,
                             const std::function<bool()>& stop) {
      ++queries;
      seen = std::move(request);
      while (waits_for_caller && !stop()) std::this_thread::yield();
      if (waits_for_caller) ++stopped;
      return answer;
    };
    ports.find_service = [](const ServiceId& service, const ShardId&,
                            const CustomerId&) -> Result<RecordValues> {
      if (service.text == "claims") return RecordValues{};
      return Error{Code::kUnknownService, "", ""};
    };
    ports.run_record = [this](const records::RecordRequest& request, Millis) {
      seen_record = request;
      return record_answer;
    };
    ports.customer_rules = [this](const CustomerId&) { return rules; };
    ports.configuration_age = [] {
      return ConfigurationAge{Millis(1200), true};
    };
    ports.readiness = [this] { return readiness; };
  }

  static Result<RouteView> FindRoute(const RouteId& route) {
    if (route.text == "early") return Error{Code::kNotReady, "", ""};
    if (route.text != "desk") return Error{Code::kUnknownRoute, "", ""};
    RouteView view;
    view.values.lane = Lane::kUrgent;
    view.values.min_coverage = 0.9;
    return view;
  }

  void Start() {
    api = std::make_unique<CallersApi>(ports, &registry);
    server = std::make_unique<http::Server>(http::ServerLimits{});
    api->AddTo(server.get());
    BOOST_REQUIRE(IsOk(server->Start("127.0.0.1", 0)));
  }

  std::string Ask(const std::string& text) {
    RawClient client(server->port());
    client.Send(text);
    return client.ReadAll();
  }

  // The error object of a refusal.
  std::string ErrorName(const std::string& reply) {
    const auto json = ParseJson(BodyIn(reply));
    BOOST_REQUIRE(IsOk(json));
    return ValueOf(json)["error"]["name"].get<std::string>();
  }
};

BOOST_FIXTURE_TEST_CASE(an_answer_has_the_shape_of_the_contract, ApiFixture) {
  Start();
  const std::string reply =
      Ask(PostText("/v1/query/desk", R"({"query":{"q":"Ås"},"limit":3})",
                   "X-Request-Id: r-1\r\nX-Customer: skjermvern\r\n"));
  BOOST_TEST(StatusIn(reply) == 200);
  BOOST_TEST(reply.find("X-Request-Id: r-1\r\n") != std::string::npos);
  BOOST_TEST(
      BodyIn(reply) ==
      R"({"request_id":"r-1","snapshot":{"age_ms":1200,"id":"2026-12-02a",)"
      R"("platform_reachable":true,"version":7},"coverage":{)"
      R"("documents_covered":190,"documents_total":200,"missing":[)"
      R"({"code":2104,"name":"deadline_exceeded","shard":"p2"}],)"
      R"("shards_answered":1,"shards_total":2},"hits":[{"id":"doc-1",)"
      R"("score":0.5,"shard":"p1","fields":{"name":"Ås"}}],"attempts":3,)"
      R"("took_ms":37})");
  BOOST_TEST(seen.query == R"({"q":"Ås"})");
  BOOST_TEST(seen.limit == 3U);
  BOOST_TEST(seen.customer.text == "skjermvern");
  BOOST_TEST(seen.deadline.count == 200);
  const std::string metrics = registry.PrometheusText();
  BOOST_TEST(metrics.find("hp_query_seconds_count{route=\"desk\","
                          "lane=\"urgent\"} 1") != std::string::npos);
}

struct StatusCase {
  std::string name;
  Code code;
  Ran ran;
  double coverage;
  int status;
};
std::ostream& operator<<(std::ostream& out, const StatusCase& it) {
  return out << it.name;
}
const StatusCase kStatuses[] = {
    {"whole", Code::kOk, Ran::kMaybe, 1, 200},
    {"under min_coverage", Code::kOk, Ran::kMaybe, 0.5, 206},
    {"refused", Code::kQueueFull, Ran::kNo, 0, 503},
    {"refused after a forward", Code::kQueueFull, Ran::kMaybe, 0, 504},
    {"nothing in time", Code::kDeadlineExceeded, Ran::kMaybe, 0, 504},
    {"no snapshot", Code::kNoSnapshot, Ran::kNo, 0, 503},
};

BOOST_DATA_TEST_CASE_F(ApiFixture, query_results_have_their_status,
                       data::make(kStatuses), it) {
  answer.code = it.code;
  answer.ran = it.ran;
  answer.coverage = it.coverage;
  answer.retry_after = Millis(900);
  Start();
  const std::string reply = Ask(PostText("/v1/query/desk", R"({"query":1})"));
  BOOST_TEST(StatusIn(reply) == it.status);
  if (it.code == Code::kOk) return;
  BOOST_TEST(reply.find("Retry-After: 1\r\n") != std::string::npos);
  const auto json = ParseJson(BodyIn(reply));
  BOOST_TEST(ValueOf(json)["error"]["ran"] == RanName(it.ran));
  BOOST_TEST(ValueOf(json)["error"]["code"] == static_cast<int>(it.code));
}

struct RecordCase {
  std::string name;
  Code code;
  Ran ran;
  int status;
};
std::ostream& operator<<(std::ostream& out, const RecordCase& it) {
  return out << it.name;
}
const RecordCase kRecordCases[] = {
    {"done", Code::kOk, Ran::kMaybe, 200},
    {"unknown", Code::kOutcomeUnknown, Ran::kMaybe, 504},
    {"key in use", Code::kKeyInUse, Ran::kNo, 409},
    {"key too old", Code::kKeyTooOld, Ran::kNo, 409},
    {"platform down", Code::kPlatformUnavailable, Ran::kNo, 503},
    {"refused by the server", Code::kRecordFailed, Ran::kMaybe, 502},
};

BOOST_DATA_TEST_CASE_F(ApiFixture, record_results_have_their_status,
                       data::make(kRecordCases), it) {
  record_answer.code = it.code;
  record_answer.ran = it.ran;
  Start();
  const std::string reply = Ask(PostText(
      "/v1/record/claims", R"({"key":"k","shard":"p2","record":{"n":1}})"));
  BOOST_TEST(StatusIn(reply) == it.status);
  BOOST_TEST(seen_record.record == R"({"n":1})");
  BOOST_TEST(seen_record.shard.text == "p2");
  if (it.code == Code::kOk) {
    BOOST_TEST(BodyIn(reply) == R"({"outcome":"done","result":{"row":1}})");
  }
}

struct BadCase {
  std::string name;
  std::string request;
  int status;
  // What the message must name.
  std::string place;
};
std::ostream& operator<<(std::ostream& out, const BadCase& it) {
  return out << it.name;
}

BadCase BadQuery(const std::string& name, const std::string& body,
                 const std::string& place) {
  return {name, PostText("/v1/query/desk", body), 400, place};
}
BadCase BadRecord(const std::string& name, const std::string& body,
                  const std::string& place) {
  return {name, PostText("/v1/record/claims", body), 400, place};
}
std::string Head(const std::string& headers) {
  return "POST /v1/query/desk HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}
std::string Chunked(size_t chunks) {
  std::string text = Head("Transfer-Encoding: chunked\r\n");
  for (size_t i = 0; i < chunks; ++i) {
    text += "10000\r\n" + std::string(65536, ' ') + "\r\n";
  }
  return text;
}
std::string ManyHeaders(int n) {
  std::string headers;
  for (int i = 0; i < n; ++i) {
    headers +=
        "X-" + std::to_string(i) + ": " + std::string(1000, 'h') + "\r\n";
  }
  return Head(headers);
}

const std::vector<BadCase> kBad = {
    BadQuery("empty body", "", ""),
    BadQuery("cut short", R"({"query":)", "line"),
    BadQuery("not UTF-8", "{\"query\":\"\xff\xfe\"}", ""),
    BadQuery("too deep", "{\"query\":" + std::string(100, '['), ""),
    BadQuery("very deep", std::string(500000, '['), ""),
    BadQuery("an array", "[]", "$"),
    BadQuery("no query", R"({"limit":1})", "$.query"),
    BadQuery("unknown key", R"({"query":1,"limits":1})", "$.limits"),
    BadQuery("negative limit", R"({"query":1,"limit":-1})", "$.limit"),
    BadQuery("no limit", R"({"query":1,"limit":0})", "$.limit"),
    BadQuery("huge limit", R"({"query":1,"limit":1e30})", "$.limit"),
    BadQuery("broken limit", R"({"query":1,"limit":1.5})", "$.limit"),
    BadQuery("limit as text", R"({"query":1,"limit":"1"})", "$.limit"),
    BadQuery("negative deadline", R"({"query":1,"deadline_ms":-5})",
             "$.deadline_ms"),
    BadQuery("huge deadline", R"({"query":1,"deadline_ms":1e300})",
             "$.deadline_ms"),
    BadQuery("a number out of range", R"({"query":1,"deadline_ms":1e999})", ""),
    BadQuery("coverage over one", R"({"query":1,"min_coverage":1.01})",
             "$.min_coverage"),
    BadQuery("coverage null", R"({"query":1,"min_coverage":null})",
             "$.min_coverage"),
    BadRecord("record without key", R"({"shard":"p","record":1})", "$.key"),
    BadRecord("record without shard", R"({"key":"k","record":1})", "$.shard"),
    BadRecord("empty record", R"({"key":"k","shard":"p"})", "$.record"),
    BadRecord("key as number", R"({"key":1,"shard":"p","record":1})", "$.key"),
    BadRecord("huge record deadline",
              R"({"key":"k","shard":"p","record":1,"deadline_ms":60000})",
              "$.deadline_ms"),
    {"unknown route", PostText("/v1/query/none", R"({"query":1})"), 404, ""},
    {"not ready", PostText("/v1/query/early", R"({"query":1})"), 503, ""},
    {"unknown service",
     PostText("/v1/record/none", R"({"key":"k","shard":"p","record":1})"), 404,
     ""},
    {"unknown path", PostText("/v2/query/desk", "{}"), 404, ""},
    {"body too large", PostText("/v1/query/desk", std::string(2 << 20, ' ')),
     413, ""},
    {"endless chunked body", Chunked(80), 400, ""},
    {"header of 100 KB", Head("X-Big: " + std::string(100000, 'h') + "\r\n"),
     400, ""},
    {"endless headers", ManyHeaders(3000), 400, ""},
    {"customer too long",
     PostText("/v1/query/desk", "{}",
              "X-Customer: " + std::string(65, 'c') + "\r\n"),
     400, "X-Customer"},
    {"not HTTP", "\x16\x03\x01\r\n\r\n", 400, ""},
};

// Bad requests of all kinds. Each is refused with its place, nothing of it is
// run, and the next caller is served.
BOOST_DATA_TEST_CASE_F(ApiFixture, bad_requests_are_refused, data::make(kBad),
                       it) {
  Start();
  const std::string reply = Ask(it.request);
  BOOST_TEST(StatusIn(reply) == it.status);
  const auto json = ParseJson(BodyIn(reply));
  BOOST_TEST_REQUIRE(IsOk(json));
  const Json& error = ValueOf(json)["error"];
  BOOST_TEST(error["ran"] == "no");
  BOOST_TEST(error["message"].get<std::string>().find(it.place) !=
             std::string::npos);
  BOOST_TEST(queries == 0);
  BOOST_TEST(StatusIn(Ask(PostText("/v1/query/desk", R"({"query":1})"))) ==
             200);
}

// What follows a body that was too large is not a request of its own. Taken for
// one, a caller behind a shared balancer could make another's answer wrong.
BOOST_FIXTURE_TEST_CASE(nothing_is_read_after_a_request_cut_short, ApiFixture) {
  Start();
  const std::string hidden = PostText("/v1/query/desk", R"({"query":1})");
  const std::string reply = Ask(Chunked(80) + hidden);
  BOOST_TEST(StatusIn(reply) == 400);
  BOOST_TEST(reply.find("Connection: close") != std::string::npos);
  BOOST_TEST(queries == 0);
}

// A proxy adds a Range header. The answer is whole all the same.
BOOST_FIXTURE_TEST_CASE(a_range_does_not_cut_the_answer, ApiFixture) {
  Start();
  const std::string reply =
      Ask(PostText("/v1/query/desk", R"({"query":1})", "Range: bytes=0-9\r\n"));
  BOOST_TEST(StatusIn(reply) == 200);
  BOOST_TEST(IsOk(ParseJson(BodyIn(reply))));
}

struct IdCase {
  std::string name;
  std::string sent;
  std::string echoed;
};
std::ostream& operator<<(std::ostream& out, const IdCase& it) {
  return out << it.name;
}
const IdCase kIds[] = {
    {"plain", "abc-123", "abc-123"},
    {"with spaces and quotes", "a b\"c", "a_b\"c"},
    {"not ASCII", "\xc3\xa5", "__"},
    {"long", std::string(200, 'r'), std::string(128, 'r')},
};

BOOST_DATA_TEST_CASE_F(ApiFixture, request_ids_come_back_harmless,
                       data::make(kIds), it) {
  Start();
  const std::string reply = Ask(PostText("/v1/query/desk", R"({"query":1})",
                                         "X-Request-Id: " + it.sent + "\r\n"));
  BOOST_TEST(reply.find("X-Request-Id: " + it.echoed + "\r\n") !=
             std::string::npos);
  BOOST_TEST(seen.request_id == it.echoed);
}

BOOST_FIXTURE_TEST_CASE(a_customer_over_its_limit_is_told_when_to_return,
                        ApiFixture) {
  rules = {0.001, 1, 10};
  Start();
  const std::string request = PostText("/v1/query/desk", R"({"query":1})");
  BOOST_TEST(StatusIn(Ask(request)) == 200);
  const std::string reply = Ask(request);
  BOOST_TEST(StatusIn(reply) == 429);
  BOOST_TEST(ErrorName(reply) == "customer_limit");
  BOOST_TEST(reply.find("Retry-After: ") != std::string::npos);
}

// A caller closes its connection while its query runs. The query is stopped and
// its customer's place given back.
BOOST_FIXTURE_TEST_CASE(a_caller_that_goes_away_stops_its_query, ApiFixture) {
  waits_for_caller = true;
  rules.concurrency = 1;
  Start();
  for (int i = 1; i <= 3; ++i) {
    RawClient client(server->port());
    client.Send(PostText("/v1/query/desk", R"({"query":1})"));
    while (queries < i) std::this_thread::yield();
    client.Close();
    while (server->busy() > 0) std::this_thread::yield();
  }
  BOOST_TEST(stopped == 3);
}

// A caller sends half a request and closes. Nothing runs, nothing is held.
BOOST_FIXTURE_TEST_CASE(half_a_request_leaves_nothing_behind, ApiFixture) {
  Start();
  const std::string request = PostText("/v1/query/desk", R"({"query":1})");
  for (const size_t n : {size_t{1}, size_t{30}, request.size() - 3}) {
    RawClient client(server->port());
    client.Send(request.substr(0, n));
  }
  while (server->busy() > 0) std::this_thread::yield();
  server->Stop();
  BOOST_TEST(queries == 0);
}

BOOST_FIXTURE_TEST_CASE(the_probes_tell_alive_from_ready, ApiFixture) {
  Start();
  const std::string get = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  BOOST_TEST(StatusIn(Ask("GET /readyz" + get)) == 200);
  readiness = Code::kLeaving;
  BOOST_TEST(StatusIn(Ask("GET /readyz" + get)) == 503);
  BOOST_TEST(StatusIn(Ask("GET /healthz" + get)) == 200);
  BOOST_TEST(StatusIn(Ask(PostText("/v1/query/desk", R"({"query":1})"))) ==
             200);
}

}  // namespace hibiscuspick::front
