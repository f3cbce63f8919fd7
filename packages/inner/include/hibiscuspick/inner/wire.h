// Conversion between plain values and the generated Thrift structs.
#pragma once

#include <cstddef>
#include <optional>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/inner/message.h"

namespace hibiscuspick::inner::wire {
class Message;
}  // namespace hibiscuspick::inner::wire

namespace hibiscuspick::inner {

// `waited` is the time that a part was queued; it reduces the part's time left.
wire::Message ToWire(const Message& message, Millis waited = Millis(0));

// Returns nullopt for a message of an unknown kind or with invalid values, such
// as a malformed address.
std::optional<Message> FromWire(const wire::Message& message);

// The encoded size of the message in bytes; encodes it.
size_t WireSize(const Message& message);

}  // namespace hibiscuspick::inner
