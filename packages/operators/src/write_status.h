// Lookup of the outcome of an earlier write.
#pragma once

#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::operators {

// GET /v1/writes/{kind}/{name}?write_id=…&expected=…: the outcome of a write
// that got a 504. `expected` is the version in its condition, or "none".
Reply HandleWriteStatus(const Ports& ports, const Request& request,
                        const settings::ObjectName& name);

}  // namespace hibiscuspick::operators
