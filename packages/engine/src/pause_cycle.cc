#include "hibiscuspick/engine/pause_cycle.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscuspick::engine {
namespace {

// A reply was delayed by a pause if it takes this multiple of the expected
// latency and this much longer. A smaller delay may be due to a busy machine.
constexpr double kHeldUpTimes = 6;
constexpr Millis kHeldUp{15};

// A longer delay has another cause than a periodic pause.
constexpr Millis kLongestPause{600};

// Intervals outside these bounds are ignored.
constexpr Millis kShortestGap{200};
constexpr Millis kLongestGap{60000};

// An interval fits a period if it is this close to a multiple of it, in
// milliseconds: the end of a pause is known to within the variation of an
// attempt's latency.
constexpr float kTolerance = 14;
constexpr float kMostMultiple = 16;

// The period is recomputed after this number of intervals.
constexpr size_t kUpdateEvery = 8;
constexpr size_t kFewestGaps = 12;

// The share of intervals that must fit a period for it to be accepted, and as a
// multiple of the share that would fit by chance. The other intervals lie
// between replies that were late for other reasons. Once a period is accepted,
// pauses are avoided and no longer observed, so that the intervals show it less
// and less: it is kept until predicted pauses fail to happen.
constexpr double kBelieved = 0.3;
constexpr double kTimesChance = 6;
constexpr int kMostRefuted = 12;

// The phase is dropped after this number of cycles without an observed pause:
// the next pause is then hit once more and confirms or corrects the phase.
constexpr double kMostCycles = 16;

// A reply disproves a predicted pause if it arrives in this last part of it.
constexpr double kWellWithin = 0.75;

constexpr double kLengthQuantile = 0.95;

size_t CountOf(const PauseCycle& cycle) {
  return std::min(cycle.gaps_seen, cycle.gaps.size());
}

float MultipleOf(float gap, float period) { return std::round(gap / period); }

bool Fits(float gap, float period) {
  const float n = MultipleOf(gap, period);
  return n >= 1 && n <= kMostMultiple &&
         std::abs(gap - n * period) <= kTolerance;
}

size_t CountFits(const PauseCycle& cycle, float period) {
  const auto end =
      cycle.gaps.begin() + static_cast<std::ptrdiff_t>(CountOf(cycle));
  return static_cast<size_t>(std::count_if(
      cycle.gaps.begin(), end, [&](float it) { return Fits(it, period); }));
}

// The mean period over the intervals that fit it.
float Refined(const PauseCycle& cycle, float period) {
  float sum = 0;
  float multiples = 0;
  for (size_t i = 0; i < CountOf(cycle); ++i) {
    if (!Fits(cycle.gaps[i], period)) continue;
    sum += cycle.gaps[i];
    multiples += MultipleOf(cycle.gaps[i], period);
  }
  return multiples > 0 ? sum / multiples : period;
}

void UpdatePeriod(PauseCycle* cycle) {
  const size_t n = CountOf(*cycle);
  if (n < kFewestGaps) return;
  const auto share = [&](float period) {
    return static_cast<double>(CountFits(*cycle, period)) /
           static_cast<double>(n);
  };
  float best = 0;
  size_t most = 0;
  for (size_t i = 0; i < n; ++i) {
    const float period = cycle->gaps[i];
    const size_t fits = CountFits(*cycle, period);
    if (fits < most || (fits == most && period <= best)) continue;
    most = fits;
    best = period;
  }
  const double by_chance = 2.0 * kTolerance / std::max(best, 1.0F);
  if (share(best) < std::max(kBelieved, kTimesChance * by_chance)) return;
  cycle->period = Millis(Refined(*cycle, best));
  cycle->refuted = 0;
}

void Refute(PauseCycle* cycle) {
  if (++cycle->refuted < kMostRefuted) return;
  cycle->period = Millis(0);
  cycle->gaps_seen = 0;
  cycle->refuted = 0;
}

bool IsPhaseKnown(const PauseHistory& server, const PauseCycle& cycle,
                  Millis now) {
  return cycle.period > Millis(0) && server.ended >= Millis(0) &&
         now - server.ended <= cycle.period * kMostCycles &&
         Fits(static_cast<float>(server.gap.count),
              static_cast<float>(cycle.period.count));
}

void AddGap(PauseCycle* cycle, Millis gap) {
  if (gap < kShortestGap || gap > kLongestGap) return;
  cycle->gaps[cycle->gaps_seen % cycle->gaps.size()] =
      static_cast<float>(gap.count);
  ++cycle->gaps_seen;
  if (cycle->gaps_seen % kUpdateEvery == 0) UpdatePeriod(cycle);
}

bool Agree(const PauseCycle& cycle, Millis earlier, Millis later) {
  return earlier >= Millis(0) &&
         Fits(static_cast<float>((later - earlier).count),
              static_cast<float>(cycle.period.count));
}

void NoteEnd(PauseHistory* server, PauseCycle* cycle, Millis ended) {
  if (server->ended >= Millis(0)) AddGap(cycle, ended - server->ended);
  if (server->other_ended >= Millis(0)) {
    AddGap(cycle, ended - server->other_ended);
  }
  if (IsPhaseKnown(*server, *cycle, ended)) {
    const bool agrees = Agree(*cycle, server->ended, ended);
    if (agrees) cycle->refuted = std::max(cycle->refuted - 1, 0);
    const bool agrees_with_other = Agree(*cycle, server->other_ended, ended);
    if (!agrees && !agrees_with_other) {
      server->other_ended = ended;
      return;
    }
    if (!agrees) server->ended = server->other_ended;
  }
  server->gap = server->ended >= Millis(0) ? ended - server->ended : Millis(0);
  server->ended = ended;
  server->other_ended = Millis(-1);
}

}  // namespace

void NotePauses(PauseHistory* server, PauseCycle* cycle, Millis latency,
                Millis usual, Millis now) {
  const Millis held_up = latency - usual;
  const bool is_late = latency > usual * kHeldUpTimes && held_up > kHeldUp;
  if (!is_late) {
    server->is_late = false;
    // A reply arrived during a predicted pause.
    const Millis left = ExpectedPause(*server, *cycle, Millis(0), now);
    const bool was_wrong = left > kHeldUp && left < cycle->length * kWellWithin;
    if (was_wrong) {
      server->ended = Millis(-1);
      Refute(cycle);
    }
    return;
  }
  // Of the replies delayed by one pause only the first marks its end; the
  // others wait for each other.
  if (std::exchange(server->is_late, true)) return;
  if (held_up > kLongestPause) return;
  limits::AddSample(&cycle->held_up, held_up);
  cycle->length = limits::Quantile(cycle->held_up, kLengthQuantile);
  NoteEnd(server, cycle, now - usual);
}

Millis ExpectedPause(const PauseHistory& server, const PauseCycle& cycle,
                     Millis usual, Millis now) {
  if (!IsPhaseKnown(server, cycle, now)) return Millis(0);
  const Millis since = Max(now - server.ended, Millis(0));
  const double cycles = since.count / cycle.period.count;
  const Millis to_end = cycle.period * (std::floor(cycles) + 1) - since;
  return to_end <= cycle.length + usual ? Min(to_end, cycle.length) : Millis(0);
}

}  // namespace hibiscuspick::engine
