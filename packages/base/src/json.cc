#include "hibiscuspick/base/json.h"

#include <string>

namespace hibiscuspick {
namespace {

// The deepest nesting of brackets outside strings. Comments may hold brackets
// too and then count, which only makes the check stricter.
int DepthOf(std::string_view text) {
  int depth = 0;
  int deepest = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '{' || c == '[') deepest = std::max(deepest, ++depth);
    if (c == '}' || c == ']') --depth;
  }
  return deepest;
}

// The library's sentence without its "[json.exception…]" prefix.
std::string ReasonOf(const Json::exception& error) {
  const std::string whole = error.what();
  const auto it = whole.find("] ");
  return it == std::string::npos ? whole : whole.substr(it + 2);
}

}  // namespace

Result<Json> ParseJson(std::string_view text, JsonComments comments) {
  if (DepthOf(text) > kMaxJsonDepth) {
    return Error{Code::kMalformedRequest, "$",
                 "nested deeper than " + std::to_string(kMaxJsonDepth)};
  }
  const bool ignore_comments = comments == JsonComments::kAllowed;
  // The library reports the place of a fault only by throwing; good input, the
  // traffic's case, never does.
  try {
    return Json::parse(text, nullptr, true, ignore_comments);
  } catch (const Json::exception& error) {
    // Not only parse_error: a number such as 1e999 is another kind, which would
    // end the process from a thread that doesn't expect it.
    return Error{Code::kMalformedRequest, "$", ReasonOf(error)};
  }
}

std::string DumpJson(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace hibiscuspick
