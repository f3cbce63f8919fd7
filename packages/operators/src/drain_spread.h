// Orders to drain go to the other instances apart from being stored.
#pragma once

#include "write_reply.h"

namespace hibiscuspick::operators {

// Work has to stop going to a broken server at once, and also while the
// platform is down: a silent platform alone would hold this for ten seconds.
// To be called before the write.
void SpreadDrain(const Write& write);

// Says in the reply that an order is only spread, which instances that start
// later learn of no longer than others remember, and calls one back that isn't
// in force. To be called after the write.
void ConcludeDrain(const Write& write, Reply* reply);

}  // namespace hibiscuspick::operators
