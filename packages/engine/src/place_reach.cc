#include "hibiscuspick/engine/place_reach.h"

namespace hibiscuspick::engine {
namespace {

// Cuts that last longer than this last for minutes; a twentieth of their time
// more then matters to nobody.
constexpr Millis kSoundedOften{10000};
constexpr double kPauseShare = 0.05;
constexpr Millis kLongestPause{5000};

}  // namespace

bool NoteHeard(PlaceReach* reach, Millis now) {
  const bool was_lost = reach->lost;
  reach->heard = now;
  reach->lost = false;
  return was_lost;
}

bool WantsSounding(const PlaceReach& reach, Millis since, Millis now) {
  return !reach.sounding && reach.heard < since && now - since >= kQuiet;
}

void BeginSounding(PlaceReach* reach, Millis now) {
  reach->sounding = true;
  reach->asked = now;
}

SoundingEnd EndSounding(PlaceReach* reach, Millis now) {
  reach->sounding = false;
  if (reach->heard >= reach->asked) return SoundingEnd::kThere;
  if (now - reach->asked > kSounding + kStoodStill) return SoundingEnd::kUnsure;
  if (!reach->lost) reach->lost_since = now;
  reach->lost = true;
  return SoundingEnd::kLost;
}

Millis SoundingPause(const PlaceReach& reach, Millis now) {
  if (!reach.lost) return Millis(0);
  const Millis beyond = now - reach.lost_since - kSoundedOften;
  return Min(Max(beyond, Millis(0)) * kPauseShare, kLongestPause);
}

}  // namespace hibiscuspick::engine
