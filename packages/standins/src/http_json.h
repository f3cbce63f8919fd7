// Small helpers of the stand-ins' HTTP handlers.
#pragma once

#include <httplib.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::standins {

inline constexpr char kJsonType[] = "application/json";

inline void Answer(httplib::Response& response, int status, std::string text) {
  response.status = status;
  response.set_content(std::move(text), kJsonType);
}

inline void Answer(httplib::Response& response, int status, const Json& body) {
  Answer(response, status, DumpJson(body));
}

inline void AnswerError(httplib::Response& response, int status,
                        const std::string& message) {
  Answer(response, status, Json{{"error", message}});
}

// A whole number without sign, or nothing.
inline std::optional<uint64_t> ParseNumber(const std::string& text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return value;
}

// A number from the query string, `otherwise` if it is absent; nothing if it
// is not a number.
inline std::optional<uint64_t> NumberParam(const httplib::Request& request,
                                           const char* name,
                                           uint64_t otherwise) {
  if (!request.has_param(name)) return otherwise;
  return ParseNumber(request.get_param_value(name));
}

}  // namespace hibiscuspick::standins
