#include "hibiscuspick/engine/sender_shares.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// Shares of all senders together, and of the standbys among them.
constexpr SenderShares kSenderTotals{0.8, 0.8};
constexpr SenderShares kStandbyTotals{0.3, 0.08};

SenderShares ShareEach(double connections, double slack, size_t members) {
  const auto count = static_cast<double>(std::max<size_t>(members, 1));
  return {connections / count, slack / count};
}

}  // namespace

SenderShares ComputeShares(const SenderCounts& counts, SenderRole role) {
  if (counts.senders == 0) return ShareEach(1, 1, counts.instances);
  if (role == SenderRole::kNotSender) {
    return ShareEach(1 - kSenderTotals.connections, 1 - kSenderTotals.slack,
                     counts.instances);
  }
  const size_t standbys = counts.senders - counts.primary_senders;
  const auto standby_totals =
      standbys > 0 ? kStandbyTotals : SenderShares{0, 0};
  if (role == SenderRole::kStandby) {
    return ShareEach(standby_totals.connections, standby_totals.slack,
                     standbys);
  }
  return ShareEach(kSenderTotals.connections - standby_totals.connections,
                   kSenderTotals.slack - standby_totals.slack,
                   counts.primary_senders);
}

}  // namespace hibiscuspick::engine
