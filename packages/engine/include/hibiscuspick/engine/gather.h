// Decides when a query over many shards is answered, and merges its parts.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Size of a record. A shorter remainder of a part is ignored.
inline constexpr size_t kRecordBytes = 16;

// The number of parts that an answer needs: the minimum coverage, rounded up.
size_t PartsNeeded(double min_coverage, size_t shards);

// The number of parts that an instance must deliver if it is asked for `shards`
// shards of a query and doesn't see the others. Rounded down: for a group of a
// few shards the minimum coverage would otherwise allow no missing part, and
// the first late one would use the budget that is reserved for queries that
// fail without it.
size_t PartsNeededOfSubset(double min_coverage, size_t shards);

// The progress of a query.
struct GatherProgress {
  size_t shards = 0;
  size_t needed = 0;
  // Valid parts that have arrived.
  size_t received = 0;
  // Shards that can no longer answer.
  size_t failed = 0;
};

// Until `answer_at` the query waits for missing parts; from then on it is
// answered as soon as it has the minimum coverage. At `deadline` the caller
// stops waiting.
struct GatherDeadlines {
  Millis answer_at;
  Millis deadline;
};

enum class GatherStep {
  kWait,
  kAnswer,
  // The minimum coverage can't be reached any more.
  kFail,
  // The deadline has passed below the minimum coverage.
  kTimedOut,
};

GatherStep NextStep(const GatherProgress& progress,
                    const GatherDeadlines& deadlines, Millis now);

// Whether a query that fails is answered only once the checks of its servers
// have ended: from the deadline on it is answered without them.
bool AwaitsChecks(bool checks_pending, const GatherDeadlines& deadlines,
                  Millis now);

// Merges the `top` greatest records of all bodies, greatest first, compared
// bytewise as unsigned. Equal records are all kept.
std::string MergeTop(const std::vector<std::string_view>& bodies, size_t top);

}  // namespace hibiscuspick::engine
