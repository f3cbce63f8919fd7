#include "hibiscuspick/standins/shard_answer.h"

#include <algorithm>
#include <cstdio>

#include "hibiscuspick/base/hash.h"
#include "hibiscuspick/base/json.h"

namespace hibiscuspick::standins {
namespace {

// Scores are whole millionths, which are written without the cost of
// formatting fractions.
constexpr uint64_t kMillion = 1000000;

uint64_t FirstScore(std::string_view shard, uint64_t version) {
  return Hash(shard, version) % kMillion;
}

// "0." and six digits.
std::string ScoreText(uint64_t millionths) {
  const std::string digits = std::to_string(millionths);
  return "0." + std::string(6 - digits.size(), '0') + digits;
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
  const uint64_t millionths = FirstScore(shard, version) / (rank + 1);
  return static_cast<double>(millionths) / static_cast<double>(kMillion);
}

// Written by hand rather than through a JSON document: a load test asks for
// this thousands of times a second, on the machine that also runs the daemons.
std::string AnswerText(const ShardQuestion& question, bool complete) {
  std::string text = "{\"hits\":[";
  text.reserve(4096);
  const uint32_t count = std::min(question.limit, kHitsPerShard);
  const std::string shard = DumpJson(std::string(question.shard));
  const std::string name = shard.substr(1, shard.size() - 2);
  const uint64_t score = FirstScore(question.shard, question.version);
  std::string fields = ",\"fields\":{\"version\":";
  fields.append(std::to_string(question.version)).append(",\"query\":\"");
  fields.append(question.mark).append("\"}}");
  for (uint32_t i = 0; i < count; ++i) {
    text += i > 0 ? ",{\"id\":\"" : "{\"id\":\"";
    text.append(HitId(name, question.version, i)).append("\",\"score\":");
    text.append(ScoreText(score / (i + 1))).append(fields);
  }
  text += "],\"documents\":" + std::to_string(question.documents);
  text += complete ? ",\"complete\":true}" : ",\"complete\":false}";
  return text;
}

}  // namespace hibiscuspick::standins
