// Announces orders to drain to other instances independently of storing them.
#pragma once

#include "write_reply.h"

namespace hibiscuspick::operators {

// Announces the order before the write is stored. Work must stop going to a
// broken server at once, even while the platform is down: an unresponsive
// platform alone would delay the order by ten seconds.
void AnnounceDrain(const Write& write);

// Called after the write. If the order was only announced and not stored, says
// so in the reply: an instance that starts later learns of the order only as
// long as other instances remember it. Withdraws an announced order that is not
// in force.
void FinishDrain(const Write& write, Reply* reply);

}  // namespace hibiscuspick::operators
