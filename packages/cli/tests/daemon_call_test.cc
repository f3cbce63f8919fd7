#include "hibiscuspick/cli/daemon_call.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "hibiscuspick/http/server.h"

namespace {

using hibiscuspick::Code;
using hibiscuspick::Error;
using hibiscuspick::IsOk;
using hibiscuspick::Result;
using hibiscuspick::cli::DaemonCall;
using hibiscuspick::cli::ExitCode;
using hibiscuspick::cli::Report;
using hibiscuspick::cli::ReportOf;
using hibiscuspick::cli::SendCall;
using hibiscuspick::http::Reply;

struct ReplyRow {
  bool has_effect;
  int status;
  std::string body;
  ExitCode exit;
  // Parts of what is printed, to either stream.
  std::vector<std::string> says;
};

std::ostream& operator<<(std::ostream& out, const ReplyRow& row) {
  return out << row.status << (row.has_effect ? " of a write" : "");
}

const std::vector<ReplyRow> kReplyRows = {
    {false, 200, R"({"version":3})", ExitCode::kDone, {"\"version\": 3"}},
    {false, 200, "hp_up 1", ExitCode::kDone, {"hp_up 1\n"}},
    {false, 206, "{}", ExitCode::kPartial, {"{}", "covers less"}},
    {true,
     409,
     R"({"error":{"code":4102,"name":"version_conflict","message":"m"},)"
     R"("version":8})",
     ExitCode::kConflict,
     {"version_conflict (4102)", "\"version\": 8"}},
    {true,
     422,
     R"({"error":{"name":"invalid_value"},"faults":[{"path":"$.a"}]})",
     ExitCode::kRefused,
     {"invalid_value", "$.a"}},
    {true,
     503,
     R"({"error":{"name":"leaving","ran":"no"}})",
     ExitCode::kRefused,
     {"leaving", "nothing of it ran"}},
    {true,
     504,
     R"({"error":{"name":"outcome_unknown","ran":"maybe"}})",
     ExitCode::kOutcomeUnknown,
     {"it may have run"}},
    {false,
     504,
     R"({"error":{"name":"deadline_exceeded"}})",
     ExitCode::kRefused,
     {"deadline_exceeded"}},
    {false, 502, "<html>", ExitCode::kRefused, {"502", "<html>"}},
};

struct BrokenRow {
  bool has_effect;
  Code code;
  ExitCode exit;
  std::string says;
};

std::ostream& operator<<(std::ostream& out, const BrokenRow& row) {
  return out << CodeName(row.code) << (row.has_effect ? " of a write" : "");
}

const std::vector<BrokenRow> kBrokenRows = {
    {false, Code::kConnectFailed, ExitCode::kUnreachable, "127.0.0.1:8101"},
    {true, Code::kConnectFailed, ExitCode::kUnreachable, "hibiscuspickd"},
    {false, Code::kReadFailed, ExitCode::kUnreachable, "read_failed"},
    {true, Code::kReadFailed, ExitCode::kOutcomeUnknown, "--write-id w1"},
    {true, Code::kDeadlineExceeded, ExitCode::kOutcomeUnknown,
     "may or may not"},
};

DaemonCall TestCall(bool has_effect) {
  DaemonCall call;
  call.target = {"127.0.0.1", 8101};
  call.method = has_effect ? "PUT" : "GET";
  call.path = "/";
  call.has_effect = has_effect;
  call.headers.emplace("X-Write-Id", "w1");
  return call;
}

}  // namespace

BOOST_DATA_TEST_CASE(replies_are_told_plainly, kReplyRows) {
  const Result<Reply> reply = Reply{sample.status, {}, sample.body};
  const Report report = ReportOf(TestCall(sample.has_effect), reply);
  BOOST_TEST((report.exit == sample.exit));
  const std::string all = report.output + report.message;
  for (const auto& it : sample.says) {
    BOOST_TEST(all.find(it) != std::string::npos, all);
  }
  BOOST_TEST(report.message.empty() == (sample.exit == ExitCode::kDone));
}

// The daemon is gone or the connection breaks. For a write the operator has to
// learn whether it can have taken effect.
BOOST_DATA_TEST_CASE(broken_calls_are_told_plainly, kBrokenRows) {
  const Result<Reply> reply = Error{sample.code, "", "x"};
  const Report report = ReportOf(TestCall(sample.has_effect), reply);
  BOOST_TEST((report.exit == sample.exit));
  BOOST_TEST(report.message.find(sample.says) != std::string::npos,
             report.message);
}

BOOST_AUTO_TEST_CASE(a_call_arrives_as_it_was_made) {
  hibiscuspick::http::Server server({});
  std::string seen;
  server.Put("/", [&](const auto& request, auto& response) {
    seen = request.body + request.get_header_value("X-Write-Id");
    response.set_content("{}", "application/json");
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  DaemonCall call = TestCall(true);
  call.target.port = server.port();
  call.body = "5";
  BOOST_TEST((ReportOf(call, SendCall(call)).exit == ExitCode::kDone));
  BOOST_TEST(seen == "5w1");
}
