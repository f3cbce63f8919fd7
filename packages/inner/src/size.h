// Estimates the size of a message without encoding it.
#pragma once

#include <cstddef>

#include "hibiscuspick/inner/message.h"

namespace hibiscuspick::inner {

// The approximate size in bytes on the wire: within a few per cent, and for
// large messages an overestimate. Used only to keep frames under their limit.
size_t ApproximateSize(const Message& message);

}  // namespace hibiscuspick::inner
