#include "answer_body.h"

#include <cmath>
#include <cstdint>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::front {
namespace {

// A span in whole milliseconds.
int64_t Whole(Millis it) { return std::llround(it.count); }

Json SnapshotOf(const routing::Answer& answer, const ConfigurationAge& age) {
  return Json{{"id", answer.snapshot_id},
              {"version", answer.version.value},
              {"age_ms", Whole(age.age)},
              {"platform_reachable", age.platform_reachable}};
}

Json CoverageOf(const routing::Answer& answer) {
  Json missing = Json::array();
  for (const auto& it : answer.missing) {
    missing.push_back({{"shard", it.shard.text},
                       {"code", static_cast<int>(it.code)},
                       {"name", CodeName(it.code)}});
  }
  return Json{{"shards_total", answer.shards_total},
              {"shards_answered", answer.shards_answered},
              {"documents_total", answer.documents_total},
              {"documents_covered", answer.documents_covered},
              {"missing", std::move(missing)}};
}

void AppendHit(std::string* out, const routing::AnswerHit& it) {
  *out += R"({"id":)" + DumpJson(it.hit.id);
  *out += R"(,"score":)" + DumpJson(it.hit.score);
  *out += R"(,"shard":)" + DumpJson(it.shard.text);
  *out += R"(,"fields":)";
  *out += it.hit.fields.empty() ? "{}" : it.hit.fields;
  *out += '}';
}

}  // namespace

std::string AnswerBody(const std::string& request_id,
                       const routing::Answer& answer,
                       const ConfigurationAge& age) {
  std::string out = R"({"request_id":)" + DumpJson(request_id);
  out += R"(,"snapshot":)" + DumpJson(SnapshotOf(answer, age));
  out += R"(,"coverage":)" + DumpJson(CoverageOf(answer));
  out += R"(,"hits":[)";
  bool is_first = true;
  for (const auto& it : answer.hits) {
    if (!is_first) out += ',';
    is_first = false;
    AppendHit(&out, it);
  }
  out += R"(],"attempts":)" + std::to_string(answer.attempts);
  out += R"(,"took_ms":)" + std::to_string(Whole(answer.elapsed)) + "}";
  return out;
}

std::string RecordBody(const std::string& result) {
  const std::string value = result.empty() ? "null" : result;
  return R"({"outcome":"done","result":)" + value + "}";
}

}  // namespace hibiscuspick::front
