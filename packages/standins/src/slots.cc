#include "hibiscuspick/standins/slots.h"

#include <algorithm>

namespace hibiscuspick::standins {

Admission Admit(Slots& slots, Ticket ticket) {
  if (slots.queue.empty() && slots.running.size() < slots.count) {
    slots.running.insert(ticket);
    return Admission::kRunning;
  }
  if (slots.queue.size() >= slots.max_queue) return Admission::kShed;
  slots.queue.push_back(ticket);
  return Admission::kQueued;
}

std::optional<Ticket> Leave(Slots& slots, Ticket ticket) {
  if (slots.running.erase(ticket) == 0) {
    const auto it = std::find(slots.queue.begin(), slots.queue.end(), ticket);
    if (it != slots.queue.end()) slots.queue.erase(it);
    return std::nullopt;
  }
  return StartNext(slots);
}

std::optional<Ticket> StartNext(Slots& slots) {
  if (slots.queue.empty() || slots.running.size() >= slots.count) {
    return std::nullopt;
  }
  const Ticket ticket = slots.queue.front();
  slots.queue.pop_front();
  slots.running.insert(ticket);
  return ticket;
}

}  // namespace hibiscuspick::standins
