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

// The text with every value that can't be read put aside: a text that isn't
// UTF-8 or has a bad escape, a number that is none or too large, a word that
// JSON doesn't know, a container nested deeper than half of kMaxJsonDepth each
// become null, and a key that can't be read becomes U+FFFD. Brackets, commas
// and quotes must be in order; where they aren't the result can't be read
// either.
//
// For pages of which others wrote single items: one of them with a bad byte
// would else make all the others unreadable. Costs as much as parsing twice, so
// callers parse first and mend only what fails.
std::string MendJson(std::string_view text);

// The document on one line; bytes that are not UTF-8 become U+FFFD, so that
// this never fails.
std::string DumpJson(const Json& value);

}  // namespace hibiscuspick
