// Whether another data centre can be reached, from what is heard of it and from
// connections that are tried for nothing else ("probes").
//
// A cut between data centres shows at single servers only one by one, each by
// its own silence of 400 ms and a connection that hangs: callers of the side
// that is cut off were refused for 1.5 to 2.6 s before its last instance told
// the balancer, and the other side went on sending parts there. Asked for at
// the first sign, it shows at all of them within 0.35 to 0.7 s.
#pragma once

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Nothing heard of a data centre for this long after a question is a sign. The
// way there and back takes 2 to 6 ms; a pause of one server takes 100 to 250
// ms, but the others there speak meanwhile.
inline constexpr Millis kQuiet{100};

// How long a probe takes: a connection needs a way there and back, and an
// instance that is short of processor hears of it late.
inline constexpr Millis kProbeTime{200};

// A probe that is looked at this much after its end tells nothing: this
// process stood still, and answers may wait unread.
inline constexpr Millis kStoodStill{40};

struct Reachability {
  // When anything was heard from there.
  Millis heard{-1};
  // When the probe under way began.
  Millis asked{-1};
  bool probing = false;
  // Nothing sent there arrives; true until something is heard.
  bool lost = false;
  // Since when, while it is.
  Millis lost_since{-1};
};

// Something was heard; true if the place had been lost.
bool RecordContact(Reachability* reach, Millis now);

// Whether a question sent at `since` and unanswered is reason to probe.
bool WantsProbe(const Reachability& reach, Millis since, Millis now);

void BeginProbe(Reachability* reach, Millis now);

enum class ProbeEnd {
  // Something was heard.
  kThere,
  // Nothing was, from any that was tried: the place is lost now, or still.
  kLost,
  // It has to be tried again.
  kUnsure,
};
ProbeEnd EndProbe(Reachability* reach, Millis now);

// How long to wait before the next probe. None in the first seconds of a
// cut, so that its end shows at once; a data centre that was taken down for
// good, whose instances' entries stay in the store, costs a try in five
// seconds.
Millis ProbePause(const Reachability& reach, Millis now);

}  // namespace hibiscuspick::engine
