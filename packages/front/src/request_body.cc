#include "request_body.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::front {
namespace {

constexpr std::array<std::string_view, 4> kQueryKeys = {
    "query", "limit", "deadline_ms", "min_coverage"};
constexpr std::array<std::string_view, 4> kRecordKeys = {
    "key", "shard", "record", "deadline_ms"};

Error Fault(std::string place, std::string message) {
  return {Code::kMalformedRequest, std::move(place), std::move(message)};
}

Result<Json> ReadObject(const std::string& body,
                        std::span<const std::string_view> keys) {
  Result<Json> json = ParseJson(body);
  if (!IsOk(json)) return json;
  const Json& object = ValueOf(json);
  if (!object.is_object()) return Fault("$", "must be an object");
  for (const auto& [key, value] : object.items()) {
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      return Fault("$." + key, "is not a known key");
    }
  }
  return json;
}

// A number within [least, most], or the fallback if the key is not there.
Result<double> ReadNumber(const Json& object, const char* key, double least,
                          double most, double fallback) {
  const auto it = object.find(key);
  if (it == object.end()) return fallback;
  const std::string place = std::string("$.") + key;
  if (!it->is_number()) return Fault(place, "must be a number");
  const double value = it->get<double>();
  // Written so that a value that is not a number fails too.
  const bool is_inside = value >= least && value <= most;
  if (is_inside) return value;
  return Fault(place,
               "must be between " + DumpJson(least) + " and " + DumpJson(most));
}

Result<std::string> ReadName(const Json& object, const char* key) {
  constexpr size_t kMaxName = 256;
  const std::string place = std::string("$.") + key;
  const auto it = object.find(key);
  if (it == object.end()) return Fault(place, "is missing");
  if (!it->is_string()) return Fault(place, "must be a string");
  auto text = it->get<std::string>();
  if (text.empty()) return Fault(place, "must not be empty");
  if (text.size() > kMaxName) return Fault(place, "is too long");
  return text;
}

}  // namespace

Result<routing::QueryRequest> ReadQuery(const std::string& body,
                                        const routing::RouteValues& values) {
  Result<Json> json = ReadObject(body, kQueryKeys);
  if (!IsOk(json)) return ErrorOf(json);
  const Json& object = ValueOf(json);
  const auto query = object.find("query");
  if (query == object.end()) return Fault("$.query", "is missing");
  const auto limit = ReadNumber(object, "limit", 1, values.max_limit,
                                std::min(values.limit, values.max_limit));
  if (!IsOk(limit)) return ErrorOf(limit);
  const auto it = object.find("limit");
  if (it != object.end() && !it->is_number_integer()) {
    return Fault("$.limit", "must be a whole number");
  }
  const auto deadline =
      ReadNumber(object, "deadline_ms", 1, values.max_deadline.count,
                 Min(values.deadline, values.max_deadline).count);
  if (!IsOk(deadline)) return ErrorOf(deadline);
  const auto coverage =
      ReadNumber(object, "min_coverage", 0, 1, values.min_coverage);
  if (!IsOk(coverage)) return ErrorOf(coverage);
  routing::QueryRequest request;
  request.query = DumpJson(*query);
  request.limit = static_cast<uint32_t>(ValueOf(limit));
  request.deadline = Millis(ValueOf(deadline));
  request.min_coverage = ValueOf(coverage);
  request.values = values;
  return request;
}

Result<records::RecordRequest> ReadRecord(const std::string& body) {
  constexpr double kAnyDeadline = 1e9;
  Result<Json> json = ReadObject(body, kRecordKeys);
  if (!IsOk(json)) return ErrorOf(json);
  const Json& object = ValueOf(json);
  const auto record = object.find("record");
  if (record == object.end()) return Fault("$.record", "is missing");
  const auto key = ReadName(object, "key");
  if (!IsOk(key)) return ErrorOf(key);
  const auto shard = ReadName(object, "shard");
  if (!IsOk(shard)) return ErrorOf(shard);
  const auto deadline = ReadNumber(object, "deadline_ms", 1, kAnyDeadline, 0);
  if (!IsOk(deadline)) return ErrorOf(deadline);
  records::RecordRequest request;
  request.key = ValueOf(key);
  request.shard = ShardId(ValueOf(shard));
  request.record = DumpJson(*record);
  request.deadline = Millis(ValueOf(deadline));
  return request;
}

}  // namespace hibiscuspick::front
