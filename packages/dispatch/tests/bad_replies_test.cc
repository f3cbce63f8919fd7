#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <thread>

#include "executor_fixture.h"
#include "fake_backend.h"
#include "hibiscuspick/dispatch/part_executor.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::dispatch {
namespace {

// A valid HTTP reply that is not a valid answer to the attempt.
struct ReplyRow {
  const char* name;
  std::function<void(httplib::Response&)> modify;
  Code code;
};

std::ostream& operator<<(std::ostream& out, const ReplyRow& row) {
  return out << row.name;
}

void Replace(httplib::Response* response, const char* header,
             const char* value) {
  response->headers.erase(header);
  response->set_header(header, value);
}

std::function<void(httplib::Response&)> Body(const char* body) {
  return [body](auto& it) { it.set_content(body, "application/json"); };
}

const ReplyRow kReplies[] = {
    {"not JSON", Body("<html>"), Code::kBadReply},
    {"truncated JSON", Body(R"({"hits": [], "documents": 1, "comp)"),
     Code::kBadReply},
    {"not complete", Body(R"({"hits": [], "documents": 1, "complete": false})"),
     Code::kBadReply},
    {"no documents", Body(R"({"hits": [], "complete": true})"),
     Code::kBadReply},
    {"hit without score",
     Body(R"({"hits": [{"id": "d"}], "documents": 1, "complete": true})"),
     Code::kBadReply},
    {"another attempt",
     [](auto& it) { Replace(&it, "X-Attempt-Id", "osl-1-a-4-1"); },
     Code::kWrongEcho},
    {"another version", [](auto& it) { Replace(&it, "X-Snapshot", "6"); },
     Code::kWrongEcho},
    {"another server", [](auto& it) { Replace(&it, "X-Server-Id", "b9"); },
     Code::kWrongEcho},
    {"no server id", [](auto& it) { it.headers.erase("X-Server-Id"); },
     Code::kWrongEcho},
    {"status 500", [](auto& it) { it.status = 500; }, Code::kBackendError},
    {"status 503, may have run", [](auto& it) { it.status = 503; },
     Code::kBackendError},
    {"shed",
     [](auto& it) {
       it.status = 503;
       it.set_header("X-Not-Run", "true");
     },
     Code::kShed},
    {"version not held",
     [](auto& it) {
       it.status = 409;
       it.set_content(R"({"held": [5, 6]})", "application/json");
     },
     Code::kVersionNotHeld},
};

// Bytes that are not a complete HTTP reply, and what the server does after
// sending them.
struct StreamRow {
  const char* name;
  std::string bytes;
  RawBackend::After after;
  Code code;
};

std::ostream& operator<<(std::ostream& out, const StreamRow& row) {
  return out << row.name;
}

void HoldOpen(int sock) {
  char buf[256];
  while (::recv(sock, buf, sizeof(buf), 0) > 0) {
  }
}

void SendEndlessly(int sock) {
  const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  while (::send(sock, chunk.data(), chunk.size(), MSG_NOSIGNAL) > 0) {
  }
}

void TrickleEndlessly(int sock) {
  while (::send(sock, "X", 1, MSG_NOSIGNAL) > 0) {
    std::this_thread::sleep_for(Millis(10).ToMicros());
  }
}

const char kHead[] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

const StreamRow kStreams[] = {
    {"closed without a reply", "", nullptr, Code::kReadFailed},
    {"not HTTP", "hello\r\n\r\n", nullptr, Code::kReadFailed},
    {"cut off in the body",
     std::string(kHead) + "Content-Length: 500\r\n\r\n{\"hits\": [", nullptr,
     Code::kReadFailed},
    {"endless body", std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n",
     SendEndlessly, Code::kReplyTooLarge},
    {"silent", "", HoldOpen, Code::kDeadlineExceeded},
    {"endless headers", std::string(kHead), TrickleEndlessly,
     Code::kDeadlineExceeded},
};

constexpr Millis kShortDeadline{250};

limits::GroupPolicy OneAttempt() {
  limits::GroupPolicy policy;
  policy.retry.max_attempts = 1;
  return policy;
}

}  // namespace

// A backend server's reply is not a complete reply to the attempt. Its hits
// must not enter an answer; the shard fails with a code that tells why.
BOOST_DATA_TEST_CASE(a_bad_reply_is_never_an_answer, bdata::make(kReplies),
                     row) {
  FakeBackend b1("b1");
  b1.on_query = [&](const auto&, auto& response) { row.modify(response); };
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config()}, OneAttempt());
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 1), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(1));
  const auto outcome = outcomes.Of("p0");
  BOOST_TEST(CodeName(outcome.code) == CodeName(row.code));
  BOOST_TEST((outcome.ran == Ran::kMaybe));
  BOOST_TEST(outcome.hits.empty());
}

// One replica sends bad replies, the other good ones. Every shard must be
// answered by the good one.
BOOST_DATA_TEST_CASE(the_other_replica_answers, bdata::make(kReplies), row) {
  FakeBackend b1("b1");
  b1.on_query = [&](const auto&, auto& response) { row.modify(response); };
  FakeBackend b2("b2");
  b1.Start();
  b2.Start();
  const auto config = MakeGroupConfig({b1.Config(), b2.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 4), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(4));
  for (const char* shard : {"p0", "p1", "p2", "p3"}) {
    BOOST_TEST((outcomes.Of(shard).code == Code::kOk));
    BOOST_TEST(outcomes.Of(shard).hits.size() == 1u);
  }
  executor.Stop();
  BOOST_TEST(outcomes.MaxDeliveries() == 1);
  BOOST_TEST(!b1.SawAttemptTwice());
}

// A backend server's reply is cut off, endless or missing. The outcome is
// delivered by the deadline, and no thread hangs: Stop returns.
BOOST_DATA_TEST_CASE(a_broken_stream_is_a_failed_attempt, bdata::make(kStreams),
                     row) {
  RawBackend b1(row.bytes, row.after);
  const auto config = MakeGroupConfig({b1.Config("b1")}, OneAttempt());
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 1, kShortDeadline), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(1));
  const auto outcome = outcomes.Of("p0");
  BOOST_TEST(CodeName(outcome.code) == CodeName(row.code));
  BOOST_TEST((outcome.ran == Ran::kMaybe));
  executor.Stop();
  BOOST_TEST(outcomes.MaxDeliveries() == 1);
}

}  // namespace hibiscuspick::dispatch
