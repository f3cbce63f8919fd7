// One log line for each decision of a group.
#pragma once

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::dispatch {

void LogDecision(const ServiceId& service, const limits::Decision& decision,
                 const BackendServerId& server);

}  // namespace hibiscuspick::dispatch
