// What an answer tells the caller: whether its request has run, and when to
// retry.
#pragma once

#include <string>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Whether callers and peers take an answer of this status as a guarantee that
// the request has not run and never will. Such a status is given to nothing
// that may have run, also if a server replied with it.
bool PromisesNotRun(int status);

// Retry-After of an instance without a configuration that has listened for this
// long. A start that has taken some time is expected to take as long again: the
// other instances may have started at the same time, after a power loss, and
// could not serve a retry after 50 ms either.
Millis RetryAfterNotReady(Millis listening_for);

// Formats a Retry-After.
std::string InSeconds(Millis it);

}  // namespace hibiscuspick::engine
