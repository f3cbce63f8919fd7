// When a watching instance asks the platform for what. Pure.
#pragma once

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/platform/call_budget.h"

namespace hibiscuspick::platform {

struct WatchOptions {
  // How long one watch waits for a change.
  Millis wait{10000};
  // Between whole listings, give or take a quarter. They find what watching
  // from a watermark can't: objects that a restored platform has older. A
  // listing is the whole configuration, so it must stay rare.
  Millis whole_interval{600000};
  BackoffLimits backoff;
};

enum class WatchAction { kRest, kListWhole, kWatch };

struct WatchState {
  // Whether this instance is one of those that watch.
  bool watching = false;
  // Someone asked for a whole listing, watching or not: an instance that knows
  // nothing and has no peer to ask.
  bool whole_wanted = false;
  Millis next_whole;
  Millis not_before;
  int failures = 0;
  // Everything up to here was handed on: watches ask after it.
  Revision seen;
  // Whether the platform has answered yet. An instance that knows nothing
  // lists first: a watch would only answer at the next change.
  bool answered = false;
};

// Starts or stops watching. The first whole listing comes after a random part
// of the interval, so that instances started together don't list together.
void SetWatching(WatchState* state, bool watching, const WatchOptions& options,
                 Millis now, Random* random);

WatchAction NextAction(const WatchState& state, Millis now);

// When NextAction may change by time alone, at the latest `now` + 1 s.
Millis NextLook(const WatchState& state, Millis now);

// After an answer up to `complete_to` to a question asked when `known` was the
// highest revision known of. One below `known` (a restored platform) rests like
// a failure, since the platform would answer the next question at once, again
// and again.
void AfterAnswer(WatchState* state, WatchAction asked, Revision known,
                 Revision complete_to, const WatchOptions& options, Millis now,
                 Random* random);

void AfterFailure(WatchState* state, const WatchOptions& options, Millis now,
                  Random* random);

}  // namespace hibiscuspick::platform
