#include "hibiscuspick/engine/cold_start.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// Instances may briefly disagree on the number of instances and on their roles.
constexpr double kMembershipReserve = 0.2;

size_t MemberCount(const SenderCounts& counts, SenderRole role) {
  size_t members = counts.instances;
  if (counts.senders > 0 && role == SenderRole::kPrimary) {
    members = counts.primary_senders;
  }
  if (counts.senders > 0 && role == SenderRole::kStandby) {
    members = counts.senders - counts.primary_senders;
  }
  return std::max<size_t>(members, 1);
}

size_t CountInWindow(const RecentSends& sent, Millis now) {
  return static_cast<size_t>(
      std::count_if(sent.begin(), sent.end(),
                    [&](Millis it) { return now - it < kColdWindow; }));
}

}  // namespace

int ColdAllowance(const ColdLimits& limits, const SenderCounts& counts,
                  const SenderRank& own) {
  const double bound = limits.per_second * limits.overage + limits.slack;
  const size_t members = MemberCount(counts, own.role);
  const double share =
      ComputeShares(counts, own.role).slack * static_cast<double>(members);
  const auto total =
      static_cast<size_t>(bound * (1 - kMembershipReserve) * share);
  const size_t remainder = own.rank < total % members ? 1 : 0;
  return static_cast<int>(total / members + remainder);
}

void AddRecentSend(RecentSends* sent, Millis now) {
  std::erase_if(*sent, [&](Millis it) { return now - it >= kColdWindow; });
  sent->push_back(now);
}

bool HasColdAllowance(const RecentSends& sent, int allowance, Millis now) {
  return CountInWindow(sent, now) < static_cast<size_t>(std::max(allowance, 0));
}

}  // namespace hibiscuspick::engine
