// Replies that a server sends once more, late, on the same connection.
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

using engine::Idempotency;

std::string Refusal(const std::string& headers) {
  return "HTTP/1.1 503 Full\r\n" + headers +
         "Q-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

struct LateRow {
  const char* what;
  Idempotency idempotency;
  // Headers of the refusal that is sent twice.
  const char* headers;
};

std::ostream& operator<<(std::ostream& out, const LateRow& row) {
  return out << row.what;
}

const LateRow kLate[] = {
    {"not idempotent", Idempotency::kNotIdempotent, "Q-Id: one\r\n"},
    {"idempotent", Idempotency::kIdempotent, "Q-Id: one\r\n"},
    {"not idempotent, no id", Idempotency::kNotIdempotent, ""},
    {"idempotent, no id", Idempotency::kIdempotent, ""},
};

// Failure: a late copy of a refusal answers the next attempt, which runs too.
BOOST_DATA_TEST_CASE(RetriedRequestIgnoresLateRefusal, bdata::make(kLate),
                     row) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.idempotency = row.idempotency;
  route.split = {{ServiceId("s"), 1}};
  std::atomic<int> attempts{0};
  std::atomic<int> runs{0};
  const auto& server = fixture.AddServer("s", [&](const std::string& request) {
    if (++attempts == 1) {
      return ScriptedReply{.text = Refusal(row.headers), .repeats_late = true};
    }
    ++runs;
    return ScriptedReply{.text = ValidReply(request, "stamp", "body"),
                         .wait_ms = 20};
  });
  fixture.Publish();
  const auto answer = fixture.SendRequest("POST /p/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
  BOOST_TEST(runs == 1);
  BOOST_TEST(server.connections() == 2);
}

// Failure: a late copy of a refusal without an id answers another request.
BOOST_AUTO_TEST_CASE(LateRefusalWithoutIdIsNoReplyToAnotherRequest) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.attempts = 1;
  route.split = {{ServiceId("s"), 1}};
  // The first request is sent no further after this many refusals.
  constexpr int kRefusals = 4;
  std::atomic<int> refusals{0};
  std::atomic<int> second{0};
  fixture.AddServer("s", [&](const std::string& request) {
    if (HeaderValue(request, "Q-Id") == "one") {
      return ScriptedReply{.text = Refusal(""),
                           .repeats_late = ++refusals == kRefusals};
    }
    ++second;
    return ScriptedReply{.text = ValidReply(request, "stamp", "body")};
  });
  fixture.Publish();
  fixture.SendRequest("POST /p/x");
  RawClient client(fixture.port());
  client.Send(
      "POST /p/y HTTP/1.1\r\nHost: h\r\nQ-Id: two\r\nQ-Deadline: 2000\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n");
  const auto answer = client.Receive();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
  BOOST_TEST(refusals == kRefusals);
  BOOST_TEST(second == 1);
}

}  // namespace
}  // namespace hibiscuspick::edge
