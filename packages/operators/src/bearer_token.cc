#include "hibiscuspick/operators/bearer_token.h"

#include <cstddef>

namespace hibiscuspick::operators {
namespace {

// Always reads all of `given`, so that the time depends only on its length.
bool EqualInConstantTime(std::string_view given, const std::string& expected) {
  size_t difference = given.size() ^ expected.size();
  for (size_t i = 0; i < given.size(); ++i) {
    const char other = expected[i % expected.size()];
    difference |= static_cast<size_t>(given[i] ^ other);
  }
  return difference == 0;
}

}  // namespace

bool IsAuthorized(std::string_view authorization, const std::string& token) {
  constexpr std::string_view kScheme = "Bearer ";
  if (token.empty() || !authorization.starts_with(kScheme)) return false;
  return EqualInConstantTime(authorization.substr(kScheme.size()), token);
}

}  // namespace hibiscuspick::operators
