// How large a message is, without encoding it.
#pragma once

#include <cstddef>

#include "hibiscuspick/inner/message.h"

namespace hibiscuspick::inner {

// Bytes on the wire, within a few per cent and rather more than fewer for
// messages that are large; only used to keep frames under their limit.
size_t ApproximateSize(const Message& message);

}  // namespace hibiscuspick::inner
