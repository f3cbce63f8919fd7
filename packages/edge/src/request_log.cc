#include "hibiscuspick/edge/request_log.h"

#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::edge {

bool RequestLog::MayLog(LineBudget* budget, std::string_view kind, Millis now) {
  const uint64_t suppressed = budget->left_out;
  if (!TakeLine(budget, now)) return false;
  if (suppressed > 0) {
    Log(Part::kRoute)
        .warn("{} log lines of {} requests suppressed", suppressed, kind);
    budget->left_out = 0;
  }
  return true;
}

void RequestLog::LogRefusal(std::string_view request_id, int status,
                            std::string_view reason, Millis now) {
  constexpr int kUnauthorized = 401;
  const bool denied = status == kUnauthorized;
  if (!MayLog(denied ? &denied_ : &refused_, denied ? "denied" : "refused",
              now)) {
    return;
  }
  Log(Part::kFront)
      .info("request {} refused: {} {}", request_id, status, reason);
}

void RequestLog::LogAllowanceRefusal(std::string_view request_id,
                                     const ClientAccountId& account, int status,
                                     std::string_view reason,
                                     const engine::EarlyRefusal& refusal,
                                     double tokens_held, Millis now) {
  if (!MayLog(&above_allowance_, "above-allowance", now)) return;
  Log(Part::kFront)
      .info(
          "request {} of account {} refused: {} {}, retry after {:.0f} ms, "
          "{:.1f} tokens held, decided on state of {:.0f} ms ago",
          request_id, account.text, status, reason, refusal.retry_after.count,
          tokens_held, refusal.age.count);
}

void RequestLog::LogOutcome(std::string_view request_id, const RouteId& route,
                            uint64_t config_version,
                            const QueryOutcome& outcome, Millis now) {
  const bool succeeded = outcome.fault == QueryFault::kNone;
  const auto level =
      succeeded && !outcome.late ? spdlog::level::debug : spdlog::level::info;
  if (!Log(Part::kRoute).should_log(level)) return;
  const bool may_have_run = succeeded || outcome.may_have_run;
  auto* budget = succeeded ? &successful_ : may_have_run ? &failed_ : &refused_;
  if (!MayLog(budget,
              succeeded      ? "good"
              : may_have_run ? "failed"
                             : "refused",
              now)) {
    return;
  }
  Log(Part::kRoute)
      .log(level,
           "request {} route {} config {}: {} {} after {:.1f} ms, {} of {} "
           "shards received, {} deferred, {} extra attempts, {}missing {}, ran "
           "{}",
           request_id, route.text, config_version, outcome.reply.status,
           FaultName(outcome.fault), outcome.latency.count,
           outcome.shards_received, outcome.shards, outcome.shards_deferred,
           outcome.extra_attempts,
           outcome.deprioritized ? "deprioritized, " : "",
           outcome.missing_detail.empty() ? "none" : outcome.missing_detail,
           outcome.may_have_run ? "maybe" : "no");
}

}  // namespace hibiscuspick::edge
