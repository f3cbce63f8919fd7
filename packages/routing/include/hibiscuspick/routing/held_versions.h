// Which index versions backend servers are known not to hold, learnt from
// their 409 answers, and the choice of the manifest to pin.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/routing/plan.h"

namespace hibiscuspick::routing {

// A shard's servers answered that they hold only these versions.
struct HeldReport {
  std::vector<IndexVersion> held;
  Millis seen;
};

// Holds only shards that refused a version lately: in quiet times it is empty.
struct HeldVersions {
  std::unordered_map<ShardId, HeldReport> reports;
};

// A report is forgotten after this long, since servers load new versions
// without telling.
inline constexpr Millis kHeldMemory{5000};

// Shards remembered at most; more are passed over.
inline constexpr size_t kMaxHeldReports = 10000;

// Takes in a refusal: the servers of `shard` do not hold `asked`.
void LearnRefused(HeldVersions* held, const ShardId& shard, IndexVersion asked,
                  std::vector<IndexVersion> versions, Millis now);

// Takes in a whole reply for `version`: a report that denies it is out of date.
void LearnAnswered(HeldVersions* held, const ShardId& shard,
                   IndexVersion version);

void ForgetOld(HeldVersions* held, Millis now);

// The share of the plan's documents, 0 to 1, on shards that are not known to
// have refused its version.
double PresumedShare(const Plan& plan, const HeldVersions& held, Millis now);

// The index of the plan to pin: the greatest presumed share, and of equal ones
// the newest. Plans with a version in `tried` are left out; none if no plan is
// left.
std::optional<size_t> ChoosePlan(const Plans& plans, const HeldVersions& held,
                                 const std::vector<IndexVersion>& tried,
                                 Millis now);

}  // namespace hibiscuspick::routing
