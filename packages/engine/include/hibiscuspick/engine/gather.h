// The answer to a query over many shards: when it is given, and the merge of
// its parts.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// Bytes of one record; a shorter remainder of a part is not a record.
inline constexpr size_t kRecordBytes = 16;

// Parts that make an answer: the least share, rounded up.
size_t PartsNeeded(double least_share, size_t shards);

// Parts that an instance has to bring which asks for `shards` of a query's and
// doesn't see the others. Rounded down: to groups of a few shards the least
// share would else allow no part to lack at all, and the first late one would
// draw on what is kept for queries that fail without it.
size_t PartsNeededOfSome(double least_share, size_t shards);

// How far a query is.
struct GatherProgress {
  size_t shards = 0;
  size_t needed = 0;
  // Good parts that are here.
  size_t in = 0;
  // Shards that can no longer answer.
  size_t failed = 0;
};

// Two clocks. Before `answer_at` a missing part may still make the answer
// whole; after it the caller gains more from what is here. At `end_at` the
// caller's time is up.
struct GatherClocks {
  Millis answer_at;
  Millis end_at;
};

enum class GatherStep {
  kWait,
  kAnswer,
  // The least share can't be reached any more.
  kFail,
  // The time is up with less than the least share.
  kTimeUp,
};

GatherStep NextStep(const GatherProgress& progress, const GatherClocks& clocks,
                    Millis now);

// The greatest `top` records of all bodies, greatest first, compared byte by
// byte; equal records all count.
std::string MergeTop(const std::vector<std::string_view>& bodies, size_t top);

}  // namespace hibiscuspick::engine
