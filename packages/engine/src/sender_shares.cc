#include "hibiscuspick/engine/sender_shares.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// Shares of all senders together, and of the standbys among them.
constexpr SenderShares kSenders{0.8, 0.8};
constexpr SenderShares kStandIns{0.3, 0.08};

SenderShares Each(double connections, double slack, size_t n) {
  const auto count = static_cast<double>(std::max<size_t>(n, 1));
  return {connections / count, slack / count};
}

}  // namespace

SenderShares SharesOf(const SharePlan& plan, SenderRole role) {
  if (plan.senders == 0) return Each(1, 1, plan.instances);
  if (role == SenderRole::kNone) {
    return Each(1 - kSenders.connections, 1 - kSenders.slack, plan.instances);
  }
  const size_t stand_ins = plan.senders - plan.first_senders;
  const auto left = stand_ins > 0 ? kStandIns : SenderShares{0, 0};
  if (role == SenderRole::kStandIn) {
    return Each(left.connections, left.slack, stand_ins);
  }
  return Each(kSenders.connections - left.connections,
              kSenders.slack - left.slack, plan.first_senders);
}

}  // namespace hibiscuspick::engine
