// The operators' bearer token.
#pragma once

#include <string>
#include <string_view>

namespace hibiscuspick::operators {

// Whether an Authorization header is "Bearer " and the token. Takes the same
// time wherever the first difference is, so that answers' times don't spell
// the token out letter by letter. False for an empty token.
bool IsAuthorized(std::string_view authorization, const std::string& token);

}  // namespace hibiscuspick::operators
