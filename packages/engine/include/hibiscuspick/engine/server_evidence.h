// Evidence about backend servers that senders share: outcomes of attempts in
// slices of time, their merge, and the belief that a server is bad. See
// docs/design/hard-load.md, part 6.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

inline constexpr Millis kEvidenceSlice{250};

// Interval of messages, and the shorter one while at least kUrgentReports are
// waiting: at the start of an event the other senders lose queries until they
// know.
inline constexpr Millis kEvidenceInterval{250};
inline constexpr Millis kUrgentEvidenceInterval{100};
inline constexpr size_t kUrgentReports = 8;

// Slices older than this are neither sent nor merged: the servers have had time
// to change since.
inline constexpr Millis kEvidenceTtl{4000};

enum class EvidenceOutcome {
  kAnswered,
  // The connection broke, or the reply was no answer.
  kLost,
  // The server refused the attempt without running it.
  kRefused,
  // No reply for longer than any usual pause.
  kOverdue,
};

// Outcomes of one sender's attempts at one server within one slice.
struct EvidenceCounts {
  uint32_t answered = 0;
  uint32_t lost = 0;
  uint32_t refused = 0;
  uint32_t overdue = 0;
  // Sum over the answers of the latency as a multiple of the usual one.
  double latency_sum = 0;
  auto operator<=>(const EvidenceCounts&) const = default;
};

uint32_t BadCount(const EvidenceCounts& counts);

// One run of a sender process. Each numbers its slices by its own steady clock.
struct EvidenceOrigin {
  InstanceId sender;
  uint64_t incarnation = 0;
  auto operator<=>(const EvidenceOrigin&) const = default;
};

// Names a server and its incarnation in reports: 40 bits of a hash, since ids
// take most of the bytes. Among 2,700 servers two have the same key with a
// probability of three in a million.
uint64_t EvidenceKey(const BackendServerId& server, Incarnation incarnation);

// One slice of one server, as it is sent. The age is that of the slice's end
// when the message is written, since senders have no common clock; 0 if the
// slice has not ended.
struct EvidenceReport {
  EvidenceOrigin origin;
  uint64_t server = 0;
  int64_t slice = 0;
  Millis age;
  EvidenceCounts counts;
  auto operator<=>(const EvidenceReport&) const = default;
};

// Log-odds that a server is bad, relative to the prior of its service.
struct EvidenceSum {
  double log_odds = 0;
  Millis at;
};

// What is known of one server. Own and others' evidence is summed separately,
// because others' counts for less.
struct ServerEvidence {
  EvidenceSum own;
  EvidenceSum others;
  // Failures and answers of the last attempts, own and others', decayed by
  // their number: how many a bad server loses.
  double recent_failed = 0;
  double recent_answered = 0;
  // Latency as a multiple of the usual one, by others' reports.
  double others_latency = 1;
  Millis others_latency_at{-1e9};
  // The last outcome of anyone's attempt.
  bool last_was_answer = true;
  Millis own_outcome_at{-1e9};
  Millis others_outcome_at{-1e9};
  Millis probed_at{-1e9};
  // The last time that own slices were reported.
  Millis reported_at{-1e9};

  struct KnownSlice {
    EvidenceOrigin origin;
    int64_t slice = 0;
    // When the slice ended, by this instance's clock.
    Millis ended;
    EvidenceCounts counts;
    // Own slices: the number of outcomes that have been reported.
    uint32_t reported = 0;
  };
  // Own and others' slices that are not older than kEvidenceTtl; own ones have
  // an empty origin.
  std::vector<KnownSlice> slices;
};

// What holds for all servers of a shard set at the moment of a choice.
struct EvidencePrior {
  // Whether evidence is used at all.
  bool active = false;
  // Log-odds that a server without evidence is bad.
  double log_odds = 0;
  // So many servers have turned bad that the budget of extra attempts cannot
  // pay for the losses.
  bool mass_event = false;
};

// Log-odds of a bad server at usual times: one in 150.
inline constexpr double kUsualLogOdds = -5;

// Below this probability evidence has no effect: where all servers are well,
// choices are those of a sender without evidence.
inline constexpr double kMinBelief = 0.1;
// Above it the server counts as bad: a change is logged, and the server is
// probed.
inline constexpr double kBadBelief = 0.5;

// Records the outcome of an own attempt. `latency_factor`: latency of an answer
// as a multiple of the usual one.
void RecordOwnOutcome(ServerEvidence* evidence, EvidenceOutcome outcome,
                      double latency_factor, Millis now);

// Merges another sender's slice. A repeated one changes nothing; a newer count
// of a known slice adds the difference. Returns whether anything was new.
bool MergeReport(ServerEvidence* evidence, const EvidenceReport& report,
                 Millis now);

// The probability that the server is bad.
double BadBelief(const ServerEvidence& evidence, const EvidencePrior& prior,
                 Millis now);

// The share of attempts that the server is expected to lose: 0 below
// kMinBelief.
double SuspectedFailureRate(const ServerEvidence& evidence,
                            const EvidencePrior& prior, Millis now);

// Latency as a multiple of the usual one that others have seen since
// `own_sample_at`; 1 if there is nothing unusual.
double OthersLatency(const ServerEvidence& evidence, Millis own_sample_at,
                     Millis now);

// The prior of a shard set with these servers: raised if a fifth of the servers
// with recent outcomes have just turned bad.
EvidencePrior ComputePrior(std::span<const ServerEvidence* const> servers,
                           Millis now);

// Whether a bad server is due for an attempt that finds out whether it is well
// again. An outcome of any sender postpones it, so that the attempts of all
// senders together stay few. `offset` in [0, 1) differs by sender and server.
bool IsProbeDue(const ServerEvidence& evidence, const EvidencePrior& prior,
                double offset, Millis now);

// How many parts the last queries over a shard set lacked: weighted moving
// averages of the number and of its square.
struct MissingParts {
  double mean = 0;
  double mean_square = 0;
};

void RecordMissing(MissingParts* missing, double parts);

// Whether a query over this many parts would still get the parts it needs if
// one more was lost.
bool CanSpareProbe(const MissingParts& missing, size_t parts, size_t needed);

// Whether a slice has anything that differs from the usual.
bool IsUnusual(const EvidenceCounts& counts);

// Appends the own slices with outcomes that have not been reported yet, if they
// are unusual or there is evidence against the server: others need the answers
// too in order to trust it again. A server that is certainly bad is reported
// less often. Origin and server are the caller's to add.
void CollectOwnReports(ServerEvidence* evidence, Millis now,
                       std::vector<EvidenceReport>* reports);

// Appends all slices, own and others', for a sender that has just started.
void CollectAllReports(const ServerEvidence& evidence, Millis now,
                       std::vector<EvidenceReport>* reports);

}  // namespace hibiscuspick::engine
