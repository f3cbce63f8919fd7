#include "hibiscuspick/base/json.h"

#include <algorithm>
#include <string>

namespace hibiscuspick {
namespace {

constexpr std::string_view kBlanks = " \t\r\n";
constexpr std::string_view kMarks = "{}[],:";
constexpr std::string_view kUnreadableKey = "\"\\ufffd\"";

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

// The end of the text that begins with the quote at `begin`, past its closing
// quote.
size_t EndOfString(std::string_view text, size_t begin) {
  size_t i = begin + 1;
  while (i < text.size() && text[i] != '"') i += text[i] == '\\' ? 2 : 1;
  return std::min(i + 1, text.size());
}

// The end of a number or word.
size_t EndOfWord(std::string_view text, size_t begin) {
  size_t i = begin;
  while (i < text.size() && text[i] != '"' &&
         kMarks.find(text[i]) == std::string_view::npos &&
         kBlanks.find(text[i]) == std::string_view::npos) {
    ++i;
  }
  return i;
}

// The end of the container that begins with the bracket at `begin`.
size_t EndOfContainer(std::string_view text, size_t begin) {
  int depth = 0;
  size_t i = begin;
  while (i < text.size()) {
    const char c = text[i];
    if (c == '"') {
      i = EndOfString(text, i);
      continue;
    }
    ++i;
    if (c == '{' || c == '[') ++depth;
    if ((c == '}' || c == ']') && --depth == 0) break;
  }
  return i;
}

bool IsKey(std::string_view text, size_t end) {
  const size_t next = text.find_first_not_of(kBlanks, end);
  return next != std::string_view::npos && text[next] == ':';
}

bool CanBeRead(std::string_view token) {
  // Not only `accept`: a number such as 1e999 passes there.
  return IsOk(ParseJson(token));
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

std::string MendJson(std::string_view text) {
  std::string mended;
  mended.reserve(text.size());
  int depth = 0;
  size_t i = 0;
  while (i < text.size()) {
    const char c = text[i];
    if (kBlanks.find(c) != std::string_view::npos) {
      mended += c;
      ++i;
      continue;
    }
    const bool opens = c == '{' || c == '[';
    if (opens && depth >= kMaxJsonDepth / 2) {
      mended += "null";
      i = EndOfContainer(text, i);
      continue;
    }
    if (kMarks.find(c) != std::string_view::npos) {
      depth += opens ? 1 : (c == '}' || c == ']') ? -1 : 0;
      mended += c;
      ++i;
      continue;
    }
    const size_t end = c == '"' ? EndOfString(text, i) : EndOfWord(text, i);
    const std::string_view token = text.substr(i, end - i);
    mended += CanBeRead(token)               ? token
              : c == '"' && IsKey(text, end) ? kUnreadableKey
                                             : "null";
    i = end;
  }
  return mended;
}

std::string DumpJson(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace hibiscuspick
