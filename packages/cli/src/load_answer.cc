#include "hibiscuspick/cli/load_answer.h"

#include <cstdio>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::cli {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusPartial = 206;

uint64_t NumberAt(const Json& object, const char* key) {
  const auto it = object.find(key);
  const bool is_number = it != object.end() && it->is_number_unsigned();
  return is_number ? it->get<uint64_t>() : 0;
}

// The member of an object, null if there is none.
const Json& MemberOf(const Json& object, const char* key) {
  static const Json none;
  if (!object.is_object()) return none;
  const auto it = object.find(key);
  return it == object.end() ? none : *it;
}

// Whether all hits are of the query and of the answer's one version, no shard
// is both missing and in the hits, and the counts agree.
bool IsSound(const Json& body, const std::string& mark) {
  const Json& coverage = MemberOf(body, "coverage");
  const Json& missing = MemberOf(coverage, "missing");
  const uint64_t total = NumberAt(coverage, "shards_total");
  const uint64_t answered = NumberAt(coverage, "shards_answered");
  if (answered + missing.size() != total) return false;
  const Json& version = MemberOf(MemberOf(body, "snapshot"), "version");
  for (const Json& it : MemberOf(body, "hits")) {
    const Json& fields = MemberOf(it, "fields");
    if (MemberOf(fields, "query") != mark) return false;
    if (MemberOf(fields, "version") != version) return false;
    for (const Json& absent : missing) {
      if (MemberOf(absent, "shard") == MemberOf(it, "shard")) return false;
    }
  }
  return true;
}

void ReadBody(const Json& body, LoadAnswer* answer) {
  const Json& coverage = MemberOf(body, "coverage");
  answer->shards = NumberAt(coverage, "shards_total");
  answer->attempts = NumberAt(body, "attempts");
  const auto total = static_cast<double>(NumberAt(coverage, "documents_total"));
  const auto covered =
      static_cast<double>(NumberAt(coverage, "documents_covered"));
  // A manifest without documents is covered by any answer.
  answer->coverage = total > 0 ? covered / total : 1;
}

}  // namespace

LoadAnswer ReadAnswer(const Result<http::Reply>& reply,
                      const std::string& mark) {
  LoadAnswer answer;
  if (!IsOk(reply)) {
    answer.code = ErrorOf(reply).code;
    return answer;
  }
  const int status = ValueOf(reply).status;
  const auto parsed = ParseJson(ValueOf(reply).body);
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) {
    answer.code = Code::kBadReply;
    return answer;
  }
  const Json& body = ValueOf(parsed);
  if (status != kStatusOk && status != kStatusPartial) {
    answer.kind = AnswerKind::kRefused;
    answer.code = static_cast<Code>(NumberAt(MemberOf(body, "error"), "code"));
    return answer;
  }
  answer.kind = status == kStatusOk ? AnswerKind::kWhole : AnswerKind::kPartial;
  ReadBody(body, &answer);
  answer.wrong = !mark.empty() && !IsSound(body, mark);
  return answer;
}

std::string QueryMark(const Json& query) {
  char buf[32];
  std::snprintf(
      buf, sizeof(buf), "%016llx",
      static_cast<unsigned long long>(Hash(DumpJson(query))));  // NOLINT
  return buf;
}

}  // namespace hibiscuspick::cli
