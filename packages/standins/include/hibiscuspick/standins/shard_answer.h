// The hits a stand-in gives for a shard: the same for the same shard, version
// and query, so that a test can tell from an answer where each hit came from.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscuspick::standins {

// Documents a stand-in says each shard holds.
inline constexpr uint64_t kDefaultDocuments = 100;

// Hits a shard has for any query.
inline constexpr uint32_t kHitsPerShard = 20;

struct ShardQuestion {
  std::string_view shard;
  uint64_t version = 0;
  uint32_t limit = kHitsPerShard;
  uint64_t documents = kDefaultDocuments;
  // Stands for the query's text; see QueryMark.
  std::string_view mark;
};

// The hash, in hexadecimal, of a query's JSON text as DumpJson writes it. Each
// hit carries it as fields.query, so that a caller can tell that the answer is
// to its own query.
std::string QueryMark(std::string_view query);

// The id of a hit: "<shard>-v<version>-<rank>".
std::string HitId(std::string_view shard, uint64_t version, uint32_t rank);

// The score, in [0, 1), falling with the rank.
double HitScore(std::string_view shard, uint64_t version, uint32_t rank);

// The reply's body.
std::string AnswerText(const ShardQuestion& question, bool complete);

}  // namespace hibiscuspick::standins
