// Usage: gossip_bench [--instances N] [--data-centres N] [--seed N] [--scene S]
// Prints, as rows of Markdown tables, what the spread between instances costs
// and how fast it is. Virtual time: the figures repeat exactly from the seed,
// but for processor time.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "fleet.h"
#include "hibiscuspick/inner/wire.h"
#include "tree.h"

namespace hibiscuspick::gossip_bench {
namespace {

using membership::DrainReport;
using membership::GossipMessage;
using membership::IsDraining;
using membership::LocalDrain;
using membership::testing::Fleet;
using membership::testing::SimulatedNode;

// What a message costs beyond its own bytes: the call around it, and the
// headers of TCP, IP and Ethernet with the acknowledgement.
constexpr size_t kOverhead = 36 + 2 * 66;

struct Setup {
  size_t instances = 460;
  size_t data_centres = 7;
  uint64_t seed = 1;
  membership::ControlLimits limits;
};

size_t SizeOf(const GossipMessage& message) {
  return inner::WireSize(inner::ToMessage(message)) + kOverhead;
}

std::string NameOf(size_t number, size_t data_centres) {
  const auto index = std::to_string(number / data_centres);
  return "oslo-" + std::to_string(number % data_centres + 1) + "-i" +
         std::string(index.size() < 3 ? 3 - index.size() : 0, '0') + index;
}

// A fleet that knows itself and one configuration of about 100 objects.
void StartFleet(Fleet* fleet, const Setup& setup, Millis settle) {
  constexpr int kObjects = 100;
  fleet->size_of = SizeOf;
  fleet->limits = setup.limits;
  for (int i = 0; i < kObjects; ++i) {
    fleet->WriteAtPlatform("services/s" + std::to_string(i),
                           std::string(500, 'x'));
  }
  for (size_t i = 0; i < setup.instances; ++i) {
    const auto name = NameOf(i, setup.data_centres);
    fleet->Add(name, name.substr(0, 6));
  }
  const auto ready = [&] {
    return fleet->ConfigAgrees() && fleet->All([&](const auto& node) {
      return node.view && node.view->members.size() == setup.instances;
    });
  };
  const Millis took = fleet->RunUntil(ready, Millis(120000), Millis(500));
  std::fprintf(stderr, "started: converged after %.1f s of virtual time\n",
               took.count / 1000);
  fleet->RunFor(settle);
}

void ClearTraffic(Fleet* fleet) {
  for (auto& [id, it] : fleet->nodes()) {
    it->traffic = {};
    it->false_suspicions = 0;
    it->false_deaths = 0;
  }
}

struct Load {
  double messages = 0;
  double mean_bytes = 0;
  double max_bytes = 0;
  size_t false_suspicions = 0;
  size_t false_deaths = 0;
  double core_percent = 0;
};

// Runs for the span and gives what each daemon spent each second; bytes are
// those sent and those received together.
Load Measure(Fleet* fleet, Millis span) {
  ClearTraffic(fleet);
  const std::clock_t start = std::clock();
  fleet->RunFor(span);
  const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  const double seconds = span.count / 1000;
  const auto count = static_cast<double>(fleet->nodes().size());
  Load load;
  for (const auto& [id, it] : fleet->nodes()) {
    const auto& traffic = it->traffic;
    const double bytes =
        static_cast<double>(traffic.bytes_sent + traffic.bytes_received) /
        seconds;
    load.messages += static_cast<double>(traffic.messages) / seconds / count;
    load.mean_bytes += bytes / count;
    load.max_bytes = std::max(load.max_bytes, bytes);
    load.false_suspicions += it->false_suspicions;
    load.false_deaths += it->false_deaths;
  }
  load.core_percent = cpu / seconds / count * 100;
  return load;
}

void Print(const char* scene, const Load& load) {
  std::printf("| %s | %.1f | %.2f | %.2f | %zu | %zu | %.3f |\n", scene,
              load.messages, load.mean_bytes / 1000, load.max_bytes / 1000,
              load.false_suspicions, load.false_deaths, load.core_percent);
}

void RunLoad(const Setup& setup) {
  constexpr Millis kSpan{120000};
  Fleet fleet(setup.seed);
  StartFleet(&fleet, setup, Millis(20000));
  std::puts(
      "| scene | messages/s | KB/s mean | KB/s max | false suspicions | false "
      "deaths | core % |\n| --- | --- | --- | --- | --- | --- | --- |");
  Print("quiet", Measure(&fleet, kSpan));
  fleet.loss = 0.01;
  Print("1 % of messages lost", Measure(&fleet, kSpan));
  fleet.loss = 0;
  ClearTraffic(&fleet);
  // One restart in ten seconds is thirty times the ordinary day's 300.
  Load churn;
  for (int i = 0; i < 6; ++i) {
    auto it = fleet.nodes().begin();
    std::advance(it, fleet.random().Below(fleet.nodes().size()));
    fleet.Kill(it->second.get());
    fleet.RunFor(Millis(2000));
    fleet.Start(it->second.get());
    const auto load = Measure(&fleet, Millis(8000));
    churn.messages += load.messages / 6;
    churn.mean_bytes += load.mean_bytes / 6;
    churn.max_bytes = std::max(churn.max_bytes, load.max_bytes);
    churn.false_suspicions += load.false_suspicions;
    churn.false_deaths += load.false_deaths;
    churn.core_percent += load.core_percent / 6;
  }
  Print("an instance replaced each 10 s", churn);
}

// When half, 99 of 100 and all of those alive had it.
struct Spread {
  Millis half = kNever;
  Millis most = kNever;
  Millis all = kNever;
};

template <class Knows>
Spread Watch(Fleet* fleet, Millis limit, const Knows& knows) {
  constexpr Millis kFineFor{100};
  Spread spread;
  size_t alive = 0;
  for (const auto& [id, it] : fleet->nodes()) alive += it->alive ? 1 : 0;
  const Millis start = fleet->now();
  while (fleet->now() - start < limit) {
    size_t n = 0;
    for (const auto& [id, it] : fleet->nodes()) {
      n += it->alive && knows(*it) ? 1 : 0;
    }
    const Millis took = fleet->now() - start;
    if (n * 2 >= alive) spread.half = Min(spread.half, took);
    if (n * 100 >= alive * 99) spread.most = Min(spread.most, took);
    if (n == alive) {
      spread.all = took;
      break;
    }
    fleet->RunFor(took < kFineFor ? Millis(1) : Millis(20));
  }
  return spread;
}

void KillSome(Fleet* fleet, double share) {
  for (auto& [id, it] : fleet->nodes()) {
    if (fleet->random().Fraction() < share) fleet->Kill(it.get());
  }
}

SimulatedNode* FirstAlive(Fleet* fleet) {
  for (auto& [id, it] : fleet->nodes()) {
    if (it->alive) return it.get();
  }
  return nullptr;
}

// What all instances sent until the last had the change, digests included.
struct Cost {
  double messages = 0;
  double bytes = 0;
};

void AddTraffic(Fleet* fleet, Cost* cost) {
  for (const auto& [id, it] : fleet->nodes()) {
    cost->messages += static_cast<double>(it->traffic.messages);
    cost->bytes += static_cast<double>(it->traffic.bytes_sent);
  }
}

struct Case {
  const char* name;
  double failed;
  double loss;
};
constexpr Case kCases[] = {{"all well", 0, 0},
                           {"5 % failed", 0.05, 0},
                           {"5 % failed, 1 % lost", 0.05, 0.01}};

// The change of configuration that is spread, and with the tree its name and
// lengths.
constexpr size_t kObjectText = 2000;
constexpr size_t kObjectBytes = kObjectText + 60;

constexpr size_t kDegrees[] = {2, 4, 16};

// One row: the medians over the runs, the worst, and the mean of the messages.
void PrintSpread(const char* way, const Case& it, std::vector<Spread> runs,
                 const Cost& cost) {
  const auto by = [&](Millis Spread::*member) {
    std::vector<double> values;
    values.reserve(runs.size());
    for (const auto& run : runs) values.push_back((run.*member).count);
    std::sort(values.begin(), values.end());
    return values;
  };
  const auto all = by(&Spread::all);
  const size_t middle = runs.size() / 2;
  const auto count = static_cast<double>(runs.size());
  std::printf("| %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", way,
              it.name, by(&Spread::half)[middle], by(&Spread::most)[middle],
              all[middle], all.back(), cost.messages / count,
              cost.bytes / count / 1000);
}

// Makes the change and watches it spread.
template <class Change, class Knows>
Spread SpreadOne(Fleet* fleet, const Change& change, const Knows& knows,
                 Cost* cost) {
  ClearTraffic(fleet);
  change();
  const auto spread = Watch(fleet, Millis(60000), knows);
  AddTraffic(fleet, cost);
  return spread;
}

// A change of configuration and a drain in each of some fleets.
void GossipSpread(const Setup& setup, const Case& it) {
  constexpr uint64_t kRuns = 3;
  std::vector<Spread> objects;
  std::vector<Spread> drains;
  Cost object_cost;
  Cost drain_cost;
  for (uint64_t i = 0; i < kRuns; ++i) {
    Fleet fleet(setup.seed + i);
    StartFleet(&fleet, setup, Millis(3000));
    fleet.loss = it.loss;
    KillSome(&fleet, it.failed);
    auto* first = FirstAlive(&fleet);
    const BackendServerId server("b1");
    const DrainReport news{server, Incarnation(1), 0, true};
    drains.push_back(SpreadOne(
        &fleet, [&] { fleet.Feed(first, LocalDrain{news}); },
        [&](const auto& node) { return IsDraining(*node.view, server); },
        &drain_cost));
    objects.push_back(SpreadOne(
        &fleet,
        [&] {
          fleet.Write(first, "routes/new", std::string(kObjectText, 'x'));
        },
        [](const auto& node) { return node.versions.contains("routes/new"); },
        &object_cost));
  }
  PrintSpread("push and digests, a drain", it, drains, drain_cost);
  PrintSpread("push and digests, a 2 KB object", it, objects, object_cost);
}

void TreeSpread(const Setup& setup, const Case& it, size_t degree) {
  constexpr uint64_t kRuns = 101;
  std::vector<Spread> runs;
  Cost cost;
  size_t depth = 0;
  for (uint64_t i = 0; i < kRuns; ++i) {
    TreeSetup tree;
    tree.instances = setup.instances;
    tree.data_centres = setup.data_centres;
    tree.degree = degree;
    tree.failed = it.failed;
    tree.loss = it.loss;
    Random random(setup.seed + i);
    const auto result = RunTree(tree, &random);
    runs.push_back({result.half, result.most, result.all});
    const auto changes = static_cast<double>(result.changes);
    const auto joins = static_cast<double>(result.joins);
    cost.messages += changes + joins;
    cost.bytes += changes * (kObjectBytes + kOverhead) + joins * kOverhead;
    depth = std::max(depth, result.depth);
  }
  const auto way = "tree of degree " + std::to_string(degree) + ", depth " +
                   std::to_string(depth);
  PrintSpread(way.c_str(), it, runs, cost);
}

void RunSpread(const Setup& setup) {
  std::puts(
      "| way | case | ms to half | to 99 % | to all, median | worst | messages "
      "until all | KB |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const auto& it : kCases) {
    for (const size_t degree : kDegrees) TreeSpread(setup, it, degree);
    GossipSpread(setup, it);
  }
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Measures the spread between instances.");
  TCLAP::ValueArg<size_t> instances("", "instances", "Instances in all.", false,
                                    460, "count", line);
  TCLAP::ValueArg<size_t> data_centres("", "data-centres", "Data centres.",
                                       false, 7, "count", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the first run.", false, 1,
                                 "number", line);
  TCLAP::ValueArg<std::string> scene("", "scene", "load or spread.", false,
                                     "load", "name", line);
  TCLAP::ValueArg<double> suspect("", "suspect-ms",
                                  "Silence after which a member is suspect.",
                                  false, 5000, "ms", line);
  TCLAP::ValueArg<size_t> peers("", "digest-peers", "Digests sent each second.",
                                false, 2, "count", line);
  line.parse(argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  Setup setup{
      instances.getValue(), data_centres.getValue(), seed.getValue(), {}};
  setup.limits.members.suspect_after = Millis(suspect.getValue());
  setup.limits.digest_peers = peers.getValue();
  if (scene.getValue() == "load") {
    RunLoad(setup);
  } else {
    RunSpread(setup);
  }
  return 0;
}

}  // namespace
}  // namespace hibiscuspick::gossip_bench

int main(int argc, char** argv) {
  return hibiscuspick::gossip_bench::Main(argc, argv);
}
