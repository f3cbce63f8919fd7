// PUT and DELETE of one object: validates the value, writes it to the platform,
// determines the outcome and informs the daemon.
#pragma once

#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::operators {

Reply HandlePut(const Ports& ports, const Request& request,
                const settings::ObjectName& name);

Reply HandleDelete(const Ports& ports, const Request& request,
                   const settings::ObjectName& name);

}  // namespace hibiscuspick::operators
