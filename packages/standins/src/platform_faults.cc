#include "hibiscuspick/standins/platform_faults.h"

namespace hibiscuspick::standins {
namespace {

constexpr double kMillisPerSecond = 1000;

bool Within(uint64_t count, uint64_t limit) {
  return limit == 0 || count <= limit;
}

}  // namespace

bool CountCall(CallCounts& counts, const PlatformFaults& faults,
               PlatformCall call, Millis now) {
  ++counts.by_kind[static_cast<size_t>(call)];
  const auto second = static_cast<int64_t>(now.count / kMillisPerSecond);
  if (second != counts.second) {
    counts.second = second;
    counts.reads_in_second = 0;
    counts.writes_in_second = 0;
  }
  if (call == PlatformCall::kPut) {
    return Within(++counts.writes_in_second, faults.max_writes_per_second);
  }
  return Within(++counts.reads_in_second, faults.max_reads_per_second);
}

bool TakeLostReply(PlatformFaults& faults, CallCounts& counts) {
  if (faults.lose_put_replies == 0) return false;
  --faults.lose_put_replies;
  ++counts.lost_replies;
  return true;
}

}  // namespace hibiscuspick::standins
