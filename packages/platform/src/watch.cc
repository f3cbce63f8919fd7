#include "hibiscuspick/platform/watch.h"

#include <algorithm>

namespace hibiscuspick::platform {
namespace {

constexpr Millis kMaxWait{1000};

// Returns a random time between 0.75 and 1.25 intervals.
Millis RandomiseInterval(Millis interval, Random* random) {
  constexpr double kMinFactor = 0.75;
  constexpr double kSpan = 0.5;
  return interval * (kMinFactor + kSpan * random->Fraction());
}

}  // namespace

void SetWatching(WatchState* state, bool watching, const WatchOptions& options,
                 Millis now, Random* random) {
  if (state->watching == watching) return;
  state->watching = watching;
  state->next_full_list = now + options.full_list_interval * random->Fraction();
}

WatchAction NextAction(const WatchState& state, Millis now) {
  if (now < state.not_before) return WatchAction::kWait;
  if (state.full_list_requested) return WatchAction::kListAll;
  if (!state.watching) return WatchAction::kWait;
  const bool has_no_config = state.seen.value == 0 && !state.answered;
  if (has_no_config) return WatchAction::kListAll;
  return now < state.next_full_list ? WatchAction::kWatch
                                    : WatchAction::kListAll;
}

Millis NextCheckTime(const WatchState& state, Millis now) {
  const Millis latest = now + kMaxWait;
  return now < state.not_before ? Min(latest, state.not_before) : latest;
}

void AfterAnswer(WatchState* state, WatchAction asked, Revision known,
                 Revision complete_to, const WatchOptions& options, Millis now,
                 Random* random) {
  // `seen` is not raised to `known`: there may be unseen objects between the
  // watermark and a newer single object.
  if (complete_to >= known) state->seen = std::max(state->seen, complete_to);
  state->answered = true;
  if (asked == WatchAction::kListAll) {
    state->full_list_requested = false;
    state->next_full_list =
        now + RandomiseInterval(options.full_list_interval, random);
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
