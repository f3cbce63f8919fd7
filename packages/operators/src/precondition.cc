#include "precondition.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscuspick::operators {
namespace {

// A version as `7` or as an HTTP entity tag, `"7"`.
std::optional<Revision> ParseVersion(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end || number == 0) return std::nullopt;
  return Revision(number);
}

Error MakeMalformedError(std::string message) {
  return {Code::kMalformedRequest, "", std::move(message)};
}

}  // namespace

Result<Precondition> ReadPrecondition(const Request& request,
                                      settings::ObjectKind kind) {
  const bool match = !request.if_match.empty();
  const bool none_match = !request.if_none_match.empty();
  if (match && none_match) {
    return MakeMalformedError(
        "send either If-Match or If-None-Match, not both");
  }
  if (none_match) {
    if (request.if_none_match == "*") return Precondition{};
    return MakeMalformedError("If-None-Match must be *");
  }
  if (match) {
    const auto version = ParseVersion(request.if_match);
    if (!version) return MakeMalformedError("If-Match must be a version");
    return Precondition{PreconditionKind::kVersion, *version};
  }
  if (kind == settings::ObjectKind::kDrain) {
    return Precondition{PreconditionKind::kAny, {}};
  }
  return MakeMalformedError(
      "a write requires If-Match with the version that it replaces, or "
      "If-None-Match: * for a new object");
}

}  // namespace hibiscuspick::operators
