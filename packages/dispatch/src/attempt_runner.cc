#include "attempt_runner.h"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <utility>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/dispatch/reply_check.h"

namespace hibiscuspick::dispatch {
namespace {

constexpr int kNotFoundStatus = 404;
constexpr Millis kTimeoutMargin{2};

// Shard names are set by operators and may contain any character. Unescaped, a
// slash or a line break would change the request.
std::string EscapePath(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    const bool plain = std::isalnum(byte) != 0 || it == '-' || it == '_' ||
                       it == '.' || it == '~';
    if (plain) {
      escaped += it;
      continue;
    }
    escaped += '%';
    escaped += kHex[byte >> 4];
    escaped += kHex[byte & 15];
  }
  return escaped;
}

httplib::Request MakeAttemptRequest(const Job& job, const std::string& wire_id,
                                    Millis time_left) {
  const std::string operation = job.record ? "/record" : "/query";
  auto request = http::MakeRequest(
      "POST", "/v1/shards/" + EscapePath(job.shard.text) + operation,
      job.record ? job.record->body : job.part->body);
  request.set_header("X-Attempt-Id", wire_id);
  request.set_header("X-Snapshot", std::to_string(job.version.value));
  // Rounded down: the server must not work past the deadline.
  const auto whole = static_cast<int64_t>(std::max(1.0, time_left.count));
  request.set_header("X-Deadline-Ms", std::to_string(whole));
  request.set_header("X-Lane", std::string(LaneName(job.lane)));
  if (job.record) request.set_header("X-Record-Key", job.record->key);
  return request;
}

}  // namespace

std::string AttemptWireId(const InstanceId& instance, Incarnation incarnation,
                          AttemptId attempt) {
  return instance.text + "-" + std::to_string(incarnation.value) + "-" +
         std::to_string(attempt.value);
}

AttemptResult SendAttempt(const AttemptSpec& spec, const std::string& wire_id,
                          const std::shared_ptr<http::Connection>& connection) {
  AttemptResult result;
  result.report.attempt = spec.attempt;
  const Millis begin = SteadyNow();
  const Millis time_left = Max(Millis(1), spec.deadline - begin);
  auto reply = connection->Send(
      MakeAttemptRequest(spec.job, wire_id, time_left), time_left);
  result.report.latency = SteadyNow() - begin;
  if (!IsOk(reply)) {
    result.report.code = ErrorOf(reply).code;
    // The HTTP library waits in whole milliseconds and so may time out slightly
    // early.
    const bool at_deadline =
        result.report.latency + kTimeoutMargin >= time_left;
    if (result.report.code == Code::kReadFailed && at_deadline) {
      result.report.code = Code::kDeadlineExceeded;
    }
    return result;
  }
  const ExpectedEcho expected{wire_id, spec.job.version, spec.server,
                              spec.job.record != nullptr};
  CheckedReply checked = CheckReply(expected, ValueOf(reply));
  result.report.code = checked.code;
  result.report.held = std::move(checked.held);
  result.report.draining = checked.draining;
  result.report.incarnation = checked.incarnation;
  result.content.hits = std::move(checked.hits);
  if (spec.job.record) result.content.body = std::move(ValueOf(reply).body);
  // After a wrong echo the connection is out of sync: the next reply on it may
  // also belong to another attempt.
  result.reusable = checked.code != Code::kWrongEcho && connection->IsOpen();
  return result;
}

CancelReply SendCancelRequest(
    const std::string& wire_id,
    const std::shared_ptr<http::Connection>& connection, Millis timeout) {
  const auto reply = connection->Send(
      http::MakeRequest("DELETE", "/v1/attempts/" + EscapePath(wire_id)),
      timeout);
  if (!IsOk(reply)) return {};
  const int status = ValueOf(reply).status;
  const bool done = status >= 200 && status < 300;
  // 404: the attempt has ended. If the cancel overtook the attempt's request,
  // one attempt too many may run in its slot, and the server sheds what exceeds
  // its capacity.
  return {done || status == kNotFoundStatus, connection->IsOpen()};
}

bool OpenConnection(const std::shared_ptr<http::Connection>& connection,
                    Millis timeout) {
  const auto reply =
      connection->Send(http::MakeRequest("GET", "/v1/health"), timeout);
  return IsOk(reply) && connection->IsOpen();
}

void LogAttempt(const AttemptSpec& spec, const AttemptResult& result) {
  Log(Part::kBackend)
      .debug(
          "attempt {} at server {} for shard {} ended with {} after {:.1f} ms",
          spec.attempt.value, spec.server.text, spec.job.shard.text,
          CodeName(result.report.code), result.report.latency.count);
}

}  // namespace hibiscuspick::dispatch
