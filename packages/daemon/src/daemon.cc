// Start and stop of one instance.
#include "hibiscuspick/daemon/daemon.h"

#include <utility>

#include "daemon_impl.h"

namespace hibiscuspick::daemon {
namespace {

// The time to send the last message to peers. Without it they would suspect
// this instance and wait for it for some seconds.
constexpr Millis kFinalMessageDelay{50};

// The interval at which the stop polls for completion.
constexpr Millis kStopPollInterval{10};

}  // namespace

Result<Done> Daemon::Impl::Start() {
  AddGauges();
  callers_.AddTo(&callers_server_);
  operators::AddRoutes(
      &operators_server_,
      std::make_shared<const operators::Ports>(MakeOperatorsPorts()));
  platform::WatchOptions watch_options;
  watch_options.wait = settings_.platform_watch_timeout;
  platform::HttpCallLimits limits;
  limits.timeout = settings_.platform_timeout;
  watch_ = std::make_unique<platform::WatchLoop>(
      platform::MakeHttpCalls(settings_.platform, limits), watch_options,
      incarnation_.value, [this] { return control_.CompleteTo(); },
      [this](const auto& answer) { HandleWatchAnswer(answer); },
      [this] { return control_.Newest(); });
  auto listens = mesh_.Start();
  if (!IsOk(listens)) return listens;
  control_.Start();
  lister_ = std::make_unique<InstanceLister>(
      calls_, [this] { return watching_ || !serving_; },
      [this](auto list) {
        control_.Post(membership::PlatformList{std::move(list)});
      });
  listens =
      operators_server_.Start(settings_.operators.ip, settings_.operators.port);
  if (!IsOk(listens)) return listens;
  listens = callers_server_.Start(settings_.callers.ip, settings_.callers.port);
  if (!IsOk(listens)) return listens;
  Log(Part::kDaemon)
      .info(
          "Instance {} of data centre {} listens on {} for callers, {} for "
          "operators, {} for other instances.",
          settings_.instance.text, settings_.data_centre.text,
          ToText(settings_.callers), ToText(settings_.operators),
          ToText(settings_.inner));
  return Done{};
}

size_t Daemon::Impl::InFlight() const {
  return static_cast<size_t>(callers_server_.busy()) + parts_.running() +
         executor_.InFlight();
}

bool Daemon::Impl::WaitUntilIdle(Millis until,
                                 const std::atomic<bool>& abort_now) {
  while (InFlight() > 0) {
    if (abort_now || SteadyNow() >= until) return false;
    std::this_thread::sleep_for(kStopPollInterval.ToMicros());
  }
  return true;
}

void Daemon::Impl::Stop(const std::atomic<bool>& abort_now) {
  const Millis started_at = SteadyNow();
  Log(Part::kDaemon)
      .info("Stopping with {} requests and attempts in flight.", InFlight());
  leaving_ = true;
  callers_server_.CloseAfterAnswers();
  control_.Post(membership::SelfPhase{membership::Phase::kLeaving});
  // The balancer and the peers learn of the stop late and keep sending.
  while (!abort_now && SteadyNow() < started_at + settings_.balancer_lag) {
    std::this_thread::sleep_for(kStopPollInterval.ToMicros());
  }
  // The server stops accepting before anything that requests depend on is
  // stopped: a request that arrived just after the lag would otherwise find no
  // executor and wait for its deadline in vain.
  std::thread stopping_callers([this] { callers_server_.Stop(); });
  if (!WaitUntilIdle(started_at + settings_.stop_timeout, abort_now)) {
    Log(Part::kDaemon)
        .warn("Aborting {} requests and attempts in flight.", InFlight());
  }
  if (!records_.Flush(started_at + settings_.stop_timeout)) {
    Log(Part::kRecord)
        .warn("{} buckets of record claims have outcomes that are not stored.",
              records_.unstored_buckets());
  }
  control_.PostAndWait(membership::SelfPhase{membership::Phase::kGone});
  std::this_thread::sleep_for(kFinalMessageDelay.ToMicros());
  executor_.Stop();
  stopping_callers.join();
  operators_server_.Stop();
  if (lister_) lister_->Stop();
  if (watch_) watch_->Stop();
  parts_.Stop();
  mesh_.Stop();
  control_.Stop();
  Log(Part::kDaemon).info("Stopped.");
}

Daemon::Daemon(settings::DaemonSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Daemon::~Daemon() = default;

Result<Done> Daemon::Start() { return impl_->Start(); }

void Daemon::Stop(const std::atomic<bool>& abort_now) {
  impl_->Stop(abort_now);
}

}  // namespace hibiscuspick::daemon
