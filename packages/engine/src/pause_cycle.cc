#include "hibiscuspick/engine/pause_cycle.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscuspick::engine {
namespace {

// A reply was delayed by a pause if it takes this multiple of the expected
// latency and this much longer. A smaller delay may be due to a busy machine.
constexpr double kDelayedLatencyFactor = 6;
constexpr Millis kMinDelay{15};

// A longer delay has another cause than a periodic pause.
constexpr Millis kMaxPause{600};

// Intervals outside these bounds are ignored.
constexpr Millis kMinInterval{200};
constexpr Millis kMaxInterval{60000};

// An interval fits a period if it is this close to a multiple of it, in
// milliseconds: the end of a pause is known to within the variation of an
// attempt's latency.
constexpr float kTolerance = 14;
constexpr float kMaxMultiple = 16;

// The period is recomputed after this number of intervals.
constexpr size_t kUpdateEvery = 8;
constexpr size_t kMinIntervals = 12;

// The share of intervals that must fit a period for it to be accepted, and as a
// multiple of the share that would fit by chance. The other intervals lie
// between replies that were late for other reasons. Once a period is accepted,
// pauses are avoided and no longer observed, so that the intervals show it less
// and less: it is kept until predicted pauses fail to happen.
constexpr double kMinFitShare = 0.3;
constexpr double kMinChanceRatio = 6;
constexpr int kMaxMispredictions = 12;

// The phase is dropped after this number of cycles without an observed pause:
// the next pause is then hit once more and confirms or corrects the phase.
constexpr double kMaxUnobservedCycles = 16;

// A reply disproves a predicted pause if it arrives in this last part of it.
constexpr double kMispredictionFraction = 0.75;

constexpr double kDurationQuantile = 0.95;

size_t IntervalCount(const PauseCycle& cycle) {
  return std::min(cycle.interval_count, cycle.intervals.size());
}

float NearestMultiple(float interval, float period) {
  return std::round(interval / period);
}

bool FitsPeriod(float interval, float period) {
  const float n = NearestMultiple(interval, period);
  return n >= 1 && n <= kMaxMultiple &&
         std::abs(interval - n * period) <= kTolerance;
}

size_t CountFitting(const PauseCycle& cycle, float period) {
  const auto last = cycle.intervals.begin() +
                    static_cast<std::ptrdiff_t>(IntervalCount(cycle));
  return static_cast<size_t>(
      std::count_if(cycle.intervals.begin(), last,
                    [&](float it) { return FitsPeriod(it, period); }));
}

// The mean period over the intervals that fit it.
float RefinePeriod(const PauseCycle& cycle, float period) {
  float sum = 0;
  float multiples = 0;
  for (size_t i = 0; i < IntervalCount(cycle); ++i) {
    if (!FitsPeriod(cycle.intervals[i], period)) continue;
    sum += cycle.intervals[i];
    multiples += NearestMultiple(cycle.intervals[i], period);
  }
  return multiples > 0 ? sum / multiples : period;
}

void UpdatePeriod(PauseCycle* cycle) {
  const size_t n = IntervalCount(*cycle);
  if (n < kMinIntervals) return;
  const auto share = [&](float period) {
    return static_cast<double>(CountFitting(*cycle, period)) /
           static_cast<double>(n);
  };
  float best = 0;
  size_t max_fits = 0;
  for (size_t i = 0; i < n; ++i) {
    const float period = cycle->intervals[i];
    const size_t fits = CountFitting(*cycle, period);
    if (fits < max_fits || (fits == max_fits && period <= best)) continue;
    max_fits = fits;
    best = period;
  }
  const double by_chance = 2.0 * kTolerance / std::max(best, 1.0F);
  if (share(best) < std::max(kMinFitShare, kMinChanceRatio * by_chance)) return;
  cycle->period = Millis(RefinePeriod(*cycle, best));
  cycle->mispredictions = 0;
}

void RecordMisprediction(PauseCycle* cycle) {
  if (++cycle->mispredictions < kMaxMispredictions) return;
  cycle->period = Millis(0);
  cycle->interval_count = 0;
  cycle->mispredictions = 0;
}

bool IsPhaseKnown(const PauseHistory& server, const PauseCycle& cycle,
                  Millis now) {
  return cycle.period > Millis(0) && server.last_end >= Millis(0) &&
         now - server.last_end <= cycle.period * kMaxUnobservedCycles &&
         FitsPeriod(static_cast<float>(server.last_interval.count),
                    static_cast<float>(cycle.period.count));
}

void AddInterval(PauseCycle* cycle, Millis interval) {
  if (interval < kMinInterval || interval > kMaxInterval) return;
  cycle->intervals[cycle->interval_count % cycle->intervals.size()] =
      static_cast<float>(interval.count);
  ++cycle->interval_count;
  if (cycle->interval_count % kUpdateEvery == 0) UpdatePeriod(cycle);
}

bool MatchesPhase(const PauseCycle& cycle, Millis earlier, Millis later) {
  return earlier >= Millis(0) &&
         FitsPeriod(static_cast<float>((later - earlier).count),
                    static_cast<float>(cycle.period.count));
}

void RecordPauseEnd(PauseHistory* server, PauseCycle* cycle, Millis end) {
  if (server->last_end >= Millis(0)) AddInterval(cycle, end - server->last_end);
  if (server->candidate_end >= Millis(0)) {
    AddInterval(cycle, end - server->candidate_end);
  }
  if (IsPhaseKnown(*server, *cycle, end)) {
    const bool matches = MatchesPhase(*cycle, server->last_end, end);
    if (matches) cycle->mispredictions = std::max(cycle->mispredictions - 1, 0);
    const bool matches_candidate =
        MatchesPhase(*cycle, server->candidate_end, end);
    if (!matches && !matches_candidate) {
      server->candidate_end = end;
      return;
    }
    if (!matches) server->last_end = server->candidate_end;
  }
  server->last_interval =
      server->last_end >= Millis(0) ? end - server->last_end : Millis(0);
  server->last_end = end;
  server->candidate_end = Millis(-1);
}

}  // namespace

void RecordReplyLatency(PauseHistory* server, PauseCycle* cycle, Millis latency,
                        Millis expected_latency, Millis now) {
  const Millis delay = latency - expected_latency;
  const bool is_delayed =
      latency > expected_latency * kDelayedLatencyFactor && delay > kMinDelay;
  if (!is_delayed) {
    server->last_reply_late = false;
    // A reply arrived during a predicted pause.
    const Millis remaining =
        ExpectedPauseDelay(*server, *cycle, Millis(0), now);
    const bool was_mispredicted =
        remaining > kMinDelay &&
        remaining < cycle->duration * kMispredictionFraction;
    if (was_mispredicted) {
      server->last_end = Millis(-1);
      RecordMisprediction(cycle);
    }
    return;
  }
  // Of the replies delayed by one pause only the first marks its end; the
  // others wait for each other.
  if (std::exchange(server->last_reply_late, true)) return;
  if (delay > kMaxPause) return;
  limits::AddSample(&cycle->delays, delay);
  cycle->duration = limits::Quantile(cycle->delays, kDurationQuantile);
  RecordPauseEnd(server, cycle, now - expected_latency);
}

Millis ExpectedPauseDelay(const PauseHistory& server, const PauseCycle& cycle,
                          Millis expected_latency, Millis now) {
  if (!IsPhaseKnown(server, cycle, now)) return Millis(0);
  const Millis elapsed = Max(now - server.last_end, Millis(0));
  const double elapsed_cycles = elapsed.count / cycle.period.count;
  const Millis until_end =
      cycle.period * (std::floor(elapsed_cycles) + 1) - elapsed;
  return until_end <= cycle.duration + expected_latency
             ? Min(until_end, cycle.duration)
             : Millis(0);
}

}  // namespace hibiscuspick::engine
