// The callbacks that connect the components of one instance.
#include <functional>
#include <string>
#include <utility>

#include "daemon_impl.h"
#include "hibiscuspick/membership/reply_drain.h"

namespace hibiscuspick::daemon {

ControlPorts Daemon::Impl::MakeControlPorts() {
  ControlPorts ports;
  ports.send = [this](const membership::Peer& peer,
                      membership::GossipMessage message) {
    mesh_.Send(peer, inner::ToMessage(std::move(message)));
  };
  ports.on_view = [this](const TrafficView& view) { ApplyView(view); };
  ports.on_drain_report = [this](const membership::DrainReport& report) {
    executor_.ApplyDrainReport(report.server, report.incarnation,
                               report.draining);
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

routing::RunnerCallbacks Daemon::Impl::MakeRunnerPorts() {
  routing::RunnerCallbacks ports;
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
    HandleMessage(from, std::move(message));
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
                           const std::function<routing::Plans()>& plans,
                           const std::function<bool()>& stop) {
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
  ports.sleep_between_attempts = operators::SleepBetweenAttempts;
  ports.calls = calls_;
  ports.configuration = [this] { return control_.View()->configuration; };
  ports.status = [this] { return StatusJson(GatherStatusData()); };
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
    membership::DrainReport report;
    const auto it = view->members->servers.find(server);
    if (it != view->members->servers.end()) report = it->second;
    report.server = server;
    report.draining = true;
    control_.PostAndWait(membership::LocalDrain{report});
  };
  return ports;
}

void Daemon::Impl::HandleHeaderReport(const BackendServerId& server,
                                      Incarnation incarnation, bool draining) {
  const auto report = membership::DrainReportOfReply(
      control_.View()->members->servers, server, incarnation, draining);
  if (report) control_.Post(membership::LocalDrain{*report});
}

void Daemon::Impl::HandleMessage(const InstanceId& from,
                                 inner::Message message) {
  if (const auto* part = std::get_if<limits::PartRequest>(&message)) {
    parts_.Run(*part);
    return;
  }
  if (auto* outcomes = std::get_if<inner::PartOutcomes>(&message)) {
    // Outcomes for a previous incarnation of this instance are dropped.
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
  } else if (auto* members_delta =
                 std::get_if<membership::MembershipDelta>(&message)) {
    control_.Post(membership::MessageFrom{from, std::move(*members_delta)});
  } else if (auto* delta = std::get_if<settings::ConfigDelta>(&message)) {
    control_.Post(membership::MessageFrom{from, std::move(*delta)});
  }
}

void Daemon::Impl::HandleWatchAnswer(
    const Result<platform::WatchResult>& answer) {
  const bool reachable = IsOk(answer);
  if (platform_reachable_.exchange(reachable) != reachable) {
    Log(Part::kPlatform)
        .warn("The platform {}.", reachable ? "answers" : "does not answer");
  }
  if (!reachable) return;
  const platform::WatchResult& result = ValueOf(answer);
  control_.Post(membership::WatchedConfig{result.delta, result.known});
}

void Daemon::Impl::ApplyView(const TrafficView& view) {
  executor_.Apply(GroupConfigsOf(view));
  records_.SetWindow(RecordWindowOf(view));
  mesh_.SetPeers(membership::PeersOf(*view.members));
  if (IsConfigured(view) && !serving_.exchange(true)) {
    Log(Part::kDaemon)
        .info("Serving the configuration of revision {}.",
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

}  // namespace hibiscuspick::daemon
