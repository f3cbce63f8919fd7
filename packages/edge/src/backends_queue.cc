// Queues of parts that wait for a free slot at the servers of a service.
#include <utility>

#include "backends_impl.h"
#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {
namespace {

// Interval at which waiting parts are retried, since a server's backoff ends
// without an event.
constexpr Millis kQueueRetryInterval{10};

}  // namespace

QueueKey Backends::Enqueue(const ServiceId& service, QueuedPart part) {
  const bool is_late = part.deprioritized || part.due < loop_->now();
  const QueueKey key{policy_.mechanisms.deprioritize_late && is_late,
                     part.due.count, part.priority, ++last_queue_number_};
  StateOf(service).queue.emplace(key, std::move(part));
  ScheduleDispatch(service);
  return key;
}

void Backends::RemoveQueued(const ServiceId& service, const QueueKey& key) {
  StateOf(service).queue.erase(key);
}

void Backends::ScheduleDispatch(const ServiceId& service) {
  auto& state = StateOf(service);
  if (state.queue.empty() || state.dispatch_posted) return;
  state.dispatch_posted = true;
  loop_->Post([this, &state] {
    state.dispatch_posted = false;
    DispatchQueue(&state);
  });
}

// Moves overdue parts after those that can still be on time. They get the slots
// that are left and are answered late or refused at their deadline.
void Backends::DeprioritizeOverdue(ServiceState* state) {
  if (!policy_.mechanisms.deprioritize_late) return;
  auto& queue = state->queue;
  while (!queue.empty()) {
    const auto first = queue.begin();
    const auto [is_late, due, priority, number] = first->first;
    if (is_late || Millis(due) >= loop_->now()) return;
    auto node = queue.extract(first);
    node.key() = {true, due, priority, number};
    node.mapped().on_key_changed(node.key());
    queue.insert(std::move(node));
  }
}

void Backends::DispatchQueue(ServiceState* state) {
  DeprioritizeOverdue(state);
  while (!state->queue.empty()) {
    const auto first = state->queue.begin();
    const QueueKey key = first->first;
    const auto start = first->second.try_start;
    if (!start()) break;
    state->queue.erase(key);
  }
  if (state->queue.empty() || state->dispatch_timer != 0) return;
  state->dispatch_timer =
      loop_->RunAt(loop_->now() + kQueueRetryInterval, [this, state] {
        state->dispatch_timer = 0;
        DispatchQueue(state);
      });
}

}  // namespace hibiscuspick::edge
