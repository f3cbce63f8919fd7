// Between plain values and the generated Thrift structs.
#pragma once

#include <cstddef>
#include <optional>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/inner/message.h"

namespace hibiscuspick::inner::wire {
class Message;
}  // namespace hibiscuspick::inner::wire

namespace hibiscuspick::inner {

// `waited` is how long a part lay in the queue: it is taken off its time left.
wire::Message ToWire(const Message& message, Millis waited = Millis(0));

// Nothing for a message of a kind that this version does not know, or whose
// values make no sense (an address that is none).
std::optional<Message> FromWire(const wire::Message& message);

// Bytes of the message in a frame, by encoding it.
size_t WireSize(const Message& message);

}  // namespace hibiscuspick::inner
