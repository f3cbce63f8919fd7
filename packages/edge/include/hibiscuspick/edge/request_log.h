// Log lines of requests: one for each that was refused, failed or late, and at
// level debug for those that went well.
#pragma once

#include <cstdint>
#include <string_view>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log_sink.h"
#include "hibiscuspick/edge/query_run.h"

namespace hibiscuspick::edge {

class RequestLog {
 public:
  // A request that never became a query.
  void Refused(std::string_view request_id, int status, std::string_view why,
               Millis now);
  // A query's end. `config_version`: the one it was served by.
  void Ended(std::string_view request_id, const RouteId& route,
             uint64_t config_version, const QueryOutcome& outcome, Millis now);

 private:
  // Whether a line may be written; says before it how many were left out.
  static bool Take(LineBudget* budget, std::string_view what, Millis now);

  // Requests that failed come before those that were refused or went well:
  // each kind has its own.
  LineBudget refused_;
  LineBudget failed_;
  LineBudget good_;
};

}  // namespace hibiscuspick::edge
