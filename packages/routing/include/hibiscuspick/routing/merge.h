// Merges the hits of all shards into one ranked list.
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

// Sorts by descending score, then id, and truncates to `limit`. A repeated id
// within a shard is returned once, with its best score. The same id in two
// shards is two documents, since each index family numbers its own.
std::vector<AnswerHit> MergeHits(std::vector<AnswerHit> hits, uint32_t limit);

// Whether a shard's hits can be merged: all scores are finite and all ids
// non-empty. NaN scores have no order, so that the result of sorting them would
// be undefined.
bool AreHitsValid(const std::vector<limits::Hit>& hits);

}  // namespace hibiscuspick::routing
