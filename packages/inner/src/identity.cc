#include "identity.h"

namespace hibiscuspick::inner {

bool KeysEqual(std::string_view a, std::string_view b) {
  unsigned differing = a.size() == b.size() ? 0 : 1;
  for (size_t i = 0; i < a.size() && !b.empty(); ++i) {
    const auto x = static_cast<unsigned char>(a[i]);
    const auto y = static_cast<unsigned char>(b[i % b.size()]);
    differing |= static_cast<unsigned>(x ^ y);
  }
  return differing == 0;
}

}  // namespace hibiscuspick::inner
