// How often a server refuses attempts, and when one that has refused may have
// room again.
#pragma once

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Refusals differ from failures: they take no time and the request may be sent
// elsewhere, but each uses the budget of extra attempts.
struct RefusalHistory {
  // Share of attempts that were refused, as a weighted moving average.
  double rate = 0;
  Millis updated_at;
  // Average time between two outcomes.
  Millis interval;
  int consecutive = 0;
};

// Records whether the server refused an attempt.
void RecordOutcome(RefusalHistory* history, bool refused, Millis now);

// The share of attempts that the server is expected to refuse now. Decays more
// slowly at a server that this instance rarely uses.
double RefusalRate(const RefusalHistory& history, Millis now);

// How long a server that has just refused an attempt gets no other: longer
// after several refusals, but not as long as after failures.
Millis RefusalBackoff(const RefusalHistory& history);

}  // namespace hibiscuspick::engine
