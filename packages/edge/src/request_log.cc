#include "hibiscuspick/edge/request_log.h"

#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::edge {

bool RequestLog::Take(LineBudget* budget, std::string_view what, Millis now) {
  const uint64_t before = budget->left_out;
  if (!TakeLine(budget, now)) return false;
  if (before > 0) {
    Log(Part::kRoute)
        .warn("{} log lines of {} requests suppressed", before, what);
    budget->left_out = 0;
  }
  return true;
}

void RequestLog::Refused(std::string_view request_id, int status,
                         std::string_view why, Millis now) {
  if (!Take(&refused_, "refused", now)) return;
  Log(Part::kFront).info("request {} refused: {} {}", request_id, status, why);
}

void RequestLog::Ended(std::string_view request_id, const RouteId& route,
                       uint64_t config_version, const QueryOutcome& outcome,
                       Millis now) {
  const bool good = outcome.fault == QueryFault::kNone;
  const auto level =
      good && !outcome.late ? spdlog::level::debug : spdlog::level::info;
  if (!Log(Part::kRoute).should_log(level)) return;
  const bool ran = good || outcome.ran;
  auto* budget = good ? &good_ : ran ? &failed_ : &refused_;
  if (!Take(budget, good ? "good" : ran ? "failed" : "refused", now)) return;
  Log(Part::kRoute)
      .log(level,
           "request {} route {} config {}: {} {} after {:.1f} ms, {} of {} "
           "shards received, {} deferred, {} extra attempts, {}missing {}, ran "
           "{}",
           request_id, route.text, config_version, outcome.reply.status,
           FaultName(outcome.fault), outcome.took.count, outcome.shards_in,
           outcome.shards, outcome.kept_back, outcome.extras,
           outcome.behind ? "deprioritized, " : "",
           outcome.lacking.empty() ? "none" : outcome.lacking,
           outcome.ran ? "maybe" : "no");
}

}  // namespace hibiscuspick::edge
