// Recent latency of a route's attempts, and the timeouts derived from it.
#pragma once

#include <cstdint>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/lag_meter.h"
#include "hibiscuspick/limits/latency_sketch.h"

namespace hibiscuspick::engine {

struct RouteLatency {
  limits::LatencySketch sketch;
  uint32_t since_update = 0;
  uint64_t samples = 0;
  // The median latency of an attempt, and the latency above which an attempt is
  // late: its server is then suspected of a pause, and a second attempt is
  // justified.
  Millis median;
  Millis hedge_after;
  // The longest time that a caller of this route said it would wait, which is
  // its first attempt. A later attempt says less by the time that the caller
  // has already waited.
  Millis max_wait;
};

// Initial values for a route without samples, derived from its target.
RouteLatency InitialRouteLatency(Millis target);

// Records the latency of one successful reply.
void AddLatency(RouteLatency* route_latency, Millis latency, Millis target);

// The time from now at which to answer a query. Its answer takes one of `lags`
// to reach the caller, who needs it within `to_target`. An earlier answer
// misses more parts, a later one is late more often. Maximises the expected
// payoff, which is the square of the share of parts received, times the payoff
// of a late answer if it is late.
Millis BestAnswerTime(const RouteLatency& route_latency, Millis to_target,
                      const LagBounds& lags);

// How long the caller waited before this attempt, derived from the time that it
// says it will still wait.
Millis TimeAlreadyWaited(RouteLatency* route_latency, Millis remaining_wait);

}  // namespace hibiscuspick::engine
