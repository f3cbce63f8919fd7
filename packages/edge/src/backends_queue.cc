// Queues of parts that wait for a free slot at the servers of a service.
#include <utility>

#include "backends_impl.h"
#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {
namespace {

// Interval at which waiting parts are retried, since a server's backoff ends
// without an event.
constexpr Millis kPumpInterval{10};

}  // namespace

WaitKey Backends::Enqueue(const ServiceId& service, Waiting waiting) {
  const bool late = waiting.behind || waiting.due < loop_->now();
  const WaitKey key{policy_.mechanisms.late_behind && late, waiting.due.count,
                    waiting.priority, ++last_wait_};
  StateOf(service).waiting.emplace(key, std::move(waiting));
  PumpSoon(service);
  return key;
}

void Backends::Withdraw(const ServiceId& service, const WaitKey& key) {
  StateOf(service).waiting.erase(key);
}

void Backends::PumpSoon(const ServiceId& service) {
  auto& state = StateOf(service);
  if (state.waiting.empty() || state.pump_posted) return;
  state.pump_posted = true;
  loop_->Post([this, &state] {
    state.pump_posted = false;
    Pump(&state);
  });
}

// Moves overdue parts after those that can still be on time. They get the slots
// that are left and are answered late or refused at their deadline.
void Backends::DemoteLate(ServiceState* state) {
  if (!policy_.mechanisms.late_behind) return;
  auto& waiting = state->waiting;
  while (!waiting.empty()) {
    const auto first = waiting.begin();
    const auto [late, due, priority, number] = first->first;
    if (late || Millis(due) >= loop_->now()) return;
    auto node = waiting.extract(first);
    node.key() = {true, due, priority, number};
    node.mapped().key_changed(node.key());
    waiting.insert(std::move(node));
  }
}

void Backends::Pump(ServiceState* state) {
  DemoteLate(state);
  while (!state->waiting.empty()) {
    const auto first = state->waiting.begin();
    const WaitKey key = first->first;
    const auto start = first->second.start;
    if (!start()) break;
    state->waiting.erase(key);
  }
  if (state->waiting.empty() || state->timer != 0) return;
  state->timer = loop_->At(loop_->now() + kPumpInterval, [this, state] {
    state->timer = 0;
    Pump(state);
  });
}

}  // namespace hibiscuspick::edge
