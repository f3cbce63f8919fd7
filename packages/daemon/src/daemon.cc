#include "hibiscuspick/daemon/daemon.h"

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/daemon/control_thread.h"
#include "hibiscuspick/daemon/instance_lister.h"
#include "hibiscuspick/daemon/part_service.h"
#include "hibiscuspick/daemon/status.h"
#include "hibiscuspick/daemon/traffic_view.h"
#include "hibiscuspick/front/callers_api.h"
#include "hibiscuspick/inner/peer_mesh.h"
#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/operators/server.h"
#include "hibiscuspick/platform/http_calls.h"
#include "hibiscuspick/platform/watch_loop.h"
#include "hibiscuspick/records/record_runner.h"
#include "hibiscuspick/routing/query_runner.h"

namespace hibiscuspick::daemon {
namespace {

// A watcher's word reaches its data centre by digests, each second to two.
constexpr Millis kWordTakes{5000};

// How often the stop looks whether all is done.
constexpr Millis kStopPoll{10};

inner::MeshSettings MeshSettingsOf(const settings::DaemonSettings& settings,
                                   Incarnation incarnation) {
  inner::MeshSettings mesh;
  mesh.self = settings.instance;
  mesh.data_centre = settings.data_centre;
  mesh.incarnation = incarnation;
  mesh.key = settings.inner_key;
  mesh.listen = settings.inner;
  return mesh;
}

dispatch::ExecutorOptions ExecutorOptionsOf(
    const settings::DaemonSettings& settings, Incarnation incarnation) {
  dispatch::ExecutorOptions options;
  options.instance = settings.instance;
  options.incarnation = incarnation;
  options.seed = incarnation.value;
  options.max_workers = static_cast<size_t>(settings.max_attempts);
  return options;
}

membership::ControlState StateOf(const settings::DaemonSettings& settings,
                                 Incarnation incarnation) {
  membership::MemberState self;
  self.id = settings.instance;
  self.data_centre = settings.data_centre;
  self.inner = settings.inner;
  self.incarnation = incarnation;
  return membership::StartControl(self, settings.peers,
                                  membership::ControlLimits());
}

platform::Calls CallsOf(const settings::DaemonSettings& settings) {
  platform::HttpCallLimits limits;
  limits.timeout = settings.platform_timeout;
  const auto budget =
      platform::MakeCallBudget(settings.platform_calls_per_second,
                               settings.platform_call_burst, SteadyNow());
  return platform::LimitCalls(
      platform::MakeHttpCalls(settings.platform, limits), budget);
}

http::ServerLimits CallerLimits(const settings::DaemonSettings& settings) {
  http::ServerLimits limits;
  limits.max_connections = static_cast<size_t>(settings.max_caller_connections);
  return limits;
}

http::ServerLimits OperatorLimits(const settings::DaemonSettings& settings) {
  http::ServerLimits limits;
  limits.max_connections =
      static_cast<size_t>(settings.max_operator_connections);
  limits.max_body = settings.max_operator_body;
  return limits;
}

}  // namespace

// The parts in the order in which they start; they end in the reverse order,
// so that none is called after its end.
class Daemon::Impl {
 public:
  explicit Impl(settings::DaemonSettings settings)
      : settings_(std::move(settings)),
        // A later life has a later start, which is all that is asked of it.
        incarnation_(static_cast<uint64_t>(WallNow().count)),
        calls_(CallsOf(settings_)),
        executor_(ExecutorOptionsOf(settings_, incarnation_),
                  [this](const auto& server, auto incarnation, bool draining) {
                    TakeHeaderNews(server, incarnation, draining);
                  }),
        control_(StateOf(settings_, incarnation_), MakeControlPorts(),
                 incarnation_.value),
        runner_(settings_.instance, incarnation_, MakeRunnerPorts()),
        mesh_(MeshSettingsOf(settings_, incarnation_), MakeMeshCallbacks()),
        parts_(&executor_,
               [this](const auto& to, auto message) {
                 mesh_.Send(to, std::move(message));
               }),
        records_(
            settings_.instance.text + "-" + std::to_string(incarnation_.value),
            records::Rules(), MakeRecordPorts()),
        callers_server_(CallerLimits(settings_)),
        operators_server_(OperatorLimits(settings_)),
        callers_(MakeCallersPorts(), &metrics_) {}

  Result<Done> Start();
  void Stop(const std::atomic<bool>& now);

 private:
  ControlPorts MakeControlPorts();
  routing::RunnerPorts MakeRunnerPorts();
  inner::MeshCallbacks MakeMeshCallbacks();
  records::RecordPorts MakeRecordPorts();
  front::CallersPorts MakeCallersPorts();
  operators::Ports MakeOperatorsPorts();

  void TakeHeaderNews(const BackendServerId& server, Incarnation incarnation,
                      bool draining);
  void TakeMessage(const InstanceId& from, inner::Message message);
  void TakeWatchAnswer(const Result<platform::WatchNews>& answer);
  void TakeView(const TrafficView& view);
  records::DispatchResult DispatchRecord(const records::RecordRequest& request,
                                         Millis time_left);
  front::ConfigurationAge Age() const;
  // The age of the watchers' word at which the platform counts as unreachable:
  // a watch's whole wait, and some seconds for the word to get here.
  Millis PlatformSilence() const {
    return settings_.platform_watch + kWordTakes;
  }
  Code Readiness() const;
  StatusFacts Facts() const;
  void AddGauges();
  size_t InFlight() const;
  bool WaitUntilIdle(Millis until, const std::atomic<bool>& now);

  const settings::DaemonSettings settings_;
  const Incarnation incarnation_;
  const Millis started_ = SteadyNow();
  metrics::Registry metrics_;
  const platform::Calls calls_;
  std::atomic<bool> watching_{false};
  std::atomic<bool> platform_reachable_{false};
  std::atomic<bool> serving_{false};
  std::atomic<bool> leaving_{false};

  dispatch::PartExecutor executor_;
  ControlThread control_;
  routing::QueryRunner runner_;
  inner::PeerMesh mesh_;
  PartService parts_;
  records::RecordRunner records_;
  http::Server callers_server_;
  http::Server operators_server_;
  front::CallersApi callers_;
  std::unique_ptr<platform::WatchLoop> watch_;
  std::unique_ptr<InstanceLister> lister_;
};

ControlPorts Daemon::Impl::MakeControlPorts() {
  ControlPorts ports;
  ports.send = [this](const membership::Peer& peer,
                      membership::GossipMessage message) {
    mesh_.Send(peer, inner::ToMessage(std::move(message)));
  };
  ports.on_view = [this](const TrafficView& view) { TakeView(view); };
  ports.on_server_news = [this](const membership::ServerNews& news) {
    executor_.TakeServerNews(news.server, news.incarnation, news.draining);
  };
  ports.adopt_incarnation = [this](Incarnation it) {
    mesh_.SetIncarnation(it);
  };
  ports.set_watching = [this](bool watching) {
    watching_ = watching;
    watch_->SetWatching(watching);
  };
  return ports;
}

routing::RunnerPorts Daemon::Impl::MakeRunnerPorts() {
  routing::RunnerPorts ports;
  ports.send_part = [this](const InstanceId& to,
                           const limits::PartRequest& part) {
    if (!mesh_.Send(to, inner::Message(part))) runner_.OnPeerFailed(to);
  };
  ports.run_local = [this](const limits::PartRequest& part) {
    executor_.Run(part, [this, id = part.origin.part](auto outcomes) {
      runner_.OnOutcomes(id, std::move(outcomes));
    });
  };
  ports.cancel_part = [this](const InstanceId& at, PartId part) {
    const limits::PartOrigin origin{settings_.instance, incarnation_, part};
    if (at == settings_.instance) {
      executor_.Cancel(origin);
      return;
    }
    mesh_.Send(at, inner::Message(inner::PartCancel{origin}));
  };
  ports.candidates = [this](const ServiceId& service) {
    return CandidatesOf(*control_.View(), service);
  };
  return ports;
}

inner::MeshCallbacks Daemon::Impl::MakeMeshCallbacks() {
  inner::MeshCallbacks callbacks;
  callbacks.on_message = [this](const InstanceId& from,
                                inner::Message message) {
    TakeMessage(from, std::move(message));
  };
  callbacks.on_peer_failed = [this](const InstanceId& peer) {
    runner_.OnPeerFailed(peer);
    control_.Post(membership::PeerFailed{peer});
  };
  return callbacks;
}

records::RecordPorts Daemon::Impl::MakeRecordPorts() {
  records::RecordPorts ports;
  ports.platform = calls_;
  ports.dispatch = [this](const records::RecordRequest& request,
                          Millis time_left) {
    return DispatchRecord(request, time_left);
  };
  return ports;
}

front::CallersPorts Daemon::Impl::MakeCallersPorts() {
  front::CallersPorts ports;
  ports.find_route = [this](const RouteId& route, const CustomerId& customer) {
    return FindRoute(*control_.View(), route, customer);
  };
  ports.run_query = [this](routing::QueryRequest request, Millis arrived,
                           const auto& plans, const auto& stop) {
    return runner_.Run(std::move(request), arrived, plans, stop);
  };
  ports.find_service = [this](const ServiceId& service, const ShardId& shard,
                              const CustomerId& customer) {
    return FindService(*control_.View(), service, shard, customer);
  };
  ports.run_record = [this](const records::RecordRequest& request,
                            Millis arrived) {
    return records_.Run(request, arrived);
  };
  ports.customer_rules = [this](const CustomerId& customer) {
    return CustomerRulesOf(*control_.View(), customer);
  };
  ports.configuration_age = [this] { return Age(); };
  ports.readiness = [this] { return Readiness(); };
  return ports;
}

operators::Ports Daemon::Impl::MakeOperatorsPorts() {
  operators::Ports ports;
  ports.token = settings_.operator_token;
  ports.data_centre = settings_.data_centre;
  ports.make_write_id = operators::MakeWriteId;
  ports.pause = operators::PauseBetweenTries;
  ports.calls = calls_;
  ports.configuration = [this] { return control_.View()->configuration; };
  ports.status = [this] { return StatusJson(Facts()); };
  ports.metrics = [this] {
    return metrics_.PrometheusText() + GroupMetricsText(executor_.Metrics());
  };
  ports.on_accepted = [this](const settings::ConfigObject& object) {
    settings::ConfigDelta delta;
    delta.objects.push_back(object);
    control_.PostAndWait(membership::AcceptedConfig{std::move(delta)});
  };
  ports.announce_drain = [this](const BackendServerId& server, bool draining) {
    if (!draining) {
      control_.PostAndWait(membership::LocalUndrain{server});
      return;
    }
    const auto view = control_.View();
    membership::ServerNews news;
    const auto it = view->members->servers.find(server);
    if (it != view->members->servers.end()) news = it->second;
    news.server = server;
    news.draining = true;
    control_.PostAndWait(membership::LocalNews{news});
  };
  return ports;
}

void Daemon::Impl::TakeHeaderNews(const BackendServerId& server,
                                  Incarnation incarnation, bool draining) {
  membership::ServerNews news;
  news.server = server;
  news.incarnation = incarnation;
  news.draining = draining;
  const auto view = control_.View();
  const auto it = view->members->servers.find(server);
  const bool known = it != view->members->servers.end();
  // That a server takes work is news only where it was known to drain: all
  // servers do, and saying so of each would fill the table and the wire.
  if (!known && !draining) return;
  // A header can only add to what is known in the same round: an operator's
  // word that the server takes work again stands until the next life.
  if (known) {
    news.round = it->second.round;
    if (!membership::Replaces(news, it->second)) return;
  }
  control_.Post(membership::LocalNews{news});
}

void Daemon::Impl::TakeMessage(const InstanceId& from, inner::Message message) {
  if (const auto* part = std::get_if<limits::PartRequest>(&message)) {
    parts_.Run(*part);
    return;
  }
  if (auto* outcomes = std::get_if<inner::PartOutcomes>(&message)) {
    // Outcomes for a former life of this instance are nobody's.
    if (outcomes->incarnation != incarnation_) return;
    runner_.OnOutcomes(outcomes->part, std::move(outcomes->outcomes));
    return;
  }
  if (const auto* cancel = std::get_if<inner::PartCancel>(&message)) {
    parts_.Cancel(cancel->origin);
    return;
  }
  if (auto* digest = std::get_if<membership::Digest>(&message)) {
    control_.Post(membership::MessageFrom{from, std::move(*digest)});
  } else if (auto* news = std::get_if<membership::News>(&message)) {
    control_.Post(membership::MessageFrom{from, std::move(*news)});
  } else if (auto* delta = std::get_if<settings::ConfigDelta>(&message)) {
    control_.Post(membership::MessageFrom{from, std::move(*delta)});
  }
}

void Daemon::Impl::TakeWatchAnswer(const Result<platform::WatchNews>& answer) {
  const bool reachable = IsOk(answer);
  if (platform_reachable_.exchange(reachable) != reachable) {
    Log(Part::kPlatform)
        .warn("The platform {}.", reachable ? "answers" : "does not answer");
  }
  if (!reachable) return;
  const platform::WatchNews& news = ValueOf(answer);
  control_.Post(membership::WatchedConfig{news.delta, news.known});
}

void Daemon::Impl::TakeView(const TrafficView& view) {
  executor_.Apply(GroupConfigsOf(view));
  records_.SetWindow(RecordWindowOf(view));
  mesh_.SetPeers(membership::PeersOf(*view.members));
  if (IsConfigured(view) && !serving_.exchange(true)) {
    Log(Part::kDaemon)
        .info("Serves configuration {}.",
              view.configuration->complete_to.value);
    control_.Post(membership::SelfPhase{membership::Phase::kServing});
  }
}

records::DispatchResult Daemon::Impl::DispatchRecord(
    const records::RecordRequest& request, Millis time_left) {
  const auto view = control_.View();
  const auto it = view->record_targets.find({request.service, request.shard});
  if (it == view->record_targets.end()) {
    return {Code::kNoServer, Ran::kNo, ""};
  }
  dispatch::RecordRequest record;
  record.service = request.service;
  record.shard = request.shard;
  record.servers = it->second.servers;
  record.version = it->second.version;
  record.key = request.key;
  record.record = request.record;
  record.time_left = time_left;
  const auto outcome = executor_.RunRecord(record);
  return {outcome.code, outcome.ran, outcome.result};
}

front::ConfigurationAge Daemon::Impl::Age() const {
  const auto confirmed = control_.ConfirmedAt();
  if (!confirmed) return {SteadyNow() - started_, false};
  const Millis age = SteadyNow() - *confirmed;
  // Only watchers know at first hand; the others go by how old the watchers'
  // word is.
  const bool reachable =
      watching_ ? platform_reachable_.load() : age < PlatformSilence();
  return {age, reachable};
}

Code Daemon::Impl::Readiness() const {
  if (leaving_) return Code::kLeaving;
  return serving_ ? Code::kOk : Code::kNotReady;
}

StatusFacts Daemon::Impl::Facts() const {
  StatusFacts facts;
  facts.view = control_.View();
  facts.incarnation = incarnation_;
  facts.watching = watching_;
  facts.age = Age();
  facts.readiness = Readiness();
  facts.alarms = control_.alarms();
  facts.executor = executor_.Metrics();
  return facts;
}

void Daemon::Impl::AddGauges() {
  const auto add = [this](const char* name, const char* help, auto read) {
    metrics_.AddGauge(name, help, {},
                      [read] { return static_cast<double>(read()); });
  };
  add("hibiscuspick_config_complete_to",
      "Revision up to which the configuration is complete.",
      [this] { return control_.CompleteTo().value; });
  add("hibiscuspick_config_alarms",
      "Configuration that went back or contradicts itself, since start.",
      [this] { return control_.alarms(); });
  add("hibiscuspick_platform_reachable",
      "1 if the platform answered this instance's last watch.",
      [this] { return platform_reachable_ ? 1 : 0; });
  add("hibiscuspick_platform_watching",
      "1 if this instance is one of its data centre's watchers.",
      [this] { return watching_ ? 1 : 0; });
  add("hibiscuspick_queries_running", "Queries now running here.",
      [this] { return runner_.running(); });
  add("hibiscuspick_parts_running", "Parts of other instances now running.",
      [this] { return parts_.running(); });
  add("hibiscuspick_inner_messages_sent", "Messages sent to instances.",
      [this] { return mesh_.counts().messages_sent; });
  add("hibiscuspick_inner_bytes_sent", "Bytes sent to instances.",
      [this] { return mesh_.counts().bytes_sent; });
  add("hibiscuspick_inner_bytes_received", "Bytes received from instances.",
      [this] { return mesh_.counts().bytes_received; });
  add("hibiscuspick_control_events_dropped",
      "Control events dropped because the queue was full.",
      [this] { return control_.dropped_events(); });
}

Result<Done> Daemon::Impl::Start() {
  AddGauges();
  callers_.AddTo(&callers_server_);
  operators::AddRoutes(
      &operators_server_,
      std::make_shared<const operators::Ports>(MakeOperatorsPorts()));
  platform::WatchOptions watch_options;
  watch_options.wait = settings_.platform_watch;
  platform::HttpCallLimits limits;
  limits.timeout = settings_.platform_timeout;
  watch_ = std::make_unique<platform::WatchLoop>(
      platform::MakeHttpCalls(settings_.platform, limits), watch_options,
      incarnation_.value, [this] { return control_.CompleteTo(); },
      [this](const auto& answer) { TakeWatchAnswer(answer); });
  if (auto ec = mesh_.Start(); !IsOk(ec)) return ec;
  control_.Start();
  lister_ = std::make_unique<InstanceLister>(
      calls_, [this] { return watching_ || !serving_; },
      [this](auto list) {
        control_.Post(membership::PlatformList{std::move(list)});
      });
  if (auto ec = operators_server_.Start(settings_.operators.ip,
                                        settings_.operators.port);
      !IsOk(ec)) {
    return ec;
  }
  if (auto ec =
          callers_server_.Start(settings_.callers.ip, settings_.callers.port);
      !IsOk(ec)) {
    return ec;
  }
  Log(Part::kDaemon)
      .info("{} of {} listens on {} for callers, {} for operators, {} inside.",
            settings_.instance.text, settings_.data_centre.text,
            ToText(settings_.callers), ToText(settings_.operators),
            ToText(settings_.inner));
  return Done{};
}

size_t Daemon::Impl::InFlight() const {
  return static_cast<size_t>(callers_server_.busy()) + parts_.running() +
         executor_.InFlight();
}

bool Daemon::Impl::WaitUntilIdle(Millis until, const std::atomic<bool>& now) {
  while (InFlight() > 0) {
    if (now || SteadyNow() >= until) return false;
    std::this_thread::sleep_for(kStopPoll.ToMicros());
  }
  return true;
}

void Daemon::Impl::Stop(const std::atomic<bool>& now) {
  const Millis begun = SteadyNow();
  Log(Part::kDaemon).info("Leaves: {} in flight.", InFlight());
  leaving_ = true;
  callers_server_.CloseAfterAnswers();
  control_.Post(membership::SelfPhase{membership::Phase::kLeaving});
  // The balancer and the peers hear of it late and go on sending meanwhile.
  while (!now && SteadyNow() < begun + settings_.balancer_lag) {
    std::this_thread::sleep_for(kStopPoll.ToMicros());
  }
  // Accepting ends before anything that requests need: a request that came
  // just after the lag would otherwise find the executor gone and wait out its
  // deadline for nothing.
  std::thread closing([this] { callers_server_.Stop(); });
  if (!WaitUntilIdle(begun + settings_.stop_timeout, now)) {
    Log(Part::kDaemon).warn("Cuts off {} in flight.", InFlight());
  }
  if (!records_.Flush(begun + settings_.stop_timeout)) {
    Log(Part::kRecord)
        .warn("{} buckets have outcomes that are not stored.",
              records_.unstored());
  }
  control_.Post(membership::SelfPhase{membership::Phase::kGone});
  executor_.Stop();
  closing.join();
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

void Daemon::Stop(const std::atomic<bool>& now) { impl_->Stop(now); }

}  // namespace hibiscuspick::daemon
