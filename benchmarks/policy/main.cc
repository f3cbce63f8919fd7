// policy_benchmark: the policies side by side, in virtual time. The figures
// depend on the seeds alone, not on the machine.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <future>
#include <iostream>
#include <string>
#include <vector>

#include "simulation.h"

namespace hibiscuspick::benchmarks {
namespace {

struct Variant {
  const char* name;
  limits::GroupPolicy policy;
  bool owners;
};

struct Scenario {
  const char* name;
  double straggler_share;
  Trouble trouble;
  double bulk_work = 1;
};

constexpr Scenario kScenarios[] = {
    {"0.5 % stragglers", 0.005, Trouble::kNone},
    {"5 % stragglers", 0.05, Trouble::kNone},
    {"2 of 40 replicas lost", 0.005, Trouble::kReplicaLost},
    {"half of the servers join cold", 0.005, Trouble::kHalfCold},
    {"bulk attempts ten times as long", 0.005, Trouble::kNone, 10},
};

constexpr double kLoads[] = {0.6, 0.8, 0.95, 1.5};

std::vector<Variant> MakeVariants() {
  // 25 connections shared by nine daemons.
  constexpr int kDirectShare = 2;
  limits::GroupPolicy direct = limits::DirectBaseline();
  direct.connections.reserve = kDirectShare;
  limits::GroupPolicy direct_lanes = direct;
  direct_lanes.lanes_enabled = true;
  direct_lanes.two_choices = true;
  direct_lanes.admission_control_enabled = true;
  direct_lanes.connections.reserve = 1;
  limits::GroupPolicy no_hedge;
  no_hedge.hedge.enabled = false;
  limits::GroupPolicy idle_hedge;
  idle_hedge.hedge.prioritize_urgent = false;
  limits::GroupPolicy server_bulk;
  server_bulk.bulk_reservation = limits::BulkReservation::kPerServer;
  limits::GroupPolicy group_bulk;
  group_bulk.bulk_reservation = limits::BulkReservation::kPerShard;
  limits::GroupPolicy any_bulk;
  any_bulk.bulk_reservation = limits::BulkReservation::kNone;
  return {{"direct (baseline)", direct, false},
          {"direct, 1 in flight, lanes", direct_lanes, false},
          {"owners, no hedges", no_hedge, true},
          {"owners, hedges to free slots", idle_hedge, true},
          {"owners, hedges first in line", {}, true},
          {"..., bulk spares each server", server_bulk, true},
          {"..., bulk spares one of both", group_bulk, true},
          {"..., bulk may hold all", any_bulk, true}};
}

double PercentileOf(std::vector<double>* values, double part) {
  if (values->empty()) return 0;
  const auto n =
      static_cast<size_t>(part * static_cast<double>(values->size()));
  const size_t index = std::min(n, values->size() - 1);
  std::nth_element(values->begin(),
                   values->begin() + static_cast<int64_t>(index),
                   values->end());
  return (*values)[index];
}

double Share(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

// Sums over the seeds of one row, printed as means.
struct Row {
  double p50 = 0, p99 = 0, p999 = 0, p99_least = 1e9, p99_most = 0;
  double coverage = 0, all_coverage = 0, attempts = 0, bulk = 0;
  int runs = 0;

  void Add(RunResult run) {
    LaneResult& urgent = run.lanes[LaneIndex(Lane::kUrgent)];
    const double tail = PercentileOf(&urgent.latencies, 0.99);
    p50 += PercentileOf(&urgent.latencies, 0.5);
    p99 += tail;
    p999 += PercentileOf(&urgent.latencies, 0.999);
    p99_least = std::min(p99_least, tail);
    p99_most = std::max(p99_most, tail);
    coverage += Share(urgent.answered, urgent.shards);
    uint64_t answered = 0;
    for (const auto& it : run.lanes) answered += it.answered;
    all_coverage += Share(answered, run.shards);
    attempts += Share(run.attempts, run.shards);
    bulk += static_cast<double>(run.bulk_in_span) * 1000 / run.span.count;
    ++runs;
  }

  void Print(const char* name) const {
    std::printf(
        "| %-28s | %6.1f | %6.1f (%.0f-%.0f) | %6.1f | %.4f | %.4f | %.3f | "
        "%5.0f |\n",
        name, p50 / runs, p99 / runs, p99_least, p99_most, p999 / runs,
        coverage / runs, all_coverage / runs, attempts / runs, bulk / runs);
  }
};

RunParameters Parameters(const Scenario& scenario, const Variant& variant,
                         double load, uint64_t seed, double span) {
  RunParameters parameters;
  parameters.policy = variant.policy;
  parameters.owners = variant.owners;
  parameters.load = load;
  parameters.server.straggler_share = scenario.straggler_share;
  parameters.trouble = scenario.trouble;
  parameters.bulk_work = scenario.bulk_work;
  parameters.seed = seed;
  parameters.span = Millis(span);
  return parameters;
}

void RunBlock(const Scenario& scenario, double load, int seeds, double span) {
  std::printf("\n%s, load %.2f\n\n", scenario.name, load);
  std::printf(
      "| policy | urgent p50 ms | p99 (range over seeds) | p99.9 | urgent "
      "coverage | coverage of all | attempts per shard | bulk shards/s |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  const auto variants = MakeVariants();
  for (const Variant& variant : variants) {
    std::vector<std::future<RunResult>> runs;
    for (int seed = 1; seed <= seeds; ++seed) {
      runs.push_back(std::async(std::launch::async, [&, seed] {
        return Simulate(Parameters(scenario, variant, load,
                                   static_cast<uint64_t>(seed), span));
      }));
    }
    Row row;
    for (auto& it : runs) row.Add(it.get());
    row.Print(variant.name);
    std::fflush(stdout);
  }
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Compares limit policies in virtual time.", ' ', "1");
  TCLAP::ValueArg<int> seeds("", "seeds", "Runs of each row.", false, 3,
                             "number", command);
  TCLAP::ValueArg<double> span("", "span-ms", "Measured span of each run.",
                               false, 20000, "ms", command);
  TCLAP::ValueArg<int> only("", "scenario", "Only this scenario, from 1.",
                            false, 0, "number", command);
  command.parse(argc, argv);
  int n = 0;
  for (const Scenario& scenario : kScenarios) {
    if (++n != only.getValue() && only.getValue() != 0) continue;
    for (const double load : kLoads) {
      RunBlock(scenario, load, seeds.getValue(), span.getValue());
    }
  }
  return 0;
}

}  // namespace
}  // namespace hibiscuspick::benchmarks

int main(int argc, char** argv) {
  return hibiscuspick::benchmarks::Main(argc, argv);
}
