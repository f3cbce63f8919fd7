#include "hibiscuspick/membership/drain_table.h"

#include <limits>
#include <tuple>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::membership {
namespace {

std::tuple<uint64_t, uint64_t, bool> RankOf(const DrainReport& report) {
  const bool any_incarnation = report.draining && report.incarnation.value == 0;
  const uint64_t incarnation = any_incarnation
                                   ? std::numeric_limits<uint64_t>::max()
                                   : report.incarnation.value;
  return {report.round, incarnation, report.draining};
}

}  // namespace

bool Replaces(const DrainReport& a, const DrainReport& b) {
  return RankOf(a) > RankOf(b);
}

bool MergeDrainReport(DrainTable* table, const DrainReport& report) {
  const auto [it, inserted] = table->try_emplace(report.server, report);
  if (inserted) return true;
  if (!Replaces(report, it->second)) return false;
  it->second = report;
  return true;
}

DrainReport MakeUndrainReport(const DrainTable& table,
                              const BackendServerId& server) {
  DrainReport report;
  report.server = server;
  const auto it = table.find(server);
  if (it == table.end()) return report;
  report.incarnation = it->second.incarnation;
  report.round = it->second.round + 1;
  return report;
}

size_t ServerBucketOf(const BackendServerId& id) {
  return static_cast<size_t>(Hash(id.text) % kServerBuckets);
}

ServerBuckets BucketsOf(const DrainTable& table) {
  ServerBuckets buckets{};
  for (const auto& [id, it] : table) {
    const uint64_t incarnation_key = it.incarnation.value * 31 + it.round;
    const uint64_t hash =
        Hash(id.text, incarnation_key * 2 + (it.draining ? 1 : 0));
    buckets[ServerBucketOf(id)] ^= static_cast<uint32_t>(hash);
  }
  return buckets;
}

}  // namespace hibiscuspick::membership
