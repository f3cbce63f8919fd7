#include "hibiscuspick/engine/place_reach.h"

namespace hibiscuspick::engine {

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
  reach->lost = true;
  return SoundingEnd::kLost;
}

}  // namespace hibiscuspick::engine
