// Rate-limited log of requests: one line for each request that was refused,
// failed or late, and at level debug for successful ones.
#pragma once

#include <cstdint>
#include <string_view>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log_sink.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/engine/remote_refusals.h"

namespace hibiscuspick::edge {

class RequestLog {
 public:
  // Logs a request that was refused before it became a query.
  void LogRefusal(std::string_view request_id, int status,
                  std::string_view reason, Millis now);
  // Logs a request that was refused for its account's allowance, with the
  // tokens left here and the age of the lease or refusal that decided it.
  void LogAllowanceRefusal(std::string_view request_id,
                           const ClientAccountId& account, int status,
                           std::string_view reason,
                           const engine::EarlyRefusal& refusal,
                           double tokens_held, Millis now);
  // Logs the outcome of a query. `config_version` is the configuration that
  // served it.
  void LogOutcome(std::string_view request_id, const RouteId& route,
                  uint64_t config_version, const QueryOutcome& outcome,
                  Millis now);

 private:
  // Whether the budget allows a line; logs first how many were suppressed since
  // the last.
  static bool MayLog(LineBudget* budget, std::string_view kind, Millis now);

  // One budget for each kind, so that denied, refused or successful requests
  // cannot suppress lines of failed ones.
  LineBudget denied_;
  LineBudget refused_;
  LineBudget above_allowance_;
  LineBudget failed_;
  LineBudget successful_;
};

}  // namespace hibiscuspick::edge
