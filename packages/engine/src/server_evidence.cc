#include "hibiscuspick/engine/server_evidence.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::engine {
namespace {

// Log-likelihood ratios, bad against well, of one outcome. A well server loses
// one attempt in 100, a bad one four in ten. A full server refuses too, so that
// a refusal says less: servers count as bad that refuse one attempt in three.
constexpr double kLostRatio = 3.7;
constexpr double kRefusedRatio = 1;
constexpr double kOverdueRatio = 2;

// The least and the largest share of attempts that a bad server is taken to
// lose. An answer from a server that lost nearly all before says more than one
// from a server that lost four in ten.
constexpr double kMinLoss = 0.4;
constexpr double kMaxLoss = 0.9;
// Remaining weight of earlier outcomes after one more.
constexpr double kOutcomeDecay = 0.8;

// Bounds of the sums. The lower one keeps a server that has been well for long
// from being trusted after it has turned bad.
constexpr double kMinLogOdds = -1;
constexpr double kMaxLogOdds = 5;
// Others' evidence counts for less: it was seen on another path. With half the
// weight a sender avoids a server only after two of others' failures, and 15
// senders lost a tenth more in the simulation.
constexpr double kOthersWeight = 0.8;
// How much less it counts just after own attempts were answered.
constexpr double kOwnAnswersDiscount = 0.8;
// Answers are forgotten sooner than failures: before an event all servers
// answered.
constexpr Millis kAnswersHalfLife{300};
constexpr Millis kFailuresHalfLife{6000};
constexpr Millis kLatencyHalfLife{3000};

// Above it a slice's latency is sent and used.
constexpr double kUnusualLatency = 2.5;

// The prior: evidence of a server that has turned bad, the number and share of
// such servers that make a mass event, and the age up to which outcomes count.
// With a share of a third more payoff was lost in the simulation.
constexpr double kTurnedBadLogOdds = 2;
constexpr size_t kMinTurnedBad = 6;
constexpr size_t kMinKnown = 20;
constexpr double kMassShare = 0.2;
constexpr Millis kKnownAge{1500};

// Interval of probes after a failure, and the shorter one after an answer: a
// server that is well again needs a few answers to be trusted.
constexpr Millis kProbeInterval{1000};
constexpr Millis kConfirmInterval{200};

// Weight of one query in the averages of missing parts, and how many standard
// deviations above the mean a query may lack.
constexpr double kMissingWeight = 0.1;
constexpr double kMissingDeviations = 1.5;

// Interval of reports about a server that is certainly bad: its further
// outcomes tell others little.
constexpr double kCertainLogOdds = 4.5;
constexpr Millis kRepeatInterval{500};

double Decayed(const EvidenceSum& sum, Millis now) {
  const Millis half_life =
      sum.log_odds < 0 ? kAnswersHalfLife : kFailuresHalfLife;
  return sum.log_odds * std::exp2(-(now - sum.at).count / half_life.count);
}

double LossIfBad(const ServerEvidence& evidence) {
  const double n = evidence.recent_failed + evidence.recent_answered;
  return std::clamp((evidence.recent_failed + 1) / (n + 2), kMinLoss, kMaxLoss);
}

// Adds outcomes to a sum, at the time `at`, which may be in the past.
void AddCounts(ServerEvidence* evidence, EvidenceSum* sum,
               const EvidenceCounts& counts, double weight, Millis at,
               Millis now) {
  const double answer_ratio = std::log(1 - LossIfBad(*evidence));
  const double change =
      counts.lost * kLostRatio + counts.refused * kRefusedRatio +
      counts.overdue * kOverdueRatio + counts.answered * answer_ratio;
  const EvidenceSum added{change * weight, at};
  sum->log_odds = std::clamp(Decayed(*sum, now) + Decayed(added, now),
                             kMinLogOdds, kMaxLogOdds);
  sum->at = now;
  const uint32_t bad = BadCount(counts);
  evidence->last_was_answer = bad == 0;
  const double decay = std::pow(kOutcomeDecay, bad + counts.answered);
  evidence->recent_failed = evidence->recent_failed * decay + bad;
  evidence->recent_answered =
      evidence->recent_answered * decay + counts.answered;
}

void EraseOld(ServerEvidence* evidence, Millis now) {
  std::erase_if(evidence->slices,
                [&](auto& it) { return now - it.ended > kEvidenceTtl; });
}

EvidenceCounts Difference(const EvidenceCounts& later,
                          const EvidenceCounts& earlier) {
  const auto minus = [](uint32_t a, uint32_t b) { return a > b ? a - b : 0; };
  return {minus(later.answered, earlier.answered),
          minus(later.lost, earlier.lost),
          minus(later.refused, earlier.refused),
          minus(later.overdue, earlier.overdue),
          std::max(0.0, later.latency_sum - earlier.latency_sum)};
}

// Others' evidence is discounted while own attempts are answered: the server
// may be unreachable from their data centres only.
double EvidenceLogOdds(const ServerEvidence& evidence, Millis now) {
  const double own = Decayed(evidence.own, now);
  const double trust =
      own < 0 ? 1 - kOwnAnswersDiscount * own / kMinLogOdds : 1;
  return std::clamp(own + trust * Decayed(evidence.others, now), kMinLogOdds,
                    kMaxLogOdds);
}

EvidenceReport ToReport(const ServerEvidence::KnownSlice& it, Millis now) {
  EvidenceReport report;
  report.origin = it.origin;
  report.slice = it.slice;
  report.age = Max(now - it.ended, Millis(0));
  report.counts = it.counts;
  return report;
}

}  // namespace

uint64_t EvidenceKey(const BackendServerId& server, Incarnation incarnation) {
  // FNV-1a, the same in all builds.
  constexpr uint64_t kBasis = 0xcbf29ce484222325ULL;
  constexpr uint64_t kPrime = 0x100000001b3ULL;
  constexpr uint64_t kMask = (1ULL << 40U) - 1;
  uint64_t hash = kBasis;
  for (const char it : server.text + "/" + std::to_string(incarnation.value)) {
    hash = (hash ^ static_cast<unsigned char>(it)) * kPrime;
  }
  return (hash ^ (hash >> 40U)) & kMask;
}

uint32_t BadCount(const EvidenceCounts& counts) {
  return counts.lost + counts.refused + counts.overdue;
}

void RecordOwnOutcome(ServerEvidence* evidence, EvidenceOutcome outcome,
                      double latency_factor, Millis now) {
  EvidenceCounts counts;
  switch (outcome) {
    case EvidenceOutcome::kAnswered:
      counts.answered = 1;
      counts.latency_sum = latency_factor;
      break;
    case EvidenceOutcome::kLost:
      counts.lost = 1;
      break;
    case EvidenceOutcome::kRefused:
      counts.refused = 1;
      break;
    case EvidenceOutcome::kOverdue:
      counts.overdue = 1;
      break;
  }
  AddCounts(evidence, &evidence->own, counts, 1, now, now);
  evidence->own_outcome_at = now;
  const auto number = static_cast<int64_t>(now.count / kEvidenceSlice.count);
  const bool is_current = !evidence->slices.empty() &&
                          evidence->slices.back().origin.sender.empty() &&
                          evidence->slices.back().slice == number;
  if (!is_current) {
    EraseOld(evidence, now);
    const Millis end = kEvidenceSlice * static_cast<double>(number + 1);
    const auto known = std::find_if(
        evidence->slices.begin(), evidence->slices.end(), [&](auto& it) {
          return it.origin.sender.empty() && it.slice == number;
        });
    if (known != evidence->slices.end()) {
      std::rotate(known, known + 1, evidence->slices.end());
    } else {
      evidence->slices.push_back({{}, number, end, {}, 0});
    }
  }
  auto& total = evidence->slices.back().counts;
  total.answered += counts.answered;
  total.lost += counts.lost;
  total.refused += counts.refused;
  total.overdue += counts.overdue;
  total.latency_sum += counts.latency_sum;
}

bool MergeReport(ServerEvidence* evidence, const EvidenceReport& report,
                 Millis now) {
  if (report.age > kEvidenceTtl || report.origin.sender.empty()) return false;
  EraseOld(evidence, now);
  auto known = std::find_if(
      evidence->slices.begin(), evidence->slices.end(), [&](auto& it) {
        return it.slice == report.slice && it.origin == report.origin;
      });
  if (known == evidence->slices.end()) {
    known = evidence->slices.insert(
        evidence->slices.begin(),
        {report.origin, report.slice, now - report.age, {}, 0});
  }
  const auto added = Difference(report.counts, known->counts);
  if (BadCount(added) + added.answered == 0) return false;
  known->counts = report.counts;
  AddCounts(evidence, &evidence->others, added, kOthersWeight, known->ended,
            now);
  evidence->others_outcome_at = Max(evidence->others_outcome_at, known->ended);
  if (added.answered > 0 && known->ended > evidence->others_latency_at) {
    evidence->others_latency = added.latency_sum / added.answered;
    evidence->others_latency_at = known->ended;
  }
  return true;
}

double BadBelief(const ServerEvidence& evidence, const EvidencePrior& prior,
                 Millis now) {
  if (!prior.active) return 0;
  const double log_odds = prior.log_odds + EvidenceLogOdds(evidence, now);
  return 1 / (1 + std::exp(-log_odds));
}

double SuspectedFailureRate(const ServerEvidence& evidence,
                            const EvidencePrior& prior, Millis now) {
  const double belief = BadBelief(evidence, prior, now);
  return belief < kMinBelief ? 0 : belief * LossIfBad(evidence);
}

double OthersLatency(const ServerEvidence& evidence, Millis own_sample_at,
                     Millis now) {
  if (evidence.others_latency < kUnusualLatency ||
      evidence.others_latency_at <= own_sample_at) {
    return 1;
  }
  const double age = (now - evidence.others_latency_at).count;
  return 1 + (evidence.others_latency - 1) *
                 std::exp2(-age / kLatencyHalfLife.count);
}

EvidencePrior ComputePrior(std::span<const ServerEvidence* const> servers,
                           Millis now) {
  size_t known = 0;
  size_t turned_bad = 0;
  for (const auto* it : servers) {
    const bool is_bad = EvidenceLogOdds(*it, now) >= kTurnedBadLogOdds;
    turned_bad += is_bad ? 1 : 0;
    // Others report only what is unusual: of servers that they find well,
    // nothing is heard.
    known += is_bad || now - it->own_outcome_at < kKnownAge ? 1 : 0;
  }
  EvidencePrior prior{true, kUsualLogOdds, false};
  // A sender that has just started has hardly any outcomes of its own.
  const size_t total = known < kMinKnown ? servers.size() : known;
  const double share =
      static_cast<double>(turned_bad) / static_cast<double>(total);
  if (turned_bad < kMinTurnedBad || share < kMassShare) return prior;
  prior.mass_event = true;
  prior.log_odds = std::min(0.0, std::log(share / std::max(1 - share, 0.01)));
  return prior;
}

bool IsProbeDue(const ServerEvidence& evidence, const EvidencePrior& prior,
                double offset, Millis now) {
  if (BadBelief(evidence, prior, now) < kBadBelief) return false;
  const Millis last = Max(Max(evidence.own_outcome_at, evidence.probed_at),
                          evidence.others_outcome_at);
  const Millis interval =
      evidence.last_was_answer ? kConfirmInterval : kProbeInterval;
  return now - last >= interval * (1 + offset);
}

void RecordMissing(MissingParts* missing, double parts) {
  missing->mean += kMissingWeight * (parts - missing->mean);
  missing->mean_square +=
      kMissingWeight * (parts * parts - missing->mean_square);
}

bool CanSpareProbe(const MissingParts& missing, size_t parts, size_t needed) {
  const double variance =
      std::max(0.0, missing.mean_square - missing.mean * missing.mean);
  return static_cast<double>(needed) + missing.mean +
             kMissingDeviations * std::sqrt(variance) + 1 <=
         static_cast<double>(parts);
}

bool IsUnusual(const EvidenceCounts& counts) {
  return BadCount(counts) > 0 ||
         counts.latency_sum > kUnusualLatency * counts.answered;
}

void CollectOwnReports(ServerEvidence* evidence, Millis now,
                       std::vector<EvidenceReport>* reports) {
  if (now - evidence->own_outcome_at > kEvidenceTtl) return;
  const double log_odds = EvidenceLogOdds(*evidence, now);
  if (log_odds >= kCertainLogOdds &&
      now - evidence->reported_at < kRepeatInterval) {
    return;
  }
  const bool is_suspect = log_odds > 0;
  for (auto& it : evidence->slices) {
    const uint32_t total = BadCount(it.counts) + it.counts.answered;
    if (!it.origin.sender.empty() || it.reported == total ||
        now - it.ended > kEvidenceTtl) {
      continue;
    }
    if (!is_suspect && !IsUnusual(it.counts)) continue;
    it.reported = total;
    evidence->reported_at = now;
    reports->push_back(ToReport(it, now));
  }
}

void CollectAllReports(const ServerEvidence& evidence, Millis now,
                       std::vector<EvidenceReport>* reports) {
  const bool any_unusual =
      std::any_of(evidence.slices.begin(), evidence.slices.end(),
                  [](auto& it) { return IsUnusual(it.counts); });
  if (!any_unusual) return;
  for (const auto& it : evidence.slices) {
    if (now - it.ended <= kEvidenceTtl) reports->push_back(ToReport(it, now));
  }
}

}  // namespace hibiscuspick::engine
