#include "hibiscuspick/cli/command.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace {

using hibiscuspick::Code;
using hibiscuspick::Error;
using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Json;
using hibiscuspick::Result;
using hibiscuspick::ToText;
using hibiscuspick::ValueOf;
using hibiscuspick::cli::Command;
using hibiscuspick::cli::DaemonCall;
using hibiscuspick::cli::EncodePath;
using hibiscuspick::cli::HelpShown;
using hibiscuspick::cli::LoadPlan;
using hibiscuspick::cli::ReadCommand;
using hibiscuspick::cli::Surroundings;

using Words = std::vector<std::string>;

// A token in the environment, a file with a comment, and one on standard input.
Surroundings TestSurroundings() {
  return {[](const std::string& name) -> std::optional<std::string> {
            if (name != "HIBISCUSPICK_TOKEN") return std::nullopt;
            return "secret";
          },
          [](const std::string& path) -> Result<std::string> {
            if (path == "a.json") return std::string("{\"a\": 1} // note");
            if (path == "-") return std::string("{\"in\": 1}");
            if (path == "broken.json") return std::string("{");
            return Error{Code::kNotFound, path, ""};
          }};
}

struct CallRow {
  Words args;
  std::string method;
  std::string path;
  std::string body;
  // A header that must be there, as "name: value".
  std::string header;
};

std::ostream& operator<<(std::ostream& out, const CallRow& row) {
  for (const auto& it : row.args) out << it << ' ';
  return out;
}

constexpr char kToken[] = "Authorization: Bearer secret";

const std::vector<CallRow> kCallRows = {
    {{"get", "service", "claims-02"},
     "GET",
     "/v1/services/claims-02",
     "",
     kToken},
    {{"get", "services"}, "GET", "/v1/services", "", kToken},
    {{"get", "settings", "customer/a b"},
     "GET",
     "/v1/settings/customer/a%20b",
     "",
     kToken},
    {{"get", "route", "r", "--token", "other"},
     "GET",
     "/v1/routes/r",
     "",
     "Authorization: Bearer other"},
    {{"put", "--if-none-match", "snapshot", "s", "a.json"},
     "PUT",
     "/v1/snapshots/s",
     R"({"a":1})",
     "If-None-Match: *"},
    {{"put", "--if-match", "7", "settings", "system"},
     "PUT",
     "/v1/settings/system",
     R"({"in":1})",
     "If-Match: 7"},
    {{"put", "--if-match", "7", "--write-id", "w1", "route", "r"},
     "PUT",
     "/v1/routes/r",
     R"({"in":1})",
     "X-Write-Id: w1"},
    {{"delete", "--if-match", "7", "route", "r"},
     "DELETE",
     "/v1/routes/r",
     "",
     "If-Match: 7"},
    {{"effective", "route/fraud", "--customer", "c"},
     "GET",
     "/v1/settings/route/fraud?effective=true&customer=c",
     "",
     kToken},
    {{"status"}, "GET", "/v1/status", "", kToken},
    {{"drain", "b1", "--reason", "disk"},
     "PUT",
     "/v1/drains/b1",
     R"({"reason":"disk"})",
     kToken},
    {{"undrain", "b1"}, "DELETE", "/v1/drains/b1", "", kToken},
    {{"query", "fraud", "-q", "5", "--limit", "3"},
     "POST",
     "/v1/query/fraud",
     R"({"limit":3,"query":5})",
     ""},
    {{"query", "fraud", "--min-coverage", "0.5", "--request-id", "r1"},
     "POST",
     "/v1/query/fraud",
     R"({"min_coverage":0.5,"query":{"in":1}})",
     "X-Request-Id: r1"},
    {{"record", "claims", "-k", "k1", "--shard", "p2", "a.json"},
     "POST",
     "/v1/record/claims",
     R"({"key":"k1","record":{"a":1},"shard":"p2"})",
     ""},
};

struct FaultRow {
  Words args;
  // A part of the message.
  std::string says;
};

std::ostream& operator<<(std::ostream& out, const FaultRow& row) {
  for (const auto& it : row.args) out << it << ' ';
  return out;
}

const std::vector<FaultRow> kFaultRows = {
    {{}, "usage"},
    {{"gte"}, "unknown command gte"},
    {{"get"}, "kind"},
    {{"get", "server", "b1"}, "unknown kind server"},
    {{"get", "service", "a", "--targt", "x"}, "targt"},
    {{"get", "service", "a", "--target", "localhost:1"}, "--target"},
    {{"put", "service", "a", "a.json"}, "--if-none-match"},
    {{"put", "--if-none-match", "--if-match", "1", "service", "a"},
     "--if-match"},
    {{"put", "--if-none-match", "service", "a", "no.json"}, "no.json"},
    {{"put", "--if-none-match", "service", "a", "broken.json"}, "broken.json"},
    {{"put", "--if-match", "x", "service", "a"}, "if-match"},
    {{"delete", "service", "a"}, "--if-match"},
    {{"query", "r", "-q", "{"}, "--query"},
    {{"query", "r", "-q", "1", "--min-coverage", "1.5"}, "--min-coverage"},
    {{"record", "s", "--shard", "p"}, "key"},
    {{"load"}, "mix"},
    {{"load", "-m", "fraud"}, "\"fraud\""},
    {{"load", "-m", "fraud=0"}, "\"fraud=0\""},
    {{"load", "-m", "a=1,=2"}, "\"=2\""},
    {{"load", "-m", "a=nan"}, "\"a=nan\""},
    {{"load", "-m", "a=1", "-s", "0"}, "--seconds"},
    {{"load", "-m", "a=1", "-s", "2", "--warm-up", "2"}, "--warm-up"},
    {{"load", "-m", "a=1", "-w", "0"}, "--workers"},
    {{"load", "-m", "a=1", "-t", "127.0.0.1:1,x"}, "--targets"},
};

Result<Command> Read(const Words& args) {
  return ReadCommand(args, TestSurroundings());
}

}  // namespace

BOOST_DATA_TEST_CASE(commands_become_calls, kCallRows) {
  const auto command = Read(sample.args);
  BOOST_REQUIRE(IsOk(command));
  const auto* call = std::get_if<DaemonCall>(&ValueOf(command));
  BOOST_REQUIRE(call);
  BOOST_TEST(call->method == sample.method);
  BOOST_TEST(call->path == sample.path);
  BOOST_TEST(call->body == sample.body);
  BOOST_TEST(call->has_effect ==
             (sample.method != "GET" && !sample.path.starts_with("/v1/query")));
  bool found = sample.header.empty();
  for (const auto& [name, value] : call->headers) {
    found = found || name + ": " + value == sample.header;
  }
  BOOST_TEST(found);
}

BOOST_DATA_TEST_CASE(bad_arguments_are_named, kFaultRows) {
  const auto command = Read(sample.args);
  BOOST_REQUIRE(!IsOk(command));
  const std::string message = ErrorOf(command).message;
  BOOST_TEST(message.find(sample.says) != std::string::npos, message);
}

BOOST_AUTO_TEST_CASE(without_a_token_no_operators_call_is_made) {
  Surroundings bare = TestSurroundings();
  bare.variable = [](const std::string&) { return std::nullopt; };
  const auto command = ReadCommand({"status"}, bare);
  BOOST_REQUIRE(!IsOk(command));
  BOOST_TEST(ErrorOf(command).message.find("HIBISCUSPICK_TOKEN") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_load_plan_is_read) {
  const auto command =
      Read({"load", "-t", "127.0.0.1:8001,127.0.0.1:8002", "-m",
            "fraud=50,portal=200.5", "-s", "2", "--warm-up", "0.5", "--even",
            "--verify", "--deadline-ms", "100"});
  BOOST_REQUIRE(IsOk(command));
  const auto* plan = std::get_if<LoadPlan>(&ValueOf(command));
  BOOST_REQUIRE(plan);
  BOOST_TEST(ToText(plan->targets.at(1)) == "127.0.0.1:8002");
  BOOST_TEST(plan->mix.at(1).route == "portal");
  BOOST_TEST(plan->mix.at(1).per_second == 200.5);
  BOOST_TEST(plan->warm_up.count == 500);
  BOOST_TEST(plan->verify);
  BOOST_TEST(plan->options == (Json{{"deadline_ms", 100}}));
}

BOOST_AUTO_TEST_CASE(names_are_encoded_for_a_path) {
  BOOST_TEST(EncodePath("a/b-c._~") == "a/b-c._~");
  BOOST_TEST(EncodePath("a?b%\xc3\xa5") == "a%3Fb%25%C3%A5");
}
