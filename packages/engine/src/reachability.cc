#include "hibiscuspick/engine/reachability.h"

namespace hibiscuspick::engine {
namespace {

// Partitions that last longer than this usually last for minutes, where a
// detection delay of a twentieth of their duration is negligible.
constexpr Millis kProbedOften{10000};
constexpr double kPauseShare = 0.05;
constexpr Millis kLongestPause{5000};

}  // namespace

bool RecordContact(Reachability* reach, Millis now) {
  const bool was_lost = reach->lost;
  reach->heard = now;
  reach->lost = false;
  return was_lost;
}

bool WantsProbe(const Reachability& reach, Millis since, Millis now) {
  return !reach.probing && reach.heard < since && now - since >= kQuiet;
}

void BeginProbe(Reachability* reach, Millis now) {
  reach->probing = true;
  reach->asked = now;
}

ProbeEnd EndProbe(Reachability* reach, Millis now) {
  reach->probing = false;
  if (reach->heard >= reach->asked) return ProbeEnd::kThere;
  if (now - reach->asked > kProbeTime + kStoodStill) return ProbeEnd::kUnsure;
  if (!reach->lost) reach->lost_since = now;
  reach->lost = true;
  return ProbeEnd::kLost;
}

Millis ProbePause(const Reachability& reach, Millis now) {
  if (!reach.lost) return Millis(0);
  const Millis beyond = now - reach.lost_since - kProbedOften;
  return Min(Max(beyond, Millis(0)) * kPauseShare, kLongestPause);
}

}  // namespace hibiscuspick::engine
