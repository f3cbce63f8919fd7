#include "hibiscuspick/engine/route_pace.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// Quantiles are worked out again after so many replies: 160 buckets are walked,
// which costs as much as handling a reply.
constexpr uint32_t kUpdateEvery = 32;
constexpr uint64_t kFirstSamples = 16;

// The share of attempts that are on time. A fan-out to 20 shards has one late
// attempt a query: right for suspecting a server, which costs nothing, and no
// worse for second attempts than a later bound.
constexpr double kLateQuantile = 0.95;

// Bounds as shares of the target: sooner is noise; later leaves no time for the
// second attempt to help.
constexpr double kSoonestHedge = 0.1;
constexpr double kLatestHedge = 0.45;

// What an answer that comes late is worth, of one in time.
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
    // Of equal ones the later: what is known of a route's first replies is
    // little.
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
