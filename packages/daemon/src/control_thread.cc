#include "hibiscuspick/daemon/control_thread.h"

#include <string>
#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::daemon {
namespace {

// A visitor that overloads lambdas.
template <class... F>
struct Overload : F... {
  using F::operator()...;
};
template <class... F>
Overload(F...) -> Overload<F...>;

membership::ViewPointer SingleMemberView(const membership::MemberTable& table) {
  auto view = std::make_shared<membership::MembershipView>();
  view->self = table.self;
  view->data_centre = table.data_centre;
  return view;
}

}  // namespace

ControlThread::ControlThread(membership::ControlState state, ControlPorts ports,
                             uint64_t seed)
    : state_(std::move(state)),
      ports_(std::move(ports)),
      random_(seed),
      view_(nullptr),
      members_(SingleMemberView(state_.table)),
      configuration_(settings::BuildConfiguration(state_.config)) {
  view_.Set(MakeTrafficView(configuration_, members_));
}

ControlThread::~ControlThread() { Stop(); }

void ControlThread::Start() {
  started_ = true;
  thread_ = std::thread([this] { Run(); });
}

void ControlThread::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  done_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ControlThread::Post(membership::Event event) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= kMaxQueued) {
      ++dropped_;
      return;
    }
    queue_.push_back({std::move(event), nullptr});
  }
  wake_.notify_one();
}

void ControlThread::PostAndWait(membership::Event event) {
  const auto done = std::make_shared<std::atomic<bool>>(false);
  // Nobody would handle the event, as when the start failed halfway.
  if (!started_) return;
  std::unique_lock lock(mutex_);
  queue_.push_back({std::move(event), done});
  wake_.notify_one();
  done_.wait(lock, [&] { return stopping_ || done->load(); });
}

std::optional<Millis> ControlThread::ConfirmedAt() const {
  const double at = confirmed_at_;
  if (at < 0) return std::nullopt;
  return Millis(at);
}

void ControlThread::Run() {
  Millis next_tick = SteadyNow();
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const Millis now = SteadyNow();
    if (now >= next_tick) {
      next_tick = now + state_.limits.tick;
      lock.unlock();
      Handle(membership::Tick{});
      lock.lock();
      continue;
    }
    if (queue_.empty()) {
      wake_.wait_for(lock, (next_tick - now).ToMicros());
      continue;
    }
    const Item item = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    Handle(item.event);
    lock.lock();
    if (item.done) {
      *item.done = true;
      done_.notify_all();
    }
  }
}

void ControlThread::Handle(const membership::Event& event) {
  const auto actions = membership::Step(&state_, event, SteadyNow(), &random_);
  for (const auto& it : actions) Perform(it);
  complete_to_ = state_.config.complete_to.value;
  newest_ = state_.config.newest.value;
  if (state_.config_confirmed) confirmed_at_ = state_.config_confirmed->count;
  if (needs_rebuild_) Rebuild();
}

void ControlThread::Perform(const membership::Action& action) {
  std::visit(
      Overload{
          [&](const membership::SendTo& it) {
            ports_.send(it.peer, it.message);
          },
          [&](const membership::PublishView& it) {
            members_ = it.view;
            needs_rebuild_ = true;
          },
          [&](const membership::ApplyConfig& it) {
            for (const auto& name : it.changed) {
              Log(Part::kConfig)
                  .info("{} is in force at version {}.", name,
                        state_.config.objects.at(name).version.value);
            }
            // Only the watermark rose, as after each write of a record.
            if (it.changed.empty() && configuration_->loaded) return;
            configuration_ = settings::BuildConfiguration(state_.config,
                                                          configuration_.get());
            needs_rebuild_ = true;
          },
          [&](const membership::StartWatching&) {
            Log(Part::kPlatform).info("Started to watch the platform.");
            ports_.set_watching(true);
          },
          [&](const membership::StopWatching&) {
            Log(Part::kPlatform)
                .info("Stopped watching the platform, other instances do so.");
            ports_.set_watching(false);
          },
          [&](const membership::AdoptIncarnation& it) {
            ports_.adopt_incarnation(it.incarnation);
          },
          [&](const membership::MemberChange& it) {
            Log(Part::kMembers)
                .info("Instance {} in {} {}.", it.id.text, it.data_centre.text,
                      it.what);
          },
          [&](const membership::Alarm& it) {
            ++alarms_;
            Log(Part::kConfig)
                .error("Configuration alarm {} for \"{}\": {}.",
                       CodeName(it.error.code), it.error.place,
                       it.error.message);
          },
      },
      action);
}

void ControlThread::Rebuild() {
  needs_rebuild_ = false;
  const auto before = view_.Get();
  const auto after = MakeTrafficView(configuration_, members_);
  view_.Set(after);
  LogPlacement(*before, *after);
  ports_.on_view(*after);
  for (const auto& [id, report] : members_->servers) {
    const auto it = reported_drains_.find(id);
    if (it != reported_drains_.end() && it->second == report) continue;
    reported_drains_[id] = report;
    Log(Part::kMembers)
        .info("Backend server {} {} (incarnation {}).", id.text,
              report.draining ? "drains" : "accepts work",
              report.incarnation.value);
    ports_.on_drain_report(report);
  }
}

void ControlThread::LogPlacement(const TrafficView& before,
                                 const TrafficView& after) {
  const auto changes =
      membership::PlacementChanges(before.placement, after.placement);
  for (const auto& it : changes) {
    Log(Part::kPlacement)
        .info("Ownership of service {} moves from {} to {}.", it.service.text,
              it.from.empty() ? "nobody" : it.from.text,
              it.to.empty() ? "nobody" : it.to.text);
  }
}

}  // namespace hibiscuspick::daemon
