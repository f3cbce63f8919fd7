// Senders over the same servers in virtual time, with the budget of extra
// attempts divided among them and with or without exchange of evidence.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hibiscuspick/base/random.h"
#include "hibiscuspick/engine/extra_attempt_budget.h"
#include "hibiscuspick/engine/server_view.h"

namespace hibiscuspick::engine {

enum class EvidenceUse {
  kNone,
  kExchange,
  kExchangeWithPrior,
  // Failing servers are known at once: the losses that no sender can avoid.
  kOracle,
};

struct EvidenceSimulationSetup {
  size_t senders = 3;
  double failing_servers = 0.5;
  double failing_share = 0.4;
  size_t needed = 86;
  // Share of attempts that a well server loses.
  double usual_loss = 0.001;
};

class EvidenceSimulation {
 public:
  static constexpr size_t kShards = 90;
  static constexpr size_t kReplicas = 3;
  static constexpr size_t kDataCentres = 3;

  EvidenceSimulation(const EvidenceSimulationSetup& setup, EvidenceUse use,
                     uint64_t seed)
      : setup_(setup),
        use_(use),
        random_(seed),
        failing_random_(seed + kFailingSeed),
        senders_(setup.senders) {
    for (size_t i = 0; i < kShards * kReplicas; ++i) {
      speeds_.push_back(0.8 + 0.5 * random_.Fraction());
      failing_.push_back(false);
    }
    for (size_t i = 0; i < senders_.size(); ++i) Restart(i);
  }

  // Average payoff of the queries of this time: the square of the share of
  // parts received, or nothing below the minimum coverage.
  double Run(Millis span) {
    constexpr Millis kBetweenQueries{25};
    double payoff = 0;
    double queries = 0;
    for (const Millis end = now_ + span; now_ < end; now_ += kBetweenQueries) {
      if (UsesEvidence() && now_ >= next_exchange_) Exchange();
      const size_t sender = static_cast<size_t>(queries) % senders_.size();
      const size_t received = SendAll(&senders_[sender]);
      const double share = static_cast<double>(received) / kShards;
      payoff += received >= setup_.needed ? share * share : 0;
      ++queries;
    }
    return payoff / queries;
  }

  void StartFailing() {
    for (size_t i = 0; i < failing_.size(); ++i) {
      failing_[i] = failing_random_.Fraction() < setup_.failing_servers;
    }
  }
  void StopFailing() { failing_.assign(failing_.size(), false); }
  // A sender that has lost all it knew and gets what the others know.
  void RestartWithEvidence(size_t sender) {
    Restart(sender);
    if (!UsesEvidence()) return;
    const size_t from = (sender + 1) % senders_.size();
    for (size_t i = 0; i < failing_.size(); ++i) {
      std::vector<EvidenceReport> reports;
      CollectAllReports(senders_[from].views[i].evidence, now_, &reports);
      for (auto& it : reports) {
        if (it.origin.sender.empty()) it.origin = senders_[from].origin;
        MergeReport(&senders_[sender].views[i].evidence, it, now_);
      }
    }
  }

  // Share of the attempts that were sent to failing servers.
  double ShareToFailing() const {
    return static_cast<double>(to_failing_) /
           static_cast<double>(std::max<size_t>(attempts_, 1));
  }
  size_t probes() const { return probes_; }
  size_t reports() const { return reports_; }
  void ResetCounts() { to_failing_ = attempts_ = probes_ = reports_ = 0; }
  // The number of servers that a sender believes bad.
  size_t BelievedBad(size_t sender) const {
    const auto& it = senders_[sender];
    return static_cast<size_t>(
        std::count_if(it.views.begin(), it.views.end(), [&](auto& view) {
          return BadBelief(view.evidence, it.prior, now_) >= kBadBelief;
        }));
  }

 private:
  static constexpr uint64_t kFailingSeed = 1000;
  struct Sender {
    EvidenceOrigin origin;
    ChoicePolicy policy;
    ExtraAttemptLimits limits;
    ExtraAttemptBudget budget;
    std::vector<ServerView> views;
    EvidencePrior prior;
    Millis prior_at{-1};
    MissingParts missing;
  };

  bool UsesEvidence() const {
    return use_ == EvidenceUse::kExchange ||
           use_ == EvidenceUse::kExchangeWithPrior;
  }

  static DataCentreId DataCentre(size_t i) {
    return DataCentreId("dc" + std::to_string(i % kDataCentres));
  }

  void Restart(size_t i) {
    auto& it = senders_[i];
    const auto budget = it.budget;
    it = {};
    it.budget = budget;
    it.origin = {InstanceId("sender" + std::to_string(i)), ++last_life_};
    it.policy.own_data_centre = DataCentre(i);
    constexpr double kSlack = 20;
    it.limits.slack = kSlack / static_cast<double>(senders_.size());
    it.views.resize(kShards * kReplicas);
    for (size_t k = 0; k < it.views.size(); ++k) {
      it.views[k].entry.data_centre = DataCentre(k);
    }
  }

  void Exchange() {
    next_exchange_ = now_ + kUrgentEvidenceInterval;
    for (auto& from : senders_) {
      for (size_t i = 0; i < from.views.size(); ++i) {
        std::vector<EvidenceReport> reports;
        CollectOwnReports(&from.views[i].evidence, now_, &reports);
        for (auto& report : reports) {
          ++reports_;
          report.origin = from.origin;
          for (auto& to : senders_) {
            if (&to != &from) MergeReport(&to.views[i].evidence, report, now_);
          }
        }
      }
    }
  }

  void UpdatePrior(Sender* sender) {
    sender->prior.active = UsesEvidence();
    sender->prior.log_odds = kUsualLogOdds;
    if (use_ != EvidenceUse::kExchangeWithPrior) return;
    std::vector<const ServerEvidence*> all;
    for (const auto& it : sender->views) all.push_back(&it.evidence);
    sender->prior = ComputePrior(all, now_);
  }

  size_t SendAll(Sender* sender) {
    CountRequest(&sender->budget, sender->limits, now_);
    UpdatePrior(sender);
    size_t received = 0;
    size_t failed = 0;
    probes_left_ =
        CanSpareProbe(sender->missing, kShards, setup_.needed) ? 1 : 0;
    for (size_t n = 0; n < kShards; ++n) {
      const size_t shard = (n + turn_) % kShards;
      const auto first = SendAttempt(sender, shard, kNone);
      if (first.succeeded) {
        ++received;
      } else if (failed + setup_.needed < kShards) {
        ++failed;
      } else if (TakeExtraAttempt(&sender->budget, sender->limits, now_)) {
        received += SendAttempt(sender, shard, first.server).succeeded ? 1 : 0;
      }
    }
    turn_ += 7;
    RecordMissing(&sender->missing, static_cast<double>(kShards - received));
    return received;
  }

  static constexpr size_t kNone = static_cast<size_t>(-1);
  struct Outcome {
    size_t server;
    bool succeeded;
  };

  Outcome SendAttempt(Sender* sender, size_t shard, size_t excluded) {
    std::vector<const ServerView*> candidates;
    std::vector<size_t> indices;
    size_t chosen = kNone;
    for (size_t k = 0; k < kReplicas; ++k) {
      const size_t i = shard * kReplicas + (k + turn_) % kReplicas;
      if (i == excluded) continue;
      const auto& view = sender->views[i];
      if (use_ == EvidenceUse::kOracle && failing_[i] && AnyWell(shard)) {
        continue;
      }
      candidates.push_back(&view);
      indices.push_back(i);
      if (UsesEvidence() && excluded == kNone && probes_left_ > 0 &&
          IsProbeDue(view.evidence, sender->prior, random_.Fraction(), now_)) {
        chosen = i;
      }
    }
    if (chosen != kNone) {
      --probes_left_;
      ++probes_;
    } else {
      auto policy = sender->policy;
      policy.evidence = sender->prior;
      if (!HasExtraAttempt(sender->budget, sender->limits, now_,
                           kUrgentReserve)) {
        policy.failure_cost = policy.unbudgeted_failure_cost;
      }
      const auto best = ChooseServer(candidates, policy, kMedian, now_);
      if (!best) return {excluded, false};
      chosen = indices[*best];
    }
    return Send(sender, chosen);
  }

  bool AnyWell(size_t shard) const {
    for (size_t k = 0; k < kReplicas; ++k) {
      if (!failing_[shard * kReplicas + k]) return true;
    }
    return false;
  }

  Outcome Send(Sender* sender, size_t i) {
    ++attempts_;
    to_failing_ += failing_[i] ? 1 : 0;
    const AttemptId id(++last_attempt_id_);
    auto* view = &sender->views[i];
    RecordSent(view, {id, now_, now_ + kMedian * 3});
    const double loss = failing_[i] ? setup_.failing_share : setup_.usual_loss;
    const bool fails = random_.Fraction() < loss;
    const double factor = speeds_[i] * (0.7 + 0.6 * random_.Fraction());
    if (fails) {
      RecordFailure(view, id, sender->policy, now_);
    } else {
      RecordReply(view, id, kMedian * factor, kMedian, sender->policy, now_);
    }
    if (UsesEvidence()) {
      RecordOwnOutcome(
          &view->evidence,
          fails ? EvidenceOutcome::kLost : EvidenceOutcome::kAnswered, factor,
          now_);
    }
    return {i, !fails};
  }

  static constexpr Millis kMedian{18};

  const EvidenceSimulationSetup setup_;
  const EvidenceUse use_;
  Random random_;
  // Separate, so that the same servers fail whatever the senders do.
  Random failing_random_;
  std::vector<Sender> senders_;
  std::vector<double> speeds_;
  std::vector<bool> failing_;
  Millis now_{10000};
  Millis next_exchange_;
  size_t turn_ = 0;
  size_t probes_left_ = 0;
  uint64_t last_life_ = 0;
  uint64_t last_attempt_id_ = 0;
  size_t attempts_ = 0;
  size_t to_failing_ = 0;
  size_t probes_ = 0;
  size_t reports_ = 0;
};

}  // namespace hibiscuspick::engine
