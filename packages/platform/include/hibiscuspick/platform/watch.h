// Decides when an instance calls the platform, and whether to list or watch.
// Pure functions.
#pragma once

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/platform/call_budget.h"

namespace hibiscuspick::platform {

struct WatchOptions {
  // How long one watch waits for a change.
  Millis wait{10000};
  // Interval between full lists, randomised by a quarter either way. They find
  // what a watch from a watermark cannot: objects that a restored platform has
  // in older versions. Each transfers the whole configuration, so they must be
  // rare.
  Millis full_list_interval{600000};
  BackoffLimits backoff;
};

enum class WatchAction { kWait, kListAll, kWatch };

struct WatchState {
  // Whether this instance is one of its data centre's watchers.
  bool watching = false;
  // A full list was requested, also if this instance does not watch: it has no
  // configuration and no peer to get it from.
  bool full_list_requested = false;
  Millis next_full_list;
  Millis not_before;
  int failures = 0;
  // All changes up to here were passed on; watches start after it.
  Revision seen;
  // Whether the platform has ever replied. An instance without configuration
  // lists first, because a watch would only be answered at the next change.
  bool answered = false;
};

// Starts or stops watching. The first full list is due after a random part of
// the interval, so that instances started together do not list together.
void SetWatching(WatchState* state, bool watching, const WatchOptions& options,
                 Millis now, Random* random);

WatchAction NextAction(const WatchState& state, Millis now);

// When to call NextAction again if nothing else happens: at the latest after 1
// s.
Millis NextCheckTime(const WatchState& state, Millis now);

// Records a reply up to `complete_to` to a call made when the highest known
// revision was `known`. A `complete_to` below `known` means that the platform
// was restored; it causes a backoff like a failure, because the platform would
// answer each further watch at once.
void AfterAnswer(WatchState* state, WatchAction asked, Revision known,
                 Revision complete_to, const WatchOptions& options, Millis now,
                 Random* random);

void AfterFailure(WatchState* state, const WatchOptions& options, Millis now,
                  Random* random);

}  // namespace hibiscuspick::platform
