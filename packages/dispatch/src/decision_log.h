// Logs the decisions of a group, one line each.
#pragma once

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::dispatch {

// A decision with the names of its server and shard, if it has them.
struct LoggedDecision {
  limits::Decision decision;
  BackendServerId server;
  ShardId shard;
};

// Whether the decision would be logged at the current level. Checked first to
// avoid copying names for nothing.
bool IsLogged(const limits::Decision& decision);

void LogDecision(const ServiceId& service, const LoggedDecision& logged);

}  // namespace hibiscuspick::dispatch
