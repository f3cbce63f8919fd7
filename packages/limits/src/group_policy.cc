#include "hibiscuspick/limits/group_policy.h"

namespace hibiscuspick::limits {

namespace {

constexpr size_t kBaselineQueue = 8192;

}  // namespace

GroupPolicy DirectBaseline() {
  GroupPolicy policy;
  policy.slots_enabled = false;
  policy.lanes_enabled = false;
  policy.choice_enabled = false;
  policy.refusal_enabled = false;
  policy.hedge.enabled = false;
  for (auto& it : policy.lanes) it.queue_limit = kBaselineQueue;
  policy.connections.owner = false;
  policy.slow_start = Millis(0);
  return policy;
}

}  // namespace hibiscuspick::limits
