// Verification of the operators' bearer token.
#pragma once

#include <string>
#include <string_view>

namespace hibiscuspick::operators {

// Whether an Authorization header is "Bearer " followed by the token. The
// comparison takes constant time, so that response times don't reveal a correct
// prefix of the token. False for an empty token.
bool IsAuthorized(std::string_view authorization, const std::string& token);

}  // namespace hibiscuspick::operators
