#include "hibiscuspick/base/hash.h"

#include <xxhash.h>

namespace hibiscuspick {

uint64_t Hash(std::string_view bytes, uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace hibiscuspick
