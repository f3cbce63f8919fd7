// Simulates the failures of docs/design/hard-load.md, part 2: the upper bound
// must hold in every sliding window, and most of what is within the allowance
// must be admitted.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "allowance_simulation.h"

namespace hibiscuspick::engine {
namespace {

constexpr Millis kWarm{6000};
constexpr Millis kFailure{12000};
constexpr Millis kEnd{20000};

const std::vector<AccountAllowance> kAllowances = {
    {1, 1}, {2, 2}, {7, 7}, {20, 5}, {30, 30}, {100, 100}, {300, 300}};

struct Failure {
  std::string name;
  // Part of the requests within the allowance that must be admitted, if they
  // enter everywhere and if they enter in data centre 0 only.
  double least_admitted;
  double least_admitted_local;
  std::function<void(AllowanceSimulation*)> happens;
};

// The larger instances of data centre 0 are 0 and 3: they count for it.
const std::vector<Failure> kFailures = {
    {"a counting instance dies", 0.97, 0.97,
     [](auto* it) { it->Restart(0, Millis(2000)); }},
    {"a counting instance restarts at once", 0.97, 0.97,
     [](auto* it) { it->Restart(0, Millis(20)); }},
    {"a counting instance hangs", 0.97, 0.97,
     [](auto* it) { it->Hang(0, Millis(3000)); }},
    {"all counting instances of a data centre hang", 0.9, 0.9,
     [](auto* it) {
       it->Hang(0, Millis(3000));
       it->Hang(3, Millis(3000));
     }},
    {"a data centre is cut off", 0.97, 0.97,
     [](auto* it) {
       it->CutOff(1);
       it->At(it->now() + Millis(5000), [it] { it->CutOff(1, false); });
     }},
    {"all data centres are cut off", 0.97, 0.65,
     [](auto* it) {
       for (size_t i = 0; i < 3; ++i) it->CutOff(i);
     }},
    {"all instances lose power", 0.8, 0.8,
     [](auto* it) {
       for (size_t i = 0; i < 64; ++i) it->Restart(i, Millis(300));
     }},
    {"all instances lose power twice", 0.7, 0.7,
     [](auto* it) {
       for (size_t i = 0; i < 64; ++i) it->Restart(i, Millis(100));
       it->At(it->now() + Millis(2000), [it] {
         for (size_t i = 0; i < 64; ++i) it->Restart(i, Millis(100));
       });
     }},
    {"replies are lost", 0.95, 0.95, [](auto* it) { it->LoseReplies(0.1); }},
    {"instances change their choice", 0.99, 0.99,
     [](auto* it) {
       // Every second instance of data centre 0 avoids a counting instance for
       // 300 ms in each 700 ms, while the others use it.
       for (int i = 0; i < 10; ++i) {
         const Millis at = it->now() + Millis(700) * i;
         for (size_t instance = 6; instance < 64; instance += 6) {
           it->At(at, [it, instance] { it->Avoid(instance, 0); });
           it->At(at + Millis(300),
                  [it, instance] { it->Avoid(instance, SIZE_MAX); });
         }
       }
     }},
    {"all instances change their choice", 0.99, 0.99,
     [](auto* it) {
       for (size_t instance = 0; instance < 64; instance += 3) {
         it->Avoid(instance, 0);
       }
     }},
    {"instance lists differ", 0.99, 0.99,
     [](auto* it) {
       for (size_t i = 0; i < 64; i += 2) it->SetInstanceCount(i, 60);
     }},
};

// Demand by the allowance's rate: steady, or a burst from just before the
// failure on with nothing before, so that the pools are full when it happens.
struct Demand {
  std::string name;
  double steady;
  double burst;
};
const std::vector<Demand> kDemands = {
    {"within the allowance", 0.6, 0},
    {"three times the allowance", 3, 0},
    {"burst at the failure", 0, 10},
};

// A failure lets more requests run than the bound allows, or makes instances
// refuse what is within the allowance.
void Check(const Failure& failure, const Demand& demand, bool is_local) {
  AllowanceSimulation simulation(SimulatedFleet(), kAllowances);
  const auto entry =
      is_local ? simulation.AnyInstanceOf(0) : simulation.AnyInstance();
  for (size_t i = 0; i < kAllowances.size(); ++i) {
    const double rate = kAllowances[i].rate_per_second;
    if (demand.steady > 0) {
      simulation.Load(i, demand.steady * rate, kWarm, kEnd, entry);
    }
    if (demand.burst > 0) {
      simulation.Load(i, demand.burst * rate, kFailure - Millis(150),
                      kFailure + Millis(5000), entry);
    }
  }
  simulation.At(kFailure, [&] { failure.happens(&simulation); });
  simulation.RunUntil(kEnd + Millis(4000));
  double bound_use = 0;
  double ran = 0;
  double ideal = 0;
  for (size_t i = 0; i < kAllowances.size(); ++i) {
    bound_use = std::max(bound_use, simulation.LargestBoundUse(i));
    ran += static_cast<double>(simulation.Result(i).runs.size());
    ideal += static_cast<double>(simulation.Result(i).ideal);
  }
  const std::string name = failure.name + ", " + demand.name +
                           (is_local ? ", one data centre" : ", everywhere");
  BOOST_TEST_MESSAGE(name << ": admitted " << ran / ideal << ", " << bound_use
                          << " of the bound");
  BOOST_TEST(bound_use <= 1, name << ": " << bound_use << " of the bound");
  if (demand.steady <= 0 || demand.steady > 1) return;
  const double least =
      is_local ? failure.least_admitted_local : failure.least_admitted;
  BOOST_TEST(ran / ideal >= least, name << ": admitted " << ran / ideal);
}

BOOST_AUTO_TEST_CASE(BoundsHoldInFailures) {
  for (const auto& failure : kFailures) {
    for (const auto& demand : kDemands) {
      Check(failure, demand, false);
      Check(failure, demand, true);
    }
  }
}

// A lowered limit is exceeded by tokens that pools and leases still hold. It
// must apply one window after the change; a higher one at once.
BOOST_AUTO_TEST_CASE(LimitChangesApplyInTime) {
  AllowanceSimulation simulation(SimulatedFleet(), {{300, 300}});
  simulation.Load(0, 900, kWarm, kEnd, simulation.AnyInstance());
  simulation.At(kFailure, [&] { simulation.SetAccounts({{30, 30}}); });
  const Millis raised_at = kFailure + Millis(6000);
  simulation.At(raised_at, [&] { simulation.SetAccounts({{300, 300}}); });
  simulation.RunUntil(kEnd);
  const auto runs_in = [&](Millis from, Millis to) {
    const auto& runs = simulation.Result(0).runs;
    return std::lower_bound(runs.begin(), runs.end(), to) -
           std::lower_bound(runs.begin(), runs.end(), from);
  };
  BOOST_TEST(runs_in(kFailure, kFailure + Millis(5000)) <=
             (30 * 5 + 30) * 1.1 + 20);
  BOOST_TEST(runs_in(raised_at, raised_at + Millis(1000)) >= 0.9 * 300);
}

}  // namespace
}  // namespace hibiscuspick::engine
