// JSON from outside, read within bounds.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "hibiscuspick/base/result.h"

namespace hibiscuspick {

using Json = nlohmann::json;

// Depth beyond which a document is refused: writing one out again recurses,
// and a deep enough one would end the process by running out of stack.
inline constexpr int kMaxJsonDepth = 64;

enum class JsonComments { kRefused, kAllowed };

// Parses a whole document. Errors: kMalformedRequest with line and column for
// bad syntax, text that is not UTF-8, or nesting deeper than kMaxJsonDepth.
Result<Json> ParseJson(std::string_view text,
                       JsonComments comments = JsonComments::kRefused);

// The document on one line; bytes that are not UTF-8 become U+FFFD, so that
// this never fails.
std::string DumpJson(const Json& value);

}  // namespace hibiscuspick
