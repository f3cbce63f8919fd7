// Damaged copies of good input, the same for the same seed, for tests of
// everything that reads what others send.
#pragma once

#include <algorithm>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "hibiscuspick/base/random.h"

namespace hibiscuspick::testing {

// Changes made to one copy: at least one, at most so many.
inline constexpr size_t kMostChanges = 4;

// One change: a flipped bit, a cut, a piece repeated, a token put over a
// piece, or a token put in. Tokens are what the reader gives a meaning to, so
// that some copies stay well formed and get past the first check.
inline std::string ChangeOnce(std::string text,
                              std::span<const std::string_view> tokens,
                              Random* random) {
  constexpr size_t kLongestPiece = 24;
  constexpr unsigned kBits = 8;
  if (text.empty()) return std::string(tokens[random->Below(tokens.size())]);
  const size_t at = random->Below(text.size());
  const size_t length =
      std::min(1 + random->Below(kLongestPiece), text.size() - at);
  const std::string_view token = tokens[random->Below(tokens.size())];
  enum { kFlip, kTruncate, kErase, kDuplicate, kReplace, kInsert, kKinds };
  switch (random->Below(kKinds)) {
    case kFlip:
      text[at] = static_cast<char>(text[at] ^ (1U << random->Below(kBits)));
      break;
    case kTruncate:
      text.resize(at);
      break;
    case kErase:
      text.erase(at, length);
      break;
    case kDuplicate:
      text.insert(at, text.substr(at, length));
      break;
    case kReplace:
      text.replace(at, std::min(length, token.size()), token);
      break;
    default:
      text.insert(at, token);
  }
  return text;
}

inline std::string Mutate(std::string text,
                          std::span<const std::string_view> tokens,
                          Random* random) {
  const size_t changes = 1 + random->Below(kMostChanges);
  for (size_t i = 0; i < changes; ++i) {
    text = ChangeOnce(std::move(text), tokens, random);
  }
  return text;
}

}  // namespace hibiscuspick::testing
