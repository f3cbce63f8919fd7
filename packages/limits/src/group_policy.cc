#include "hibiscuspick/limits/group_policy.h"

namespace hibiscuspick::limits {

namespace {

constexpr size_t kBaselineQueueLimit = 8192;

}  // namespace

GroupPolicy DirectBaseline() {
  GroupPolicy policy;
  policy.slots_enabled = false;
  policy.lanes_enabled = false;
  policy.two_choices = false;
  policy.admission_control_enabled = false;
  policy.hedge.enabled = false;
  for (auto& it : policy.lanes) it.queue_limit = kBaselineQueueLimit;
  policy.connections.owner = false;
  policy.slow_start = Millis(0);
  return policy;
}

}  // namespace hibiscuspick::limits
