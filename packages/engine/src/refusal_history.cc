#include "hibiscuspick/engine/refusal_history.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::engine {
namespace {

// Weight of one outcome in the rate.
constexpr double kOutcomeWeight = 0.2;

// The half-life of the rate is this number of average intervals between
// outcomes, within the bounds.
constexpr double kHalfLifeIntervals = 10;
constexpr Millis kMinHalfLife{4000};
constexpr Millis kMaxHalfLife{20000};

// Longer intervals are idle times, which say nothing about how often the server
// is used.
constexpr Millis kMaxInterval{3000};

// A server at its limit of requests has room again within a few of them. The
// backoff after failures grows to a second, in which the server would be idle.
constexpr Millis kMinBackoff{25};
constexpr int kMaxDoublings = 3;

}  // namespace

double RefusalRate(const RefusalHistory& history, Millis now) {
  const Millis half_life = Min(
      Max(history.interval * kHalfLifeIntervals, kMinHalfLife), kMaxHalfLife);
  const double age = (now - history.updated_at).count;
  return history.rate * std::exp2(-age / half_life.count);
}

void RecordOutcome(RefusalHistory* history, bool refused, Millis now) {
  const double before = RefusalRate(*history, now);
  const Millis interval = Min(now - history->updated_at, kMaxInterval);
  history->interval =
      history->interval + (interval - history->interval) * kOutcomeWeight;
  history->rate = before + kOutcomeWeight * ((refused ? 1 : 0) - before);
  history->updated_at = now;
  history->consecutive = refused ? history->consecutive + 1 : 0;
}

Millis RefusalBackoff(const RefusalHistory& history) {
  const int doublings = std::clamp(history.consecutive - 1, 0, kMaxDoublings);
  return kMinBackoff * std::exp2(doublings);
}

}  // namespace hibiscuspick::engine
