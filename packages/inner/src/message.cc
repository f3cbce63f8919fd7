#include "hibiscuspick/inner/message.h"

#include <utility>

namespace hibiscuspick::inner {

bool IsTraffic(const Message& message) {
  return std::holds_alternative<limits::PartRequest>(message) ||
         std::holds_alternative<PartOutcomes>(message) ||
         std::holds_alternative<PartCancel>(message);
}

Message ToMessage(membership::GossipMessage message) {
  return std::visit([](auto& it) { return Message(std::move(it)); }, message);
}

}  // namespace hibiscuspick::inner
