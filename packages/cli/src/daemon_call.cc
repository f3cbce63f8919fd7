#include "hibiscuspick/cli/daemon_call.h"

#include <cctype>
#include <cstdio>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::cli {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusPartial = 206;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnknown = 504;

std::string Printed(const Json& body, bool compact) {
  if (compact) return DumpJson(body) + "\n";
  return body.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

// The body as JSON, or as it is (the metrics, or a proxy's page).
std::string Printed(const std::string& body, bool compact) {
  const auto parsed = ParseJson(body);
  if (IsOk(parsed)) return Printed(ValueOf(parsed), compact);
  return body.ends_with('\n') ? body : body + "\n";
}

// "409 version_conflict (4102): …", with what else the reply tells.
std::string RefusalText(int status, const std::string& text) {
  std::string message = "refused with status " + std::to_string(status);
  const auto body = ParseJson(text);
  if (!IsOk(body) || !ValueOf(body).is_object()) return message + "\n" + text;
  const auto error = ValueOf(body).find("error");
  if (error != ValueOf(body).end() && error->is_object()) {
    message += ", " + error->value("name", std::string("no name"));
    message += " (" + std::to_string(error->value("code", 0)) + ")";
    message += ": " + error->value("message", std::string());
    const std::string ran = error->value("ran", std::string());
    if (ran == "no") message += "\nnothing of it ran";
    if (ran == "maybe") message += "\nit may have run";
  }
  return message + "\n" + Printed(ValueOf(body), false);
}

ExitCode ExitOf(const DaemonCall& call, int status) {
  if (status == kStatusPartial) return ExitCode::kPartial;
  if (status >= kStatusOk && status < 300) return ExitCode::kDone;
  if (status == kStatusConflict) return ExitCode::kConflict;
  if (status == kStatusUnknown && call.has_effect) {
    return ExitCode::kOutcomeUnknown;
  }
  return ExitCode::kRefused;
}

Report BrokenReport(const DaemonCall& call, const Error& error) {
  const std::string where = ToText(call.target);
  if (error.code == Code::kConnectFailed) {
    return {ExitCode::kUnreachable, "",
            "no daemon can be reached at " + where +
                ": is hibiscuspickd running there, and is this the right one "
                "of its ports? (--target)"};
  }
  std::string message = "the connection to " + where + " gave no whole reply (";
  message.append(CodeName(error.code)).append("): ").append(error.message);
  if (!call.has_effect) return {ExitCode::kUnreachable, "", message};
  const auto write_id = call.headers.find("X-Write-Id");
  message += "\nit may or may not have taken effect";
  if (write_id != call.headers.end()) {
    message +=
        "; sending it again with --write-id " + write_id->second + " is safe";
  }
  return {ExitCode::kOutcomeUnknown, "", message};
}

}  // namespace

Result<http::Reply> SendCall(const DaemonCall& call) {
  http::ConnectionLimits limits;
  limits.max_body = 64 << 20;
  http::Connection connection(call.target, limits);
  auto request = http::MakeRequest(call.method, call.path, call.body);
  for (const auto& [name, value] : call.headers) {
    request.set_header(name, value);
  }
  return connection.Send(std::move(request), call.timeout);
}

Report ReportOf(const DaemonCall& call, const Result<http::Reply>& reply) {
  if (!IsOk(reply)) return BrokenReport(call, ErrorOf(reply));
  const auto& [status, headers, body] = ValueOf(reply);
  Report report;
  report.exit = ExitOf(call, status);
  if (report.exit == ExitCode::kDone) {
    report.output = Printed(body, call.compact);
  } else if (report.exit == ExitCode::kPartial) {
    report.output = Printed(body, call.compact);
    report.message = "the answer covers less than was asked for";
  } else {
    report.message = RefusalText(status, body);
  }
  return report;
}

std::string EncodePath(const std::string& text) {
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool is_plain = std::isalnum(byte) != 0 ||
                          std::string("-._~/").find(c) != std::string::npos;
    if (is_plain) {
      out += c;
      continue;
    }
    char buf[4];
    std::snprintf(buf, sizeof(buf), "%%%02X", byte);
    out += buf;
  }
  return out;
}

}  // namespace hibiscuspick::cli
