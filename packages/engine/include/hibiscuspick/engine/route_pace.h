// How long a route's attempts take of late, and what follows from it.
#pragma once

#include <cstdint>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/lag_meter.h"
#include "hibiscuspick/limits/latency_sketch.h"

namespace hibiscuspick::engine {

struct RoutePace {
  limits::LatencySketch sketch;
  uint32_t since_update = 0;
  uint64_t samples = 0;
  // The median of an attempt, and after what time one is late: its server's
  // silence is a reason for suspicion, and a second attempt is worth its price.
  Millis usual;
  Millis hedge_after;
  // The longest that a caller of this route said it would wait: its own first
  // attempt. What a later one says less is time that the caller has spent.
  Millis longest_wait;
};

// A pace for a route that nobody asked yet, guessed from its target.
RoutePace FirstPace(Millis target);

// Takes the latency of one good reply.
void AddLatency(RoutePace* pace, Millis latency, Millis target);

// When to answer a query whose answer takes one of `lags` to reach its caller,
// who must have it in `to_target`: sooner, and more parts lack; later, and it
// is more often late. Gives the instant, from now, at which the payoff is
// expected to be greatest; it goes with the square of the share of parts that
// are in.
Millis BestAnswerTime(const RoutePace& pace, Millis to_target,
                      const LagBounds& lags);

// How long the caller has waited before this attempt of its own, by what it
// says it will still wait.
Millis SpentBefore(RoutePace* pace, Millis will_wait);

}  // namespace hibiscuspick::engine
