// Whether another data centre is reachable, judged by messages received from it
// and by connections opened for this purpose only (probes).
//
// Without probes a network partition shows at each server separately, after 400
// ms of silence and a connection attempt that hangs: callers on the isolated
// side were refused for 1.5 to 2.6 s until its last instance had told the load
// balancer, and the other side went on sending parts there. A probe at the
// first sign detects the partition for all servers within 0.35 to 0.7 s.
#pragma once

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Silence of a data centre for this long after a request is a reason to probe
// it. A round trip takes 2 to 6 ms. A pause of one server takes 100 to 250 ms,
// but the other servers there answer meanwhile.
inline constexpr Millis kSilenceThreshold{100};

// Duration of a probe: a connection needs one round trip, and an instance that
// is short of processor time notices it late.
inline constexpr Millis kProbeTimeout{200};

// A probe that is evaluated later than this after its end is inconclusive: this
// process was stalled, and answers may be waiting unread.
inline constexpr Millis kMaxProbeOverrun{40};

struct Reachability {
  // When a message was last received from the data centre.
  Millis last_contact{-1};
  // Start of the probe in progress.
  Millis probe_started_at{-1};
  bool probing = false;
  // Nothing sent there arrives; true until a message is received.
  bool unreachable = false;
  // When it became unreachable; only valid while it is.
  Millis unreachable_since{-1};
};

// Records a message from the data centre. Returns true if it had been
// unreachable.
bool RecordContact(Reachability* reachability, Millis now);

// Whether a request that was sent at `sent_at` and is unanswered is a reason to
// probe.
bool NeedsProbe(const Reachability& reachability, Millis sent_at, Millis now);

// Records the start of a probe.
void BeginProbe(Reachability* reachability, Millis now);

enum class ProbeResult {
  // A message was received.
  kReachable,
  // None of the addresses answered: the data centre is, or stays, unreachable.
  kUnreachable,
  // The probe has to be repeated.
  kInconclusive,
};
// Evaluates the probe in progress.
ProbeResult EndProbe(Reachability* reachability, Millis now);

// The delay before the next probe. There is none in the first seconds of a
// partition, so that its end is detected at once. A data centre that was shut
// down for good, whose instances still have entries in the store, is probed
// every five seconds.
Millis ProbeDelay(const Reachability& reachability, Millis now);

}  // namespace hibiscuspick::engine
