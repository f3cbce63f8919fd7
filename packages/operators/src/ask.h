// Asking again what became of a write.
#pragma once

#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::operators {

// GET /v1/writes/{kind}/{name}?write_id=…&expected=…: what became of a write
// whose answer was 504. `expected` is the version it named, or "none".
Reply HandleAsk(const Ports& ports, const Request& request,
                const settings::ObjectName& name);

}  // namespace hibiscuspick::operators
