#include "hibiscuspick/engine/route_pace.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// The quantiles are recomputed after this number of replies: it takes a pass
// over 160 buckets, as much work as handling a reply.
constexpr uint32_t kUpdateEvery = 32;
constexpr uint64_t kFirstSamples = 16;

// The share of attempts that are on time. A fan-out to 20 shards has one late
// attempt per query on average. That suits the suspicion of a server, which
// costs nothing, and is no worse for hedges than a higher quantile.
constexpr double kLateQuantile = 0.95;

// Bounds of the hedge delay as shares of the target: a shorter delay reacts to
// noise, a longer one leaves no time for the second attempt to help.
constexpr double kSoonestHedge = 0.1;
constexpr double kLatestHedge = 0.45;

// Payoff of a late answer relative to one in time.
constexpr double kLatePayoff = 0.1;

constexpr double kFirstUsual = 0.15;
constexpr double kFirstHedge = 0.35;

}  // namespace

RoutePace FirstPace(Millis target) {
  RoutePace pace;
  pace.usual = target * kFirstUsual;
  pace.hedge_after = target * kFirstHedge;
  return pace;
}

void AddLatency(RoutePace* pace, Millis latency, Millis target) {
  limits::AddSample(&pace->sketch, latency);
  ++pace->samples;
  if (++pace->since_update < kUpdateEvery && pace->samples != kFirstSamples) {
    return;
  }
  if (pace->samples < kFirstSamples) return;
  pace->since_update = 0;
  pace->usual = limits::Quantile(pace->sketch, 0.5);
  const Millis late = limits::Quantile(pace->sketch, kLateQuantile);
  pace->hedge_after =
      Min(Max(late, target * kSoonestHedge), target * kLatestHedge);
}

Millis BestAnswerTime(const RoutePace& pace, Millis to_target,
                      const LagBounds& lags) {
  Millis best;
  double most = -1;
  for (size_t i = 0; i < lags.size(); ++i) {
    const Millis at = to_target - lags[i];
    const double in = limits::ShareBelow(pace.sketch, at);
    const double in_time = kLagShares[i] + kLatePayoff * (1 - kLagShares[i]);
    // The later of equal ones is chosen, since the first few replies of a route
    // say little about its latency.
    if (in_time * in * in <= most) continue;
    most = in_time * in * in;
    best = at;
  }
  return best;
}

Millis SpentBefore(RoutePace* pace, Millis will_wait) {
  pace->longest_wait = Max(pace->longest_wait, will_wait);
  return pace->longest_wait - will_wait;
}

}  // namespace hibiscuspick::engine
