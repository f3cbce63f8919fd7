// Replies that do not name the request they arrive for, or not clearly.
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "reply_forms.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

constexpr RouteKind kKinds[] = {RouteKind::kNotIdempotent,
                                RouteKind::kIdempotent, RouteKind::kFanOut};
constexpr RouteKind kPlainKinds[] = {RouteKind::kNotIdempotent,
                                     RouteKind::kIdempotent};

constexpr const char* kBody = "Content-Length: 5\r\n\r\nother";
constexpr const char* kStamp = "Q-Stamp: other\r\n";

std::string Reply(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + headers + kBody;
}

const ReplyForm kForms[] = {
    {"two ids, the second another's",
     Reply("200 OK", std::string("Q-Id: $\r\nQ-Id: two\r\n") + kStamp)},
    {"two ids, the first another's",
     Reply("200 OK", std::string("Q-Id: two\r\nQ-Id: $\r\n") + kStamp)},
    {"the same id twice",
     Reply("200 OK", std::string("Q-Id: $\r\nq-id: $\r\n") + kStamp)},
    {"two stamps",
     Reply("200 OK", std::string("Q-Id: $\r\nQ-Stamp: a\r\n") + kStamp)},
    {"no id", Reply("200 OK", kStamp)},
    {"empty id", Reply("200 OK", std::string("Q-Id:\r\n") + kStamp)},
    {"no stamp", Reply("200 OK", "Q-Id: $\r\n")},
    {"success that has not run",
     Reply("200 OK", std::string("Q-Id: $\r\nQ-Not-Run: 1\r\n") + kStamp)},
    {"client error without an id", Reply("404 Not Found", kStamp)},
    {"server error without an id", Reply("500 Failed", kStamp)},
    {"server error with an empty id", Reply("500 Failed", "Q-Id: \r\n")},
    {"redirection without an id", Reply("301 Moved", kStamp)},
    {"server error with two ids",
     Reply("500 Failed", "Q-Id: $\r\nQ-Id: two\r\n")},
    {"refusal with two ids",
     Reply("503 Full", "Q-Id: $\r\nQ-Id: two\r\nQ-Not-Run: 1\r\n")},
    {"misdirected with two ids",
     Reply("421 Misdirected", "Q-Id: $\r\nQ-Id: two\r\n")},
};

// Failure: a reply that does not clearly name the request answers it.
BOOST_DATA_TEST_CASE(RepliesWithoutOneIdAreNoAnswers,
                     bdata::make(kForms) * bdata::make(kKinds), form, kind) {
  CheckIsNoAnswer(form, kind);
}

std::string Named(const std::string& status) {
  return Reply(status, std::string("Q-Id: $\r\n") + kStamp);
}

const ReplyForm kInvalidStatuses[] = {
    {"000", Named("000 X")},
    {"001", Named("001 X")},
    {"099", Named("099 X")},
    {"101", Named("101 Switching")},
    {"600", Named("600 X")},
    {"700", Named("700 X")},
    {"999", Named("999 X")},
    {"000 without a reason", Named("000")},
    {"000 without an id", Reply("000 X", kStamp)},
};

// Failure: a status that HTTP doesn't define is passed on, or waited out.
BOOST_DATA_TEST_CASE(RepliesWithInvalidStatusesAreNoAnswers,
                     bdata::make(kInvalidStatuses) * bdata::make(kKinds), form,
                     kind) {
  CheckIsNoAnswer(form, kind);
}

// Failure: a damaged reply is taken as a success that its bytes are not.
BOOST_DATA_TEST_CASE(DamagedIdentityFormsAreNoWrongSuccesses,
                     bdata::make(kForms), form) {
  FuzzForm(form, 43);
}

const ReplyForm kLate[] = {
    {"server error", Reply("500 Failed", "")},
    {"server error with a stamp", Reply("500 Failed", kStamp)},
    {"client error", Reply("404 Not Found", "")},
    {"refusal", Reply("503 Full", "Q-Not-Run: 1\r\n")},
    {"misdirected", Reply("421 Misdirected", "")},
    {"success", Reply("200 OK", kStamp)},
};

constexpr const char* kSecond =
    "POST /p/y HTTP/1.1\r\nHost: h\r\nQ-Id: two\r\nQ-Deadline: 2000\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

// A server that replies to the first request as it should.
class ReusedConnection {
 public:
  // `second` replies to the second request on the connection.
  ReusedConnection(RouteKind kind, const RawServer::Script& second) {
    auto& route = fixture_.AddRoute("/p/");
    route.idempotency = kind == RouteKind::kIdempotent
                            ? engine::Idempotency::kIdempotent
                            : engine::Idempotency::kNotIdempotent;
    route.split = {{ServiceId("s"), 1}};
    fixture_.AddServer("s", [this, second](const std::string& request) {
      if (HeaderValue(request, "Q-Id") == "one") {
        return ScriptedReply{.text = ValidReply(request, "stamp", "first")};
      }
      ++second_runs_;
      return second(request);
    });
    fixture_.Publish();
    BOOST_TEST(fixture_.SendRequest("POST /p/x").ends_with("first"));
  }
  std::string SendSecond() {
    RawClient client(fixture_.port());
    client.Send(kSecond);
    return client.Receive();
  }
  int second_runs() const { return second_runs_; }
  TrafficFixture& fixture() { return fixture_; }

 private:
  std::atomic<int> second_runs_{0};
  TrafficFixture fixture_;
};

// Failure: bytes after a complete reply answer the connection's next request.
BOOST_DATA_TEST_CASE(ExtraRepliesDoNotAnswerTheNextRequest,
                     bdata::make(kLate) * bdata::make(kPlainKinds), form,
                     kind) {
  ReusedConnection connection(kind, [&](const std::string& request) {
    return ScriptedReply{.text = TextFor(form, request) +
                                 ValidReply(request, "stamp", "second")};
  });
  const auto answer = connection.SendSecond();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
  BOOST_TEST(answer.ends_with("second"), answer);
  BOOST_TEST(connection.second_runs() == 1);
}

// Failure: a reply without an id answers, repeats or holds up the request.
BOOST_DATA_TEST_CASE(RepliesWithoutIdOnUsedConnectionsAreNoAnswers,
                     bdata::make(kLate), form) {
  ReusedConnection connection(
      RouteKind::kNotIdempotent, [&](const std::string& request) {
        return ScriptedReply{.text = TextFor(form, request)};
      });
  const auto answer = connection.SendSecond();
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(answer.find("other") == std::string::npos, answer);
  BOOST_TEST(connection.second_runs() == 1);
}

// Failure: a rejected reply can't be found by its reason.
BOOST_AUTO_TEST_CASE(RejectedRepliesAreCountedByReason) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.attempts = 1;
  route.split = {{ServiceId("s"), 1}};
  fixture.AddServer("s", [](auto&) {
    return ScriptedReply{.text = Reply("404 Not Found", "")};
  });
  fixture.Publish();
  fixture.SendRequest("POST /p/x");
  const auto text = fixture.GetReadiness(std::string(kMetricsPath));
  BOOST_TEST(text.find("hibiscuspick_edge_rejected_replies_total{reason=\"no_"
                       "request_id\"} 1") != std::string::npos);
}

}  // namespace
}  // namespace hibiscuspick::edge
