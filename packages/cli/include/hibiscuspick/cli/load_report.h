// The figures of a load run, for each route and for all.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/cli/load_answer.h"
#include "hibiscuspick/cli/load_plan.h"

namespace hibiscuspick::cli {

struct RouteReport {
  std::string route;
  uint64_t sent = 0;
  uint64_t whole = 0;
  uint64_t partial = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t wrong = 0;
  // Whole and partial answers that came within the deadline of the run's
  // queries; 0 if the run names none.
  uint64_t in_time = 0;
  // Over all answers: shards asked for, attempts at backend servers.
  uint64_t shards = 0;
  uint64_t attempts = 0;
  // Of whole and partial answers.
  Millis p50, p90, p99, p999, most;
  double mean_coverage = 0;
  // Of the answers, those that cover every document.
  double share_whole_coverage = 0;
  // Attempts at backend servers for each shard of an answer; above 1 is extra
  // load.
  double attempts_per_shard = 0;
  // Refused and failed ones by code.
  std::map<Code, uint64_t> codes;
};

struct LoadReport {
  std::vector<RouteReport> routes;
  // The same over all routes, named "all".
  RouteReport total;
  // From the first query's instant to the last answer.
  Millis elapsed;
  // How late the generator itself sent: 99 in 100 at most so much.
  Millis late_p99;
  // Processor time of the generator, in cores.
  double own_cores = 0;
  size_t workers = 0;
};

// The nearest-rank quantile; 0 for no values. Reorders the values.
Millis Quantile(std::vector<Millis>& values, double share);

// Answers whose `late` and instants lie before the warm-up are the caller's
// to leave out. `deadline` is that of the run's queries, 0 for none.
LoadReport MakeReport(const std::vector<RouteRate>& mix,
                      const std::vector<LoadAnswer>& answers,
                      Millis deadline = Millis(0));

std::string ReportTable(const LoadReport& report);
Json ReportJson(const LoadReport& report);

}  // namespace hibiscuspick::cli
