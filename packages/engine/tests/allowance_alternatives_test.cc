// Compares the design of allowances with the two alternatives of
// docs/design/hard-load.md, part 2. Takes minutes, so it runs on demand only:
// engine_tests --run_test=CompareAllowanceDesigns --log_level=message
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "../src/decaying_rate.h"
#include "allowance_simulation.h"

namespace hibiscuspick::engine {
namespace {

// Alternative (a): each instance holds a share of each account and its own
// bucket. An instance that runs short asks four others, two of its own data
// centre first, up to three times; each gives the tokens that exceed its own
// use of one second, and half of the share that it doesn't use.
class SharesByDemand : public AllowanceSimulation {
 public:
  SharesByDemand(SimulatedFleet fleet,
                 const std::vector<AccountAllowance>& accounts)
      : AllowanceSimulation((fleet.enabled = false, fleet), accounts),
        states_(fleet.instances * accounts.size()) {
    for (auto& it : states_) {
      it.share = 1 / static_cast<double>(fleet.instances);
    }
  }

 private:
  static constexpr int kRounds = 3;
  static constexpr size_t kAsked = 4;
  static constexpr Millis kDemandTime{1000};

  struct State {
    double share = 0;
    double tokens = 0;
    Millis at{0};
    double demand = 0;
    Millis demand_at{0};
  };

  State* Settled(size_t account, size_t instance) {
    auto& state = states_[account * instances_.size() + instance];
    const auto limits = MakeAllowanceLimits(
        accounts_->accounts[account].allowance, fleet_.bounds);
    const double capacity =
        state.share * (limits.burst + (kCapacityTolerance + kShareTolerance) *
                                          limits.tolerance);
    const double refill =
        state.share * limits.rate_per_second * (now_ - state.at).count / 1000;
    state.tokens = std::max(std::min(state.tokens, 1.0),
                            std::min(capacity, state.tokens + refill));
    state.at = now_;
    return &state;
  }

  void Decide(size_t account, size_t instance, Millis retry_within,
              bool) override {
    auto* state = Settled(account, instance);
    AddToRate(&state->demand, &state->demand_at, 1, now_, kDemandTime);
    Try({account, now_, retry_within, false}, instance, 0);
  }

  void Try(const Waiting& request, size_t instance, int round) {
    auto* state = Settled(request.account, instance);
    if (state->tokens >= 1) {
      state->tokens -= 1;
      Finish(request, {TokenOutcomeKind::kGranted, 0, Millis(0), Millis(0)});
      return;
    }
    if (round == kRounds) {
      Finish(request,
             {TokenOutcomeKind::kAboveAllowance, 0, Millis(1000), Millis(0)});
      return;
    }
    Millis longest{0};
    for (size_t i = 0; i < kAsked; ++i) {
      const bool is_local = i < kAsked / 2 && round == 0;
      const size_t peer =
          is_local ? AnyInstanceOf(DataCentreOf(instance))() : AnyInstance()();
      if (peer == instance) continue;
      CountMessage(instance, peer);
      const Millis delay = Delay(instance, peer);
      longest = Max(longest, delay * 2);
      At(now_ + delay, [=, this] { Ask(request.account, instance, peer); });
    }
    At(now_ + longest, [=, this] { Try(request, instance, round + 1); });
  }

  void Ask(size_t account, size_t instance, size_t peer) {
    auto* state = Settled(account, peer);
    const double demand =
        DecayedRate(state->demand, state->demand_at, now_, kDemandTime);
    const double rate = accounts_->accounts[account].allowance.rate_per_second;
    const double tokens = std::clamp(state->tokens - demand, 0.0, 1.0);
    const double share = std::max(0.0, state->share - demand / rate) / 2;
    state->tokens -= tokens;
    state->share -= share;
    At(now_ + Delay(instance, peer), [=, this] {
      auto* own = Settled(account, instance);
      own->tokens += tokens;
      own->share += share;
    });
  }

  std::vector<State> states_;
};

struct Size {
  std::string name;
  SimulatedFleet fleet;
  std::vector<AccountAllowance> accounts;
};

// Accounts of very different rates, most of one request per second, each with a
// burst of one second's rate.
std::vector<AccountAllowance> Accounts(size_t count, double largest) {
  std::vector<AccountAllowance> accounts;
  for (size_t i = 0; i < count; ++i) {
    const double rate =
        std::max(1.0, std::floor(largest / static_cast<double>(i + 1)));
    accounts.push_back({rate, rate});
  }
  return accounts;
}

constexpr Millis kWarm{4000};
constexpr Millis kMeasured{8000};

void Measure(const Size& size, const std::string& design, double load) {
  auto fleet = size.fleet;
  fleet.is_one_pool = design == "one counting instance";
  const auto simulation =
      design == "shares by demand"
          ? std::make_unique<SharesByDemand>(fleet, size.accounts)
          : std::make_unique<AllowanceSimulation>(fleet, size.accounts);
  simulation->RunUntil(kWarm);
  const size_t messages = simulation->messages();
  const size_t remote = simulation->remote_messages();
  for (size_t i = 0; i < size.accounts.size(); ++i) {
    simulation->Load(i, load * size.accounts[i].rate_per_second, kWarm,
                     kWarm + kMeasured, simulation->AnyInstance());
  }
  simulation->RunUntil(kWarm + kMeasured + Millis(500));
  double ideal = 0;
  double missing = 0;
  double bound_use = 0;
  for (size_t i = 0; i < size.accounts.size(); ++i) {
    const auto& result = simulation->Result(i);
    const auto ran = static_cast<double>(result.runs.size());
    const auto expected = static_cast<double>(result.ideal);
    ideal += expected;
    missing += std::max(0.0, expected - ran);
    bound_use = std::max(bound_use, simulation->LargestBoundUse(i));
  }
  auto waits = simulation->waits();
  std::sort(waits.begin(), waits.end());
  const double seconds = kMeasured.count / 1000;
  BOOST_TEST_MESSAGE(
      size.name << ", " << design << ", load " << load << ": "
                << static_cast<double>(simulation->messages() - messages) /
                       seconds
                << " messages per second, "
                << static_cast<double>(simulation->remote_messages() - remote) /
                       seconds
                << " between data centres; extra time mean "
                << std::accumulate(waits.begin(), waits.end(), 0.0) /
                       static_cast<double>(waits.size())
                << " ms, 99 % " << waits[waits.size() * 99 / 100]
                << " ms; too few " << missing / ideal << ", largest use of "
                << "the bound " << bound_use);
}

BOOST_AUTO_TEST_CASE(CompareAllowanceDesigns, *boost::unit_test::disabled()) {
  Size small{"64 instances", {}, Accounts(74, 100)};
  Size large{"460 instances", {}, Accounts(10000, 10000)};
  large.fleet.instances = 460;
  large.fleet.data_centres = 7;
  large.fleet.regions = 3;
  for (const auto& size : {small, large}) {
    for (const double load : {0.6, 2.0}) {
      for (const char* design : {"pools in each data centre",
                                 "shares by demand", "one counting instance"}) {
        Measure(size, design, load);
      }
    }
  }
}

}  // namespace
}  // namespace hibiscuspick::engine
