// PUT and DELETE of one object: check, write at the platform, settle what
// became of it, tell the daemon.
#pragma once

#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::operators {

Reply HandlePut(const Ports& ports, const Request& request,
                const settings::ObjectName& name);

Reply HandleDelete(const Ports& ports, const Request& request,
                   const settings::ObjectName& name);

}  // namespace hibiscuspick::operators
