#include "http_text.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::front {
namespace {

constexpr size_t kMaxRequestId = 128;
constexpr size_t kMaxCustomer = 64;

bool IsPlain(char c) { return c > ' ' && c <= '~'; }

std::string NewRequestId() {
  static const auto start = static_cast<uint64_t>(WallNow().count);
  static std::atomic<uint64_t> count{0};
  return "hp-" + std::to_string(start) + "-" + std::to_string(++count);
}

}  // namespace

int StatusOf(Code code, Ran ran) {
  switch (code) {
    case Code::kOk:
      return 200;
    case Code::kMalformedRequest:
      return 400;
    case Code::kUnauthorized:
      return 401;
    case Code::kUnknownRoute:
    case Code::kUnknownService:
    case Code::kNotFound:
      return 404;
    case Code::kKeyInUse:
    case Code::kKeyTooOld:
      return 409;
    case Code::kRequestTooLarge:
      return 413;
    case Code::kCustomerLimit:
      return 429;
    case Code::kRecordFailed:
      return 502;
    default:
      return ran == Ran::kNo ? 503 : 504;
  }
}

std::string RefusalBody(const Refusal& refusal) {
  Json error;
  error["code"] = static_cast<int>(refusal.code);
  error["name"] = CodeName(refusal.code);
  error["ran"] = RanName(refusal.ran);
  error["message"] = refusal.message.empty()
                         ? std::string(CodeMeaning(refusal.code))
                         : refusal.message;
  return DumpJson(Json{{"error", error}});
}

void WriteRefusal(const Refusal& refusal, httplib::Response* response) {
  response->status = StatusOf(refusal.code, refusal.ran);
  response->set_content(RefusalBody(refusal), kJsonType);
  if (refusal.retry_after > Millis(0)) {
    const double seconds = std::ceil(refusal.retry_after.count / 1000);
    response->set_header("Retry-After",
                         std::to_string(static_cast<int64_t>(seconds)));
  }
}

std::string RequestIdOf(const httplib::Request& request) {
  std::string id = request.get_header_value("X-Request-Id");
  if (id.empty()) return NewRequestId();
  if (id.size() > kMaxRequestId) id.resize(kMaxRequestId);
  std::replace_if(
      id.begin(), id.end(), [](char c) { return !IsPlain(c); }, '_');
  return id;
}

Result<CustomerId> CustomerOf(const httplib::Request& request) {
  std::string name = request.get_header_value("X-Customer");
  if (name.size() > kMaxCustomer ||
      !std::all_of(name.begin(), name.end(), IsPlain)) {
    return Error{Code::kMalformedRequest, "X-Customer",
                 "at most 64 printable characters without spaces"};
  }
  return CustomerId(std::move(name));
}

}  // namespace hibiscuspick::front
