#include "hibiscuspick/engine/reachability.h"

namespace hibiscuspick::engine {
namespace {

// Partitions that last longer than this usually last for minutes, where a
// detection delay of a twentieth of their duration is negligible.
constexpr Millis kContinuousProbeTime{10000};
constexpr double kDelayFraction = 0.05;
constexpr Millis kMaxProbeDelay{5000};

}  // namespace

bool RecordContact(Reachability* reachability, Millis now) {
  const bool was_unreachable = reachability->unreachable;
  reachability->last_contact = now;
  reachability->unreachable = false;
  return was_unreachable;
}

bool NeedsProbe(const Reachability& reachability, Millis sent_at, Millis now) {
  return !reachability.probing && reachability.last_contact < sent_at &&
         now - sent_at >= kSilenceThreshold;
}

void BeginProbe(Reachability* reachability, Millis now) {
  reachability->probing = true;
  reachability->probe_started_at = now;
}

ProbeResult EndProbe(Reachability* reachability, Millis now) {
  reachability->probing = false;
  if (reachability->last_contact >= reachability->probe_started_at) {
    return ProbeResult::kReachable;
  }
  if (now - reachability->probe_started_at > kProbeTimeout + kMaxProbeOverrun) {
    return ProbeResult::kInconclusive;
  }
  if (!reachability->unreachable) reachability->unreachable_since = now;
  reachability->unreachable = true;
  return ProbeResult::kUnreachable;
}

Millis ProbeDelay(const Reachability& reachability, Millis now) {
  if (!reachability.unreachable) return Millis(0);
  const Millis excess =
      now - reachability.unreachable_since - kContinuousProbeTime;
  return Min(Max(excess, Millis(0)) * kDelayFraction, kMaxProbeDelay);
}

}  // namespace hibiscuspick::engine
