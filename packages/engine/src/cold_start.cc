#include "hibiscuspick/engine/cold_start.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// Instances may briefly disagree on the number of instances and on their roles.
constexpr double kKeptForChange = 0.2;

size_t MembersOf(const SharePlan& plan, SenderRole role) {
  size_t members = plan.instances;
  if (plan.senders > 0 && role == SenderRole::kFirst) {
    members = plan.first_senders;
  }
  if (plan.senders > 0 && role == SenderRole::kStandIn) {
    members = plan.senders - plan.first_senders;
  }
  return std::max<size_t>(members, 1);
}

size_t StillCounted(const SentLately& sent, Millis now) {
  return static_cast<size_t>(
      std::count_if(sent.begin(), sent.end(),
                    [&](Millis it) { return now - it < kColdWindow; }));
}

}  // namespace

int ColdAllowance(const ColdLimits& limits, const SharePlan& plan,
                  const GroupRank& own) {
  const double bound = limits.per_second * limits.overage + limits.slack;
  const size_t members = MembersOf(plan, own.role);
  const double share =
      SharesOf(plan, own.role).slack * static_cast<double>(members);
  const auto whole = static_cast<size_t>(bound * (1 - kKeptForChange) * share);
  const size_t more = own.rank < whole % members ? 1 : 0;
  return static_cast<int>(whole / members + more);
}

void AddSent(SentLately* sent, Millis now) {
  std::erase_if(*sent, [&](Millis it) { return now - it >= kColdWindow; });
  sent->push_back(now);
}

bool HasColdRoom(const SentLately& sent, int allowance, Millis now) {
  return StillCounted(sent, now) < static_cast<size_t>(std::max(allowance, 0));
}

}  // namespace hibiscuspick::engine
