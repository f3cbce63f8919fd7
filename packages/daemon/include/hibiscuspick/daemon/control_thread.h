// The one thread that owns control state: it feeds membership::Step with
// events from everywhere and carries its actions out.
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

// What the control thread does to the rest of the process. Called on it.
struct ControlPorts {
  std::function<void(const membership::Peer&, membership::GossipMessage)> send;
  std::function<void(const TrafficView&)> on_view;
  std::function<void(const membership::ServerNews&)> on_server_news;
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

  // From any thread: the event is handled in order of arrival. A flood of
  // messages from peers can't grow the queue without bound; the oldest rule of
  // gossip makes a dropped one harmless, since the next digest repairs it.
  void Post(membership::Event event);

  // Handles the event and returns when its actions are done, so that an
  // accepted write is in force here before the operator is told.
  void PostAndWait(membership::Event event);

  // The newest view; never null.
  std::shared_ptr<const TrafficView> View() const { return view_.Get(); }

  // The configuration's watermark, for the watch of the platform.
  Revision CompleteTo() const { return Revision(complete_to_); }

  // The highest revision known of at all, above the watermark perhaps.
  Revision Newest() const { return Revision(newest_); }

  // SteadyNow() at which the platform last confirmed the configuration, here or
  // at an instance that said so; none if it never did.
  std::optional<Millis> ConfirmedAt() const;

  uint64_t alarms() const { return alarms_; }
  uint64_t dropped_events() const { return dropped_; }

 private:
  struct Item {
    membership::Event event;
    // Set when somebody waits.
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
  membership::ServerNewsTable passed_on_;
  std::shared_ptr<const settings::Configuration> configuration_;
  bool rebuild_wanted_ = false;
  std::atomic<uint64_t> complete_to_{0};
  std::atomic<uint64_t> newest_{0};
  // Negative for never.
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
