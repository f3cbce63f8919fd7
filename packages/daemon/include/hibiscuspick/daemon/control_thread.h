// The thread that owns the control state: it passes events from all sources to
// membership::Step and performs the resulting actions.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

#include "hibiscuspick/daemon/published.h"
#include "hibiscuspick/daemon/traffic_view.h"
#include "hibiscuspick/membership/control_core.h"

namespace hibiscuspick::daemon {

// The control thread's effects on the rest of the process. Called on it.
struct ControlPorts {
  std::function<void(const membership::Peer&, membership::GossipMessage)> send;
  std::function<void(const TrafficView&)> on_view;
  std::function<void(const membership::DrainReport&)> on_drain_report;
  std::function<void(Incarnation)> adopt_incarnation;
  std::function<void(bool watching)> set_watching;
};

class ControlThread {
 public:
  ControlThread(membership::ControlState state, ControlPorts ports,
                uint64_t seed);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  void Start();
  void Stop();

  // Queues an event; thread-safe. The queue is bounded, so a flood of messages
  // from peers can't exhaust memory. A dropped message is harmless, since the
  // next digest repairs the difference.
  void Post(membership::Event event);

  // Returns after the event's actions have been performed, so that an accepted
  // write is in force here before the operator gets the reply.
  void PostAndWait(membership::Event event);

  // The newest view; never null.
  std::shared_ptr<const TrafficView> View() const { return view_.Get(); }

  // The configuration's watermark, for the watch of the platform.
  Revision CompleteTo() const { return Revision(complete_to_); }

  // The highest revision seen; may be above the watermark.
  Revision Newest() const { return Revision(newest_); }

  // SteadyNow() at the platform's last confirmation of the configuration, to
  // this instance or reported by another one; nullopt if there was none.
  std::optional<Millis> ConfirmedAt() const;

  uint64_t alarms() const { return alarms_; }
  uint64_t dropped_events() const { return dropped_; }

 private:
  struct Item {
    membership::Event event;
    // Set if a caller waits for the event.
    std::shared_ptr<std::atomic<bool>> done;
  };

  static constexpr size_t kMaxQueued = 10000;

  void Run();
  void Handle(const membership::Event& event);
  void Perform(const membership::Action& action);
  void Rebuild();
  void LogPlacement(const TrafficView& before, const TrafficView& after);

  membership::ControlState state_;
  const ControlPorts ports_;
  Random random_;
  Published<TrafficView> view_;
  membership::ViewPointer members_;
  membership::DrainTable reported_drains_;
  std::shared_ptr<const settings::Configuration> configuration_;
  bool needs_rebuild_ = false;
  std::atomic<uint64_t> complete_to_{0};
  std::atomic<uint64_t> newest_{0};
  // Negative if never.
  std::atomic<double> confirmed_at_{-1};
  std::atomic<bool> started_{false};
  std::atomic<uint64_t> alarms_{0};
  std::atomic<uint64_t> dropped_{0};

  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable done_;
  std::deque<Item> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hibiscuspick::daemon
