#include "hibiscuspick/platform/watch.h"

#include <algorithm>

namespace hibiscuspick::platform {
namespace {

constexpr Millis kLongestRest{1000};

// Returns a random time between 0.75 and 1.25 intervals.
Millis AboutOne(Millis interval, Random* random) {
  constexpr double kLeast = 0.75;
  constexpr double kSpan = 0.5;
  return interval * (kLeast + kSpan * random->Fraction());
}

}  // namespace

void SetWatching(WatchState* state, bool watching, const WatchOptions& options,
                 Millis now, Random* random) {
  if (state->watching == watching) return;
  state->watching = watching;
  state->next_whole = now + options.whole_interval * random->Fraction();
}

WatchAction NextAction(const WatchState& state, Millis now) {
  if (now < state.not_before) return WatchAction::kRest;
  if (state.whole_wanted) return WatchAction::kListWhole;
  if (!state.watching) return WatchAction::kRest;
  const bool knows_nothing = state.seen.value == 0 && !state.answered;
  if (knows_nothing) return WatchAction::kListWhole;
  return now < state.next_whole ? WatchAction::kWatch : WatchAction::kListWhole;
}

Millis NextLook(const WatchState& state, Millis now) {
  const Millis latest = now + kLongestRest;
  return now < state.not_before ? Min(latest, state.not_before) : latest;
}

void AfterAnswer(WatchState* state, WatchAction asked, Revision known,
                 Revision complete_to, const WatchOptions& options, Millis now,
                 Random* random) {
  // `seen` is not raised to `known`: there may be unseen objects between the
  // watermark and a newer single object.
  if (complete_to >= known) state->seen = std::max(state->seen, complete_to);
  state->answered = true;
  if (asked == WatchAction::kListWhole) {
    state->whole_wanted = false;
    state->next_whole = now + AboutOne(options.whole_interval, random);
  }
  if (complete_to < known) {
    AfterFailure(state, options, now, random);
    return;
  }
  state->failures = 0;
  state->not_before = now;
}

void AfterFailure(WatchState* state, const WatchOptions& options, Millis now,
                  Random* random) {
  ++state->failures;
  state->not_before =
      now + BackoffAfter(state->failures, options.backoff, random);
}

}  // namespace hibiscuspick::platform
