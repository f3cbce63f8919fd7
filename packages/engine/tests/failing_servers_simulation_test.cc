// Simulates servers that fail part of their requests, with one sender's server
// views and budget in virtual time, and measures the answers that callers get.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

#include "hibiscuspick/base/random.h"
#include "hibiscuspick/engine/extra_attempt_budget.h"
#include "hibiscuspick/engine/server_view.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

constexpr size_t kShards = 90;
constexpr size_t kServers = 3;
constexpr size_t kNeeded = 86;
constexpr Millis kMedianLatency{18};
constexpr double kFailingServers = 0.3;
constexpr double kFailingShare = 0.5;
// One of 24 senders at 73 queries per second in total.
constexpr Millis kBetweenQueries{330};

// The queries and their payoff: the square of the share of parts received.
struct Payoff {
  double queries = 0;
  double total = 0;
  double share() const { return total / queries; }
  Payoff& operator+=(const Payoff& it) {
    queries += it.queries;
    total += it.total;
    return *this;
  }
};

class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random_(seed) {
    limits_.slack = 6;
    for (size_t i = 0; i < kShards * kServers; ++i) {
      ServerView it;
      it.entry.data_centre = DataCentreId("dc");
      servers_.push_back(it);
      speeds_.push_back(0.8 + 0.5 * random_.Fraction());
      failing_.push_back(false);
    }
    policy_.own_data_centre = DataCentreId("dc");
  }

  Payoff Run(Millis span) {
    Payoff payoff;
    for (const Millis end = now_ + span; now_ < end; now_ += kBetweenQueries) {
      ++payoff.queries;
      const double received = static_cast<double>(SendAll()) / kShards;
      payoff.total += received * kShards >= kNeeded ? received * received : 0;
    }
    return payoff;
  }
  void StartFailing() {
    for (size_t i = 0; i < failing_.size(); ++i) {
      failing_[i] = random_.Fraction() < kFailingServers;
    }
  }
  // Share of the attempts sent to servers that fail some of them.
  double ShareToFailing() const {
    return static_cast<double>(to_failing_) / static_cast<double>(attempts_);
  }
  void ResetCounts() { to_failing_ = attempts_ = 0; }

 private:
  size_t SendAll() {
    CountRequest(&budget_, limits_, now_);
    size_t received = 0;
    size_t failed = 0;
    for (size_t shard = 0; shard < kShards; ++shard) {
      const auto first = SendAttempt(shard, kServers);
      if (first.succeeded) {
        ++received;
      } else if (failed + kNeeded < kShards) {
        ++failed;
      } else if (TakeExtraAttempt(&budget_, limits_, now_)) {
        received += SendAttempt(shard, first.server).succeeded ? 1 : 0;
      }
    }
    return received;
  }

  struct AttemptOutcome {
    size_t server;
    bool succeeded;
  };
  AttemptOutcome SendAttempt(size_t shard, size_t excluded) {
    std::vector<const ServerView*> candidates;
    std::vector<size_t> indices;
    for (size_t k = 0; k < kServers; ++k) {
      const size_t i = shard * kServers + (k + turn_) % kServers;
      if (i == excluded) continue;
      candidates.push_back(&servers_[i]);
      indices.push_back(i);
    }
    ++turn_;
    auto policy = policy_;
    if (!HasExtraAttempt(budget_, limits_, now_, kUrgentReserve)) {
      policy.failure_cost = policy.unbudgeted_failure_cost;
    }
    const auto best = ChooseServer(candidates, policy, kMedianLatency, now_);
    if (!best) return {excluded, false};
    const size_t i = indices[*best];
    ++attempts_;
    to_failing_ += failing_[i] ? 1 : 0;
    const AttemptId id(++last_attempt_id_);
    RecordSent(&servers_[i], {id, now_, now_ + kMedianLatency * 3});
    const bool fails = failing_[i] && random_.Fraction() < kFailingShare;
    if (fails) {
      RecordFailure(&servers_[i], id, policy_, now_);
    } else {
      const Millis took =
          kMedianLatency * (speeds_[i] * (0.7 + 0.6 * random_.Fraction()));
      RecordReply(&servers_[i], id, took, kMedianLatency, policy_, now_);
    }
    return {i, !fails};
  }

  Random random_;
  ExtraAttemptLimits limits_;
  ExtraAttemptBudget budget_;
  ChoicePolicy policy_;
  std::vector<ServerView> servers_;
  std::vector<double> speeds_;
  std::vector<bool> failing_;
  Millis now_{10000};
  size_t turn_ = 0;
  uint64_t last_attempt_id_ = 0;
  size_t attempts_ = 0;
  size_t to_failing_ = 0;
};

// Nearly a third of the servers fail half of their requests while their health
// checks succeed; nearly every shard has a healthy one. An instance uses each
// server once a second, and its budget pays for a second attempt in every third
// query: a query of ninety parts fails as soon as five are lost. From two
// seconds after the onset callers must get nine tenths of the usual payoff.
BOOST_AUTO_TEST_CASE(FailingServersAreAvoided) {
  Payoff onset;
  Payoff later;
  double to_failing = 0;
  constexpr uint64_t kSeeds = 20;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed);
    simulation.Run(Millis(10000));
    simulation.StartFailing();
    onset += simulation.Run(Millis(2000));
    simulation.ResetCounts();
    later += simulation.Run(Millis(12000));
    to_failing += simulation.ShareToFailing() / kSeeds;
  }
  BOOST_TEST_MESSAGE("average payoff in the first two seconds "
                     << onset.share() << ", then " << later.share()
                     << ", share of attempts sent to failing servers "
                     << to_failing);
  BOOST_TEST(later.share() > 0.9);
}

struct DecayRow {
  const char* what;
  Millis interval;
  Millis age;
  bool remembered;
};

std::ostream& operator<<(std::ostream& out, const DecayRow& row) {
  return out << row.what;
}

const DecayRow kDecays[] = {
    {"rarely used, within the next few attempts", Millis(1000), Millis(6000),
     true},
    {"rarely used, long after", Millis(1000), Millis(30000), false},
    {"often used, soon after", Millis(20), Millis(3000), true},
    {"often used, long after in attempts", Millis(20), Millis(6000), false},
};

// A server fails once. An instance that uses it once a second has no newer
// result seconds later, and must not treat it as healthy yet; one that uses it
// fifty times a second soon learns that it is healthy.
BOOST_DATA_TEST_CASE(FailureRateDecaysByAttempts, bdata::make(kDecays), row) {
  ChoicePolicy policy;
  policy.own_data_centre = DataCentreId("dc");
  ServerView server;
  server.entry.data_centre = policy.own_data_centre;
  Millis now{100000};
  for (int i = 0; i < 40; ++i, now += row.interval) {
    RecordReply(&server, AttemptId(1), kMedianLatency, kMedianLatency, policy,
                now);
  }
  const Millis before = ExpectedCost(server, policy, kMedianLatency, now);
  RecordFailure(&server, AttemptId(2), policy, now);
  const Millis at_once = ExpectedCost(server, policy, kMedianLatency, now);
  const Millis later =
      ExpectedCost(server, policy, kMedianLatency, now + row.age);
  BOOST_TEST(((later - before) > (at_once - before) * 0.5) == row.remembered);
}

}  // namespace
}  // namespace hibiscuspick::engine
