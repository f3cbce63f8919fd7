#include "hibiscuspick/engine/route_latency.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// The quantiles are recomputed after this number of replies: it takes a pass
// over 160 buckets, as much work as handling a reply.
constexpr uint32_t kUpdateEvery = 32;
constexpr uint64_t kMinSamples = 16;

// The share of attempts that are on time. A fan-out to 20 shards has one late
// attempt per query on average. That suits the suspicion of a server, which
// costs nothing, and is no worse for hedges than a higher quantile.
constexpr double kLateQuantile = 0.95;

// Bounds of the hedge delay as shares of the target: a shorter delay reacts to
// noise, a longer one leaves no time for the second attempt to help.
constexpr double kMinHedgeShare = 0.1;
constexpr double kMaxHedgeShare = 0.45;

// Payoff of a late answer relative to one in time.
constexpr double kLatePayoff = 0.1;

constexpr double kInitialMedianShare = 0.15;
constexpr double kInitialHedgeShare = 0.35;

}  // namespace

RouteLatency InitialRouteLatency(Millis target) {
  RouteLatency route_latency;
  route_latency.median = target * kInitialMedianShare;
  route_latency.hedge_after = target * kInitialHedgeShare;
  return route_latency;
}

void AddLatency(RouteLatency* route_latency, Millis latency, Millis target) {
  limits::AddSample(&route_latency->sketch, latency);
  ++route_latency->samples;
  if (++route_latency->since_update < kUpdateEvery &&
      route_latency->samples != kMinSamples) {
    return;
  }
  if (route_latency->samples < kMinSamples) return;
  route_latency->since_update = 0;
  route_latency->median = limits::Quantile(route_latency->sketch, 0.5);
  const Millis late_bound =
      limits::Quantile(route_latency->sketch, kLateQuantile);
  route_latency->hedge_after =
      Min(Max(late_bound, target * kMinHedgeShare), target * kMaxHedgeShare);
}

Millis BestAnswerTime(const RouteLatency& route_latency, Millis to_target,
                      const LagBounds& lags) {
  Millis best_time;
  double best_payoff = -1;
  for (size_t i = 0; i < lags.size(); ++i) {
    const Millis at = to_target - lags[i];
    const double received = limits::ShareBelow(route_latency.sketch, at);
    const double lag_payoff =
        kLagQuantiles[i] + kLatePayoff * (1 - kLagQuantiles[i]);
    // The later of equal ones is chosen, since the first few replies of a route
    // say little about its latency.
    if (lag_payoff * received * received <= best_payoff) continue;
    best_payoff = lag_payoff * received * received;
    best_time = at;
  }
  return best_time;
}

Millis TimeAlreadyWaited(RouteLatency* route_latency, Millis remaining_wait) {
  route_latency->max_wait = Max(route_latency->max_wait, remaining_wait);
  return route_latency->max_wait - remaining_wait;
}

}  // namespace hibiscuspick::engine
