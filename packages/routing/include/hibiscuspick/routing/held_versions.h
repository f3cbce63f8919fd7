// Cache of the index versions that backend servers do not hold, learnt from
// their 409 replies, and the choice of the manifest to pin.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/routing/plan.h"

namespace hibiscuspick::routing {

// The only versions that a shard's servers reported to hold.
struct HeldReport {
  std::vector<IndexVersion> held;
  Millis received_at;
};

// Reports by shard. Only shards that recently refused a version have one.
struct HeldVersions {
  std::unordered_map<ShardId, HeldReport> reports;
};

// Lifetime of a report. Servers load new versions without notifying this
// instance.
inline constexpr Millis kHeldReportLifetime{5000};

// Maximum reports; further ones are ignored.
inline constexpr size_t kMaxHeldReports = 10000;

// Records a refusal: the servers of `shard` do not hold version `asked` but
// hold `versions`.
void RecordRefusal(HeldVersions* held, const ShardId& shard, IndexVersion asked,
                   std::vector<IndexVersion> versions, Millis now);

// Records a complete reply for `version`, which invalidates a report without
// that version.
void RecordAnswer(HeldVersions* held, const ShardId& shard,
                  IndexVersion version);

void RemoveExpired(HeldVersions* held, Millis now);

// The share of the plan's documents, 0 to 1, on shards without a report that
// refuses its version.
double ExpectedCoverage(const Plan& plan, const HeldVersions& held, Millis now);

// Returns the index of the plan to pin: the one with the greatest expected
// coverage, the newest of equal ones. Skips plans without shards and plans of a
// version in `tried`; nullopt if none is left.
std::optional<size_t> ChoosePlan(const Plans& plans, const HeldVersions& held,
                                 const std::vector<IndexVersion>& tried,
                                 Millis now);

}  // namespace hibiscuspick::routing
