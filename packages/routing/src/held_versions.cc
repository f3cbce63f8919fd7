#include "hibiscuspick/routing/held_versions.h"

#include <algorithm>
#include <utility>

namespace hibiscuspick::routing {
namespace {

bool Contains(const std::vector<IndexVersion>& list, IndexVersion version) {
  return std::find(list.begin(), list.end(), version) != list.end();
}

bool IsRefused(const HeldVersions& held, const ShardId& shard,
               IndexVersion version, Millis now) {
  const auto it = held.reports.find(shard);
  if (it == held.reports.end()) return false;
  if (now - it->second.received_at > kHeldReportLifetime) return false;
  return !Contains(it->second.held, version);
}

}  // namespace

void RecordRefusal(HeldVersions* held, const ShardId& shard, IndexVersion asked,
                   std::vector<IndexVersion> versions, Millis now) {
  if (held->reports.size() >= kMaxHeldReports &&
      !held->reports.contains(shard)) {
    return;
  }
  std::erase(versions, asked);
  held->reports[shard] = HeldReport{std::move(versions), now};
}

void RecordAnswer(HeldVersions* held, const ShardId& shard,
                  IndexVersion version) {
  const auto it = held->reports.find(shard);
  if (it == held->reports.end()) return;
  if (!Contains(it->second.held, version)) held->reports.erase(it);
}

void RemoveExpired(HeldVersions* held, Millis now) {
  std::erase_if(held->reports, [now](const auto& it) {
    return now - it.second.received_at > kHeldReportLifetime;
  });
}

double ExpectedCoverage(const Plan& plan, const HeldVersions& held,
                        Millis now) {
  if (plan.shards.empty()) return 0;
  uint64_t refused_documents = 0;
  size_t refused_shards = 0;
  for (const auto& it : plan.shards) {
    if (!IsRefused(held, it.work.shard, plan.version, now)) continue;
    refused_documents += it.documents;
    ++refused_shards;
  }
  if (refused_shards == 0) return 1;
  if (plan.documents_total == 0) {
    return 1 - static_cast<double>(refused_shards) /
                   static_cast<double>(plan.shards.size());
  }
  return 1 - static_cast<double>(refused_documents) /
                 static_cast<double>(plan.documents_total);
}

std::optional<size_t> ChoosePlan(const Plans& plans, const HeldVersions& held,
                                 const std::vector<IndexVersion>& tried,
                                 Millis now) {
  std::optional<size_t> best;
  double best_share = -1;
  for (size_t i = 0; i < plans.size(); ++i) {
    if (plans[i]->shards.empty() || Contains(tried, plans[i]->version)) {
      continue;
    }
    const double share = ExpectedCoverage(*plans[i], held, now);
    if (share <= best_share) continue;
    best = i;
    best_share = share;
  }
  return best;
}

}  // namespace hibiscuspick::routing
