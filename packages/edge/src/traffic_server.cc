#include "hibiscuspick/edge/traffic_server.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/allowance_wire.h"
#include "hibiscuspick/edge/caller_identity.h"
#include "hibiscuspick/engine/refusal.h"

namespace hibiscuspick::edge {
namespace {

BackendsPolicy WithNames(BackendsPolicy policy, const WireNames& names) {
  policy.load_header = names.load;
  return policy;
}

constexpr Millis kStopCheckInterval{50};

constexpr int kUnauthorizedStatus = 401;

// How long a peer's report of a cut is used; the peer repeats it in each state
// update, at the latest after kPeerPollWait.
constexpr Millis kUnableReportTtl{2500};

}  // namespace

TrafficServer::TrafficServer(Loop* loop, TrafficSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      exchange_counters_(metrics_.registry()),
      remote_traffic_(metrics_.registry()),
      prober_(loop, settings_.backends.choice.own_data_centre,
              settings_.backends.mechanisms.reachability_probes),
      backends_(loop, WithNames(settings_.backends, settings_.names), &prober_,
                remote_traffic_.CountersOf(RemotePurpose::kParts)),
      callers_(loop, CallersPolicy()),
      readiness_(loop, ReadinessPolicy()),
      peer_queries_(loop, QueriesPolicy()),
      peers_(loop, &prober_, &remote_traffic_),
      allowances_(
          loop,
          {settings_.backends.choice.own_data_centre, settings_.allowances,
           settings_.backends.mechanisms.allowances},
          remote_traffic_.CountersOf(RemotePurpose::kAllowances)),
      evidence_(loop, &backends_, metrics_.registry(),
                remote_traffic_.CountersOf(RemotePurpose::kEvidence),
                settings_.backends.mechanisms.evidence_exchange),
      quarantine_(loop,
                  {settings_.backends.choice.own_data_centre,
                   settings_.backends.mechanisms.request_quarantine},
                  &backends_, metrics_.registry(),
                  remote_traffic_.CountersOf(RemotePurpose::kQuarantine)),
      own_position_{settings_.instances, 0},
      early_requests_(loop, settings_.names.deadline,
                      [this](const auto& session, HttpRequest&& request) {
                        OnRequest(session, std::move(request));
                      }) {
  prober_.set_servers(
      [this](const auto& where) { return backends_.ServerAddressesIn(where); });
  prober_.set_on_isolated([this](bool isolated) {
    if (on_cut_off_) on_cut_off_(isolated && IsUnableToServe());
  });
  loop->set_exchange_counters(&exchange_counters_);
  context_.loop = loop;
  context_.backends = &backends_;
  context_.names = &settings_.names;
  context_.peers = &peers_;
  context_.quarantine = &quarantine_;
  context_.answer_margin = settings_.answer_margin;
  context_.deadline_margin = settings_.deadline_margin;
  token_prefix_ = std::random_device()();
}

SessionPolicy TrafficServer::CallersPolicy() {
  SessionPolicy policy;
  policy.limits = [this] {
    return config_ ? config_->limits : engine::CallerLimits();
  };
  policy.on_request = [this](const auto& session, HttpRequest&& request) {
    OnRequest(session, std::move(request));
  };
  policy.on_overload = [this](const auto& session, const HttpRequest& request) {
    Refuse(session.get(), request, 503, "overloaded");
  };
  policy.closing = [this] { return stopping_ || unable_to_serve_; };
  return policy;
}

SessionPolicy TrafficServer::ReadinessPolicy() {
  SessionPolicy policy;
  policy.limits = [] { return engine::CallerLimits(); };
  policy.on_request = [this](const auto& session, const HttpRequest& request) {
    if (quarantine_.HandleOperator(session, request)) return;
    HttpReply reply;
    if (request.target == kMetricsPath) {
      reply.status = 200;
      reply.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
      reply.body =
          metrics_.Text() + account_metrics_.Text([this](const auto& account) {
            return allowances_.client().TokensHeld(account);
          });
    } else {
      const bool is_readiness =
          request.target.starts_with(settings_.readiness_path);
      reply.status = !is_readiness ? 404 : IsReady() ? 200 : 503;
    }
    session->Reply(reply);
  };
  policy.closing = [] { return false; };
  return policy;
}

SessionPolicy TrafficServer::QueriesPolicy() {
  SessionPolicy policy;
  policy.limits = [this] {
    engine::CallerLimits limits;
    limits.idle_timeout = Millis(60000);
    // A query contains the caller's request, which the peer has checked.
    const auto callers = config_ ? config_->limits : engine::CallerLimits();
    limits.body_bytes = std::max(limits.body_bytes, callers.body_bytes) +
                        std::max(limits.header_bytes, callers.header_bytes) +
                        kMaxParameterBytes;
    limits.body_bytes = std::max(limits.body_bytes, kMaxAllowanceBytes);
    return limits;
  };
  policy.on_request = [this](const auto& session, const HttpRequest& request) {
    OnForwardedQuery(session, request);
  };
  policy.on_overload = [](const auto& session, const HttpRequest&) {
    ReplyOverloaded(session.get(), kServersUnreachableStatus);
  };
  policy.closing = [this] { return stopping_; };
  return policy;
}

bool TrafficServer::IsReady() {
  const bool unable = IsUnableToServe();
  if (unable != unable_to_serve_) {
    Log(Part::kFront)
        .warn(unable
                  ? "cut off from the other data centres: reporting not ready"
                  : "no longer cut off from the other data centres: reporting "
                    "ready");
  }
  unable_to_serve_ = unable;
  return config_ && has_servers_ && !stopping_ && !unable_to_serve_;
}

bool TrafficServer::IsUnableToServe() {
  if (!config_ || !backends_.IsCutOff()) return false;
  if (backends_.IsReportedCutOff()) return true;
  if (unable_reported_at_ &&
      loop_->now() - *unable_reported_at_ < kUnableReportTtl &&
      prober_.IsIsolated()) {
    return true;
  }
  for (const auto& route : config_->routes) {
    if (!route.gather || !route_latencies_.contains(route.id)) continue;
    const auto& shards = route.gather->shards;
    size_t reachable = 0;
    for (const auto& it : shards) {
      reachable +=
          backends_.HasAvailableServer(it, route.allowed_data_centres) ? 1 : 0;
    }
    if (reachable <
        engine::PartsNeeded(route.gather->min_coverage, shards.size())) {
      return true;
    }
  }
  return false;
}

Result<Done> TrafficServer::Listen() {
  listening_since_ = SteadyNow();
  if (settings_.backends.mechanisms.early_request_queue) {
    early_requests_.StartHolding();
  }
  MeasureLoopLag();
  AddGauges();
  callers_.set_limits(settings_.listeners.callers);
  peer_queries_.set_limits(settings_.listeners.peer_queries);
  readiness_.set_limits(settings_.listeners.readiness);
  auto listened = callers_.Listen(settings_.callers);
  if (!IsOk(listened)) return listened;
  if (settings_.peer_queries.port != 0) {
    listened = peer_queries_.Listen(settings_.peer_queries);
    if (!IsOk(listened)) return listened;
  }
  return readiness_.Listen(settings_.readiness);
}

void TrafficServer::SetConfig(
    std::shared_ptr<const engine::TrafficConfig> config) {
  if (config_ && config->version < config_->version) {
    Log(Part::kConfig)
        .warn("configuration {} ignored: older than {} in force",
              config->version, config_->version);
    return;
  }
  config_ = std::move(config);
  route_data_centres_.clear();
  allowances_.SetConfig(config_);
  DivideLimits();
  if (has_servers_) early_requests_.Release();
  Log(Part::kConfig)
      .info("configuration {} in force: {} routes, {} services",
            config_->version, config_->routes.size(), config_->services.size());
}

void TrafficServer::SetPeers(const engine::Peer& own,
                             const std::vector<engine::Peer>& senders,
                             const std::vector<engine::Peer>& relays,
                             const InstancePosition& own_position) {
  peers_.SetPeers(own, senders, relays);
  evidence_.SetPeers(own, senders);
  own_position_ = own_position;
  own_position_.instances = std::max<size_t>(own_position_.instances, 1);
  if (config_) DivideLimits();
}

void TrafficServer::SetProbeTargets(const std::vector<engine::Peer>& peers) {
  prober_.SetPeers(peers);
}

void TrafficServer::CheckCutOff() {
  if (!settings_.backends.mechanisms.cut_off_notices) return;
  unable_reported_at_ = loop_->now();
  // As if a request to each data centre had been unanswered for this long.
  prober_.SuspectAll(loop_->now() - engine::kSilenceThreshold);
}

// Connections and budget slack are divided among the instances that send: all
// instances, or for shards the fan-out senders. The others keep a small share
// for times in which no sender is available.
void TrafficServer::DivideLimits() {
  const engine::SenderCounts sender_counts{
      own_position_.instances, peers_.senders().size(),
      engine::PrimarySenders(peers_.senders()).size()};
  const engine::SenderCounts equal_counts{own_position_.instances, 0, 0};
  engine::SenderRank rank = peers_.Rank();
  if (rank.role == engine::SenderRole::kNotSender) {
    rank.rank = own_position_.rank;
  }
  std::set<ServiceId> shards;
  for (const auto& route : config_->routes) {
    if (!route.gather) continue;
    const auto& all = route.gather->shards;
    shards.insert(all.begin(), all.end());
    if (all.empty()) continue;
    backends_.SetShardSet(*std::min_element(all.begin(), all.end()), all);
  }
  for (const auto& [id, service] : config_->services) {
    const bool is_shard = shards.contains(id);
    const auto& counts = is_shard ? sender_counts : equal_counts;
    const auto own_rank =
        is_shard ? rank
                 : engine::SenderRank{engine::SenderRole::kNotSender,
                                      own_position_.rank};
    const auto share = engine::ComputeShares(counts, own_rank.role);
    ServiceShare own_share;
    own_share.connections =
        static_cast<int>(service.max_connections * share.connections);
    const bool has_share = own_position_.has_share;
    own_share.slack = has_share ? settings_.extra_slack * share.slack : 0;
    if (service.cold_per_second > 0 && has_share) {
      auto limits = settings_.cold_limits;
      limits.per_second = service.cold_per_second;
      own_share.cold_allowance =
          engine::ColdAllowance(limits, counts, own_rank);
      own_share.warmup = service.warmup;
    }
    backends_.SetShare(id, own_share);
  }
}

void TrafficServer::SetServers(
    const std::vector<engine::ServerEntry>& entries) {
  backends_.SetServers(entries);
  has_servers_ = true;
  if (config_) early_requests_.Release();
}

void TrafficServer::SetEvacuated(const std::set<DataCentreId>& data_centres) {
  backends_.SetEvacuated(data_centres);
}

engine::RouteLatency* TrafficServer::RouteLatencyOf(
    const engine::Route& route) {
  auto& route_latency = route_latencies_[route.id];
  if (!route_latency) {
    route_latency = std::make_unique<engine::RouteLatency>(
        engine::InitialRouteLatency(route.target));
  }
  return route_latency.get();
}

std::vector<ServiceId> TrafficServer::ServicesFor(const engine::Route& route) {
  if (route.gather) return route.gather->shards;
  return {engine::NextService(route, &splits_[route.id])};
}

void TrafficServer::Refuse(HttpSession* session, const HttpRequest& request,
                           int status, std::string_view reason,
                           Millis retry_after) {
  const auto id = FindHeader(request.headers, settings_.names.request_id);
  request_log_.LogRefusal(id, status, reason, loop_->now());
  metrics_.CountRefused();
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back({settings_.names.request_id, std::string(id)});
  if (status == 503) {
    reply.headers.push_back({"Retry-After", engine::InSeconds(retry_after)});
  }
  if (status == kUnauthorizedStatus) {
    reply.headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  reply.body = R"({"error":")" + std::string(reason) + R"("})";
  session->Reply(reply);
}

void TrafficServer::OnRequest(const std::shared_ptr<HttpSession>& session,
                              HttpRequest request) {
  if (RefuseAmbiguous(session.get(), request)) return;
  if (!config_ || !has_servers_) {
    if (early_requests_.Hold(session, &request)) return;
    Refuse(session.get(), request, 503, "not_ready",
           engine::RetryAfterNotReady(loop_->now() - listening_since_));
    return;
  }
  if (stopping_ &&
      loop_->now() - stop_started_at_ >= settings_.stop_refuse_after) {
    Refuse(session.get(), request, 503, "leaving");
    return;
  }
  const auto* route = RouteOf(request);
  if (route != nullptr) {
    if (!AdmitCaller(session.get(), *route, &request)) return;
    if (RefuseQuarantined(session, request, *route)) return;
    if (RefuseEarly(session, request, *route)) return;
    if (ForwardToPeer(session, request, *route)) return;
  }
  ServeLocally(session, std::move(request), route);
}

const engine::Route* TrafficServer::RouteOf(const HttpRequest& request) const {
  return engine::FindRoute(*config_, FindHeader(request.headers, "Host"),
                           request.target);
}

void TrafficServer::ServeLocally(const std::shared_ptr<HttpSession>& session,
                                 HttpRequest request,
                                 const engine::Route* route) {
  if (route == nullptr) {
    Refuse(session.get(), request, 404, "unknown_route");
    return;
  }
  Serve(session, config_, std::move(request), *route, std::nullopt);
}

bool TrafficServer::AreKeysConfirmed() const {
  if (!settings_.revoke_after) return true;
  return confirmed_at_ &&
         loop_->now() - *confirmed_at_ <= *settings_.revoke_after;
}

bool TrafficServer::AdmitCaller(HttpSession* session,
                                const engine::Route& route,
                                HttpRequest* request) {
  switch (IdentifyCaller(*config_, route, settings_.names, AreKeysConfirmed(),
                         request)) {
    case engine::Access::kGranted:
      return true;
    case engine::Access::kDenied:
      Refuse(session, *request, kUnauthorizedStatus, "unknown_key");
      return false;
    case engine::Access::kUnconfirmed:
      Refuse(session, *request, 503, "keys_unconfirmed");
      return false;
  }
  return false;
}

void TrafficServer::Run(
    const std::shared_ptr<HttpSession>& session,
    const std::shared_ptr<const engine::TrafficConfig>& config,
    HttpRequest request, const engine::Route& route,
    const std::optional<ForwardedQuery>& forwarded,
    const Admission& admission) {
  const std::string id(FindHeader(request.headers, settings_.names.request_id));
  auto query = std::make_shared<QueryRun>(
      &context_, config, &route, RouteLatencyOf(route), std::move(request));
  std::vector<ServiceId> services;
  if (admission.deadlines) {
    query->set_forwarded(*admission.deadlines);
  } else if (forwarded) {
    query->set_forwarded(forwarded->deadlines);
  }
  if (forwarded && !forwarded->shard_indices.empty()) {
    for (const size_t i : forwarded->shard_indices) {
      services.push_back(route.gather->shards[i]);
    }
    query->set_shard_indices(forwarded->shard_indices);
  } else {
    services = ServicesFor(route);
  }
  running_.insert(query);
  CancelOnDisconnect(session, query, admission);
  const std::weak_ptr<QueryRun> weak = query;
  query->Start(services, [this, session, weak, id, route_id = route.id,
                          version = config->version,
                          is_forwarded = forwarded.has_value(),
                          admission](const QueryOutcome& outcome) {
    metrics_.Count(outcome);
    request_log_.LogOutcome(id, route_id, version, outcome, loop_->now());
    RecordFanOut(route_id, version, outcome);
    const auto ended = weak.lock();
    CountEnd(admission, ended.get(), outcome);
    if (is_forwarded) {
      AnswerPeer(session, outcome, ended);
    } else {
      session->Reply(outcome.reply);
    }
    if (ended && outcome.open_shards.empty()) running_.erase(ended);
  });
}

// Partial queries for peers are left out: they have no minimum coverage.
void TrafficServer::RecordFanOut(const RouteId& id, uint64_t version,
                                 const QueryOutcome& outcome) {
  if (outcome.shards == 0 || config_->version != version) return;
  for (const auto& route : config_->routes) {
    if (route.id != id || !route.gather) continue;
    const auto& shards = route.gather->shards;
    if (outcome.shards != shards.size()) return;
    backends_.RecordFanOut(
        *std::min_element(shards.begin(), shards.end()), outcome.shards,
        outcome.shards_received,
        engine::PartsNeeded(route.gather->min_coverage, shards.size()));
    return;
  }
}

void TrafficServer::CancelOnDisconnect(
    const std::shared_ptr<HttpSession>& session,
    const std::shared_ptr<QueryRun>& query, const Admission& admission) {
  session->set_on_disconnect([this, query, admission] {
    ReturnToken(admission, *query);
    query->Cancel();
    running_.erase(query);
  });
}

void TrafficServer::Stop(const std::function<void()>& done) {
  if (stopping_) return;
  stopping_ = true;
  stop_started_at_ = loop_->now();
  Log(Part::kDaemon)
      .info("stopping: reporting not ready, {} queries running",
            running_.size());
  ContinueStop(done);
}

void TrafficServer::ContinueStop(const std::function<void()>& done) {
  const Millis elapsed = loop_->now() - stop_started_at_;
  if (elapsed >= settings_.stop_answer_after) AnswerRemaining();
  const bool is_idle = elapsed >= settings_.stop_refuse_after &&
                       running_.empty() && token_waits_.empty() &&
                       callers_.busy_sessions() == 0;
  if (is_idle && callers_.IsAccepting()) {
    // Accepting until the very end would break connections unanswered. What
    // they send is read until the next check.
    callers_.StopAccepting();
  } else if (is_idle) {
    callers_.CloseIdle();
  }
  // Time for the last replies to be read before the process ends.
  constexpr Millis kLastReadTime{400};
  if (elapsed >= settings_.stop_exit_after ||
      (is_idle && elapsed >= settings_.stop_refuse_after + kLastReadTime)) {
    done();
    return;
  }
  loop_->RunAt(loop_->now() + kStopCheckInterval,
               [this, done] { ContinueStop(done); });
}

}  // namespace hibiscuspick::edge
