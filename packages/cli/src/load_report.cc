#include "hibiscuspick/cli/load_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hibiscuspick::cli {
namespace {

// The sums of one route while its answers are gone through.
struct Tally {
  RouteReport report;
  std::vector<Millis> latencies;
  double coverage = 0;
  uint64_t fully_covered = 0;
};

void Add(Tally* tally, const LoadAnswer& answer, Millis deadline) {
  RouteReport& report = tally->report;
  ++report.sent;
  if (answer.wrong) ++report.wrong;
  const bool refused = answer.kind == AnswerKind::kRefused;
  if (refused || answer.kind == AnswerKind::kFailed) {
    ++(refused ? report.refused : report.failed);
    ++report.codes[answer.code];
    return;
  }
  ++(answer.kind == AnswerKind::kWhole ? report.whole : report.partial);
  tally->latencies.push_back(answer.latency);
  tally->coverage += answer.coverage;
  if (answer.coverage >= 1) ++tally->fully_covered;
  if (answer.latency <= deadline) ++report.in_time;
  report.shards += answer.shards;
  report.attempts += answer.attempts;
}

double Ratio(double part, uint64_t whole) {
  return whole == 0 ? 0 : part / static_cast<double>(whole);
}

RouteReport Finish(Tally* tally) {
  RouteReport report = tally->report;
  report.p50 = Quantile(tally->latencies, 0.5);
  report.p90 = Quantile(tally->latencies, 0.9);
  report.p99 = Quantile(tally->latencies, 0.99);
  report.p999 = Quantile(tally->latencies, 0.999);
  report.most = Quantile(tally->latencies, 1);
  const uint64_t answered = report.whole + report.partial;
  report.mean_coverage = Ratio(tally->coverage, answered);
  report.share_whole_coverage =
      Ratio(static_cast<double>(tally->fully_covered), answered);
  report.attempts_per_shard =
      Ratio(static_cast<double>(report.attempts), report.shards);
  return report;
}

std::string TableRow(const RouteReport& it) {
  return fmt::format(
      "{:<14} {:>8} {:>8} {:>7} {:>7} {:>6} {:>8.1f} {:>8.1f} {:>8.1f} "
      "{:>8.1f} {:>8.1f} {:>9.5f} {:>7.4f} {:>9.4f}\n",
      it.route, it.sent, it.whole, it.partial, it.refused, it.failed,
      it.p50.count, it.p90.count, it.p99.count, it.p999.count, it.most.count,
      it.mean_coverage, it.share_whole_coverage, it.attempts_per_shard);
}

std::string CodeLines(const RouteReport& report) {
  std::string out;
  for (const auto& [code, n] : report.codes) {
    out += fmt::format("{}: {} {} ({})\n", report.route, n, CodeName(code),
                       static_cast<int>(code));
  }
  if (report.wrong > 0) {
    out += fmt::format("{}: {} WRONG answers\n", report.route, report.wrong);
  }
  return out;
}

Json RouteJson(const RouteReport& it) {
  Json codes = Json::object();
  for (const auto& [code, n] : it.codes) {
    const std::string name(CodeName(code));
    codes[name] = codes.value(name, uint64_t{0}) + n;
  }
  return {{"route", it.route},
          {"sent", it.sent},
          {"whole", it.whole},
          {"partial", it.partial},
          {"refused", it.refused},
          {"failed", it.failed},
          {"wrong", it.wrong},
          {"in_time", it.in_time},
          {"shards", it.shards},
          {"attempts", it.attempts},
          {"codes", codes},
          {"p50_ms", it.p50.count},
          {"p90_ms", it.p90.count},
          {"p99_ms", it.p99.count},
          {"p999_ms", it.p999.count},
          {"max_ms", it.most.count},
          {"mean_coverage", it.mean_coverage},
          {"share_whole_coverage", it.share_whole_coverage},
          {"attempts_per_shard", it.attempts_per_shard}};
}

}  // namespace

Millis Quantile(std::vector<Millis>& values, double share) {
  if (values.empty()) return Millis(0);
  const double rank = std::ceil(share * static_cast<double>(values.size()));
  const auto last = static_cast<double>(values.size() - 1);
  const auto place = static_cast<ptrdiff_t>(std::clamp(rank - 1, 0.0, last));
  const auto nth = values.begin() + place;
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

LoadReport MakeReport(const std::vector<RouteRate>& mix,
                      const std::vector<LoadAnswer>& answers, Millis deadline) {
  std::vector<Tally> tallies(mix.size());
  Tally total;
  total.report.route = "all";
  for (size_t i = 0; i < mix.size(); ++i) {
    tallies[i].report.route = mix[i].route;
  }
  std::vector<Millis> late;
  for (const LoadAnswer& it : answers) {
    Add(&tallies[it.route], it, deadline);
    Add(&total, it, deadline);
    late.push_back(it.late);
  }
  LoadReport report;
  for (Tally& it : tallies) report.routes.push_back(Finish(&it));
  report.total = Finish(&total);
  report.late_p99 = Quantile(late, 0.99);
  return report;
}

std::string ReportTable(const LoadReport& report) {
  std::string out = fmt::format(
      "{:<14} {:>8} {:>8} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} "
      "{:>9} {:>7} {:>9}\n",
      "route", "sent", "whole", "partial", "refused", "failed", "p50 ms",
      "p90 ms", "p99 ms", "p99.9 ms", "max ms", "coverage", "at 1.0",
      "att/shard");
  std::string codes;
  for (const RouteReport& it : report.routes) {
    out += TableRow(it);
    codes += CodeLines(it);
  }
  if (report.routes.size() > 1) out += TableRow(report.total);
  out += codes;
  out += fmt::format(
      "generator: {:.1f} s, sent late by p99 {:.2f} ms, {:.2f} cores, {} "
      "workers\n",
      report.elapsed.count / 1000, report.late_p99.count, report.own_cores,
      report.workers);
  return out;
}

Json ReportJson(const LoadReport& report) {
  Json routes = Json::array();
  for (const RouteReport& it : report.routes) routes.push_back(RouteJson(it));
  return {{"routes", routes},
          {"total", RouteJson(report.total)},
          {"elapsed_ms", report.elapsed.count},
          {"generator",
           {{"late_p99_ms", report.late_p99.count},
            {"cores", report.own_cores},
            {"workers", report.workers}}}};
}

}  // namespace hibiscuspick::cli
