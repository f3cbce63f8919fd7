// The one hash for placement, digests and body comparison: xxhash's 64 bits.
// The same on every machine, so that instances agree without talking.
#pragma once

#include <cstdint>
#include <string_view>

namespace hibiscuspick {

// The hash of the bytes, started from `seed`; chain calls to hash a sequence.
uint64_t Hash(std::string_view bytes, uint64_t seed = 0);

}  // namespace hibiscuspick
