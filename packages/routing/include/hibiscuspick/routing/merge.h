// The merge of shards' hits into one list.
#pragma once

#include <cstdint>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/limits/shard_work.h"

namespace hibiscuspick::routing {

struct AnswerHit {
  limits::Hit hit;
  ShardId shard;
};

// Highest score first, ties by id, cut to `limit`. A shard's id comes once,
// with its best score. The same id in two shards is two documents: index
// families number theirs apart from each other, and dropping one would lose a
// hit.
std::vector<AnswerHit> MergeHits(std::vector<AnswerHit> hits, uint32_t limit);

// Whether a shard's hits can be merged: scores are numbers, ids not empty. A
// score that is not a number has no place in any order and would make the
// sort's result, and so the answer, depend on chance.
bool AreHitsSound(const std::vector<limits::Hit>& hits);

}  // namespace hibiscuspick::routing
