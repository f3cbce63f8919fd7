// One log line for each decision of a group.
#pragma once

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::dispatch {

// A decision with the names behind its numbers, as far as it has any.
struct LoggedDecision {
  limits::Decision decision;
  BackendServerId server;
  ShardId shard;
};

// Whether its line would be written at the log's level. Asked first, so that
// no names are copied for nothing.
bool IsLogged(const limits::Decision& decision);

void LogDecision(const ServiceId& service, const LoggedDecision& logged);

}  // namespace hibiscuspick::dispatch
