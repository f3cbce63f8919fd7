#include "hibiscuspick/standins/shard_answer.h"

#include <algorithm>
#include <cstdio>

#include "hibiscuspick/base/hash.h"
#include "hibiscuspick/base/json.h"

namespace hibiscuspick::standins {
namespace {

std::string FormatScore(double score) {
  char buf[32];
  const int n = std::snprintf(buf, sizeof(buf), "%.6f", score);
  return std::string(buf, static_cast<size_t>(n));
}

}  // namespace

std::string QueryMark(std::string_view query) {
  char buf[32];
  const int n =
      std::snprintf(buf, sizeof(buf), "%016llx",
                    static_cast<unsigned long long>(Hash(query)));  // NOLINT
  return std::string(buf, static_cast<size_t>(n));
}

std::string HitId(std::string_view shard, uint64_t version, uint32_t rank) {
  return std::string(shard) + "-v" + std::to_string(version) + "-" +
         std::to_string(rank);
}

double HitScore(std::string_view shard, uint64_t version, uint32_t rank) {
  constexpr uint64_t kSteps = 1000000;
  const uint64_t n = Hash(shard, version) % kSteps;
  return static_cast<double>(n) / static_cast<double>(kSteps) / (rank + 1);
}

// Written by hand rather than through a JSON document: a load test asks for
// this thousands of times a second, on the machine that also runs the daemons.
std::string AnswerText(const ShardQuestion& question, bool complete) {
  std::string text = "{\"hits\":[";
  text.reserve(4096);
  const uint32_t count = std::min(question.limit, kHitsPerShard);
  const std::string shard = DumpJson(std::string(question.shard));
  const std::string name = shard.substr(1, shard.size() - 2);
  const std::string version = std::to_string(question.version);
  for (uint32_t i = 0; i < count; ++i) {
    if (i > 0) text += ',';
    text += "{\"id\":\"" + HitId(name, question.version, i);
    text += "\",\"score\":" +
            FormatScore(HitScore(question.shard, question.version, i));
    text += ",\"fields\":{\"version\":" + version;
    text += ",\"query\":\"";
    text += question.mark;
    text += "\"}}";
  }
  text += "],\"documents\":" + std::to_string(question.documents);
  text += complete ? ",\"complete\":true}" : ",\"complete\":false}";
  return text;
}

}  // namespace hibiscuspick::standins
