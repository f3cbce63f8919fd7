#include "hibiscuspick/routing/merge.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace hibiscuspick::routing {
namespace {

bool IsBefore(const AnswerHit& a, const AnswerHit& b) {
  if (a.hit.score != b.hit.score) return a.hit.score > b.hit.score;
  if (a.hit.id != b.hit.id) return a.hit.id < b.hit.id;
  return a.shard < b.shard;
}

}  // namespace

std::vector<AnswerHit> MergeHits(std::vector<AnswerHit> hits, uint32_t limit) {
  std::sort(hits.begin(), hits.end(), IsBefore);
  // Reserved in advance: the views in `seen` point into the hits, which must
  // not move.
  std::vector<AnswerHit> merged;
  merged.reserve(std::min<size_t>(limit, hits.size()));
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (auto& it : hits) {
    if (merged.size() == limit) break;
    if (seen.contains({it.shard.text, it.hit.id})) continue;
    merged.push_back(std::move(it));
    seen.insert({merged.back().shard.text, merged.back().hit.id});
  }
  return merged;
}

bool AreHitsValid(const std::vector<limits::Hit>& hits) {
  return std::all_of(hits.begin(), hits.end(), [](const limits::Hit& it) {
    return std::isfinite(it.score) && !it.id.empty();
  });
}

}  // namespace hibiscuspick::routing
