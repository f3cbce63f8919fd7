#include "hibiscuspick/standins/reply_fault.h"

namespace hibiscuspick::standins {

std::optional<FaultKind> ParseFaultKind(std::string_view name) {
  for (size_t i = 0; i < kFaultNames.size(); ++i) {
    if (kFaultNames[i] == name) return static_cast<FaultKind>(i);
  }
  return std::nullopt;
}

std::string_view FaultName(FaultKind kind) {
  return kFaultNames[static_cast<size_t>(kind)];
}

std::optional<ReplyFault> TakeFault(std::vector<ReplyFault>& faults,
                                    std::string_view shard, Random& random) {
  for (ReplyFault& it : faults) {
    if (it.left == 0) continue;
    if (!it.shard.empty() && it.shard != shard) continue;
    if (random.Fraction() >= it.probability) continue;
    if (it.left != UINT64_MAX) --it.left;
    return it;
  }
  return std::nullopt;
}

}  // namespace hibiscuspick::standins
