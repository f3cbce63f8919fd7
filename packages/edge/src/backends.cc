#include "hibiscuspick/edge/backends.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "backends_impl.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/engine/load_report.h"

namespace hibiscuspick::edge {
namespace {

// A superfluous attempt may finish within this time, which keeps the connection
// and gives a latency sample of the server; after that the connection is closed
// to free the server's slot.
constexpr Millis kAbandonGrace{350};

// Lower bound, so that a service whose servers are all slow has a finite wait.
constexpr double kMinConcurrency = 0.2;

using QueuePosition = std::map<QueueKey, QueuedPart>::const_iterator;

double PartCount(QueuePosition begin, QueuePosition end) {
  return static_cast<double>(std::distance(begin, end));
}

}  // namespace

Backends::Backends(Loop* loop, BackendsPolicy policy, Prober* prober,
                   const ByteCounters* part_bytes)
    : loop_(loop),
      policy_(std::move(policy)),
      prober_(prober),
      part_bytes_(part_bytes) {
  silence_timer_ = loop_->RunAt(SteadyNow() + kSilenceCheckInterval,
                                [this] { CheckSilentServers(); });
}

// Closes all channels: a channel and its stream hold references to each other
// until one is closed.
Backends::~Backends() {
  loop_->Cancel(silence_timer_);
  for (const auto& [id, server] : servers_) {
    for (const auto& it : server->idle) it->Close();
  }
  for (const auto& [id, attempt] : attempts_) {
    if (attempt->channel) attempt->channel->Close();
  }
}

Backends::ServiceState& Backends::StateOf(const ServiceId& service) {
  auto& state = services_[service];
  if (!state) {
    state = std::make_unique<ServiceState>();
    state->id = service;
  }
  return *state;
}

engine::ExtraAttemptLimits Backends::LimitsOf(const ServiceState& state) const {
  auto limits = policy_.extra_attempt_limits;
  limits.slack = state.share.slack - state.reserved_extra_attempts;
  return limits;
}

bool Backends::HasExtraAttempt(const ServiceId& service, double reserve) {
  const auto& state = StateOf(service);
  return engine::HasExtraAttempt(state.extra_budget, LimitsOf(state),
                                 loop_->now(), reserve);
}

void Backends::TakeExtraAttempt(const ServiceId& service) {
  auto& state = StateOf(service);
  engine::TakeExtraAttempt(&state.extra_budget, LimitsOf(state), loop_->now());
}

bool Backends::ReserveExtraAttempt(const ServiceId& service) {
  if (!HasExtraAttempt(service, 0)) return false;
  ++StateOf(service).reserved_extra_attempts;
  return true;
}

void Backends::ReleaseExtraAttempt(const ServiceId& service) {
  --StateOf(service).reserved_extra_attempts;
}

void Backends::CountRequest(const ServiceId& service) {
  auto& state = StateOf(service);
  engine::CountRequest(&state.extra_budget, LimitsOf(state), loop_->now());
}

void Backends::SetShare(const ServiceId& service, const ServiceShare& share) {
  auto& state = StateOf(service);
  state.share = share;
  state.share.connections = std::max(1, share.connections);
}

bool Backends::HasAvailableServer(
    const ServiceId& service,
    const engine::AllowedDataCentres& allowed_data_centres,
    const std::vector<BackendServerId>& excluded) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  const auto& servers = found->second->servers;
  return std::any_of(servers.begin(), servers.end(), [&](auto& it) {
    return MayServe(*it, allowed_data_centres) &&
           std::find(excluded.begin(), excluded.end(), it->view.entry.id) ==
               excluded.end();
  });
}

std::optional<engine::ShardEstimate> Backends::EstimateShard(
    const ServiceId& service, Millis median_latency, Millis due,
    const engine::AllowedDataCentres& allowed_data_centres) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const auto& state = *found->second;
  std::optional<Millis> fastest;
  double concurrency = 0;
  for (const auto& it : state.servers) {
    const auto& view = it->view;
    if (!MayServe(*it, allowed_data_centres)) continue;
    const Millis service_time =
        median_latency *
        engine::RelativeLatency(view, policy_.choice, loop_->now());
    fastest = fastest ? Min(*fastest, service_time) : service_time;
    double server_concurrency =
        static_cast<double>(engine::OpenAttemptLimit(view, policy_.choice)) *
        (median_latency.count / service_time.count);
    if (state.share.cold_allowance && loop_->now() < view.warm_at) {
      server_concurrency =
          std::min(server_concurrency,
                   *state.share.cold_allowance *
                       (median_latency.count / engine::kColdWindow.count));
    }
    concurrency += server_concurrency;
  }
  if (!fastest) return std::nullopt;
  const Millis time_per_part =
      median_latency * (1 / std::max(concurrency, kMinConcurrency));
  engine::ShardEstimate estimate{Millis(0), *fastest, Millis(0), time_per_part};
  if (state.queue.empty()) return estimate;
  const auto& queue = state.queue;
  const auto on_time_end = queue.upper_bound({false, due.count, 0, 0});
  const auto deprioritized_end = queue.upper_bound({true, due.count, 0, 0});
  estimate.queue_wait = time_per_part * PartCount(queue.begin(), on_time_end);
  estimate.deprioritized_wait =
      estimate.queue_wait +
      time_per_part * PartCount(on_time_end, deprioritized_end);
  return estimate;
}

std::optional<StartedAttempt> Backends::TryStart(AttemptSpec spec) {
  Server* chosen = ChooseServer(spec, true);
  if (chosen == nullptr) return std::nullopt;
  const auto server = chosen->shared_from_this();
  const AttemptId id(++last_attempt_id_);
  engine::RecordSent(&server->view,
                     {id, loop_->now(), loop_->now() + spec.overdue_after});
  if (StateOf(spec.service).share.cold_allowance) {
    engine::AddRecentSend(&server->view.recent_sends, loop_->now());
  }
  auto attempt = std::make_unique<Attempt>();
  attempt->server = server;
  attempt->spec = std::move(spec);
  attempt->sent_at = loop_->now();
  const auto channel = TakeIdleChannel(server.get(), attempt->spec);
  attempts_.emplace(id, std::move(attempt));
  if (channel) {
    SendOnChannel(channel, id);
  } else {
    ConnectFor(server, id);
  }
  return StartedAttempt{id, server->view.entry.id};
}

// Takes the connection used last, which is the most likely to be alive.
std::shared_ptr<HttpChannel> Backends::TakeIdleChannel(
    Server* server, const AttemptSpec& spec) {
  const Millis max_age =
      server->idle_timeout * (spec.not_idempotent ? 0.5 : 0.9);
  const auto may_get_late_reply = [&](const HttpChannel& it) {
    if (spec.request_id.empty() && it.WasUsed()) return true;
    return std::find(spec.refused_on.begin(), spec.refused_on.end(), it.id()) !=
           spec.refused_on.end();
  };
  auto& idle = server->idle;
  std::vector<std::shared_ptr<HttpChannel>> skipped;
  std::shared_ptr<HttpChannel> chosen;
  while (!idle.empty() && !chosen) {
    const auto channel = std::move(idle.back());
    idle.pop_back();
    if (!channel->IsIdle()) continue;
    const Millis age = loop_->now() - channel->idle_since();
    if (channel->HasEnded() || age >= max_age) {
      channel->Close();
    } else if (may_get_late_reply(*channel)) {
      skipped.push_back(channel);
    } else {
      chosen = channel;
    }
  }
  // A new connection takes the place of one of these, so that the number of
  // connections to the server does not grow.
  if (!chosen && !skipped.empty()) {
    skipped.back()->Close();
    skipped.pop_back();
  }
  idle.insert(idle.end(), skipped.rbegin(), skipped.rend());
  return chosen;
}

void Backends::ConnectFor(const std::shared_ptr<Server>& server, AttemptId id) {
  auto channel = std::make_shared<HttpChannel>(loop_);
  CountRemoteBytes(channel.get(), *server);
  attempts_.at(id)->channel = channel;
  channel->Connect(server->view.entry.address, policy_.connect_timeout,
                   [this, server, channel, id](bool ok) {
                     const bool is_needed = attempts_.contains(id);
                     if (!ok) {
                       // Also if another server has answered meanwhile: else
                       // an unreachable server that always loses to a hedge
                       // would get attempts for as long as it is.
                       ScheduleProbe(server);
                       if (is_needed) EndAttempt(id, AttemptEnd::kNotSent, {});
                       return;
                     }
                     const auto may_send =
                         is_needed ? attempts_.at(id)->spec.may_send : nullptr;
                     if (is_needed && IsEvacuated(*server)) {
                       KeepChannel(server, channel);
                       EndAttempt(id, AttemptEnd::kNotSent, {});
                     } else if (may_send && !may_send(id)) {
                       KeepChannel(server, channel);
                       EndAttempt(id, AttemptEnd::kWithdrawn, {});
                     } else if (is_needed) {
                       attempts_.at(id)->sent_at = loop_->now();
                       SendOnChannel(channel, id);
                     } else {
                       KeepChannel(server, channel);
                     }
                   });
}

void Backends::CountRemoteBytes(HttpChannel* channel,
                                const Server& server) const {
  if (server.view.entry.data_centre != policy_.choice.own_data_centre) {
    channel->set_byte_counters(part_bytes_);
  }
}

void Backends::SendOnChannel(const std::shared_ptr<HttpChannel>& channel,
                             AttemptId id) {
  auto& attempt = *attempts_.at(id);
  attempt.channel = channel;
  attempt.was_sent = true;
  HttpChannel::Exchange exchange;
  exchange.text = attempt.spec.serialize_for(attempt.server->view.entry.id);
  exchange.is_head = attempt.spec.is_head;
  exchange.max_reply_bytes = policy_.max_reply_bytes;
  exchange.memory = &reply_memory_;
  exchange.expectation = {attempt.spec.names,
                          std::string(attempt.spec.request_id)};
  exchange.on_reply = [this, id](ExchangeEnd end, HttpReply reply) {
    OnReply(id, end, std::move(reply));
  };
  channel->Send(std::move(exchange));
}

void Backends::OnReply(AttemptId id, ExchangeEnd end, HttpReply reply) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto server = found->second->server;
  const auto channel = found->second->channel;
  if (channel->defect() != ReplyDefect::kNone) LogDefect(*found->second);
  if (end == ExchangeEnd::kReply || end == ExchangeEnd::kRejected) {
    RecordContact(server.get());
  }
  if (end == ExchangeEnd::kReply) {
    ReadIdleTimeout(reply, &server->idle_timeout);
    if (channel->IsIdle()) KeepChannel(server, channel);
    EndAttempt(id, AttemptEnd::kReply, std::move(reply));
  } else {
    if (end == ExchangeEnd::kTooLarge) LogOversizedReply(*found->second);
    EndAttempt(id,
               end == ExchangeEnd::kUnsent ? AttemptEnd::kNotSent
                                           : AttemptEnd::kBroken,
               {}, end == ExchangeEnd::kBroken);
  }
}

void Backends::LogOversizedReply(const Attempt& attempt) {
  if (!TakeLine(&oversized_lines_, loop_->now())) return;
  Log(Part::kBackend)
      .warn(
          "request {}: reply of server {} of service {} exceeds the limit of "
          "{}: {} bytes read",
          attempt.spec.request_id, attempt.server->view.entry.id.text,
          attempt.server->view.entry.service.text,
          ElementName(attempt.channel->exceeded()),
          attempt.channel->reply_bytes());
}

void Backends::LogDefect(const Attempt& attempt) {
  if (!TakeLine(&defect_lines_, loop_->now())) return;
  Log(Part::kBackend)
      .warn("request {}: reply of server {} of service {} is no answer: {}",
            attempt.spec.request_id, attempt.server->view.entry.id.text,
            attempt.server->view.entry.service.text,
            DefectName(attempt.channel->defect()));
}

AttemptResult Backends::ResultOf(AttemptId id, const Attempt& attempt,
                                 AttemptEnd end, Millis now) {
  AttemptResult result;
  result.id = id;
  result.server = attempt.server->view.entry.id;
  result.view = {attempt.server, &attempt.server->view};
  result.end = end;
  if (attempt.channel) result.channel = attempt.channel->id();
  result.latency = now - attempt.sent_at;
  return result;
}

void Backends::EndAttempt(AttemptId id, AttemptEnd end, HttpReply reply,
                          bool connection_lost) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto attempt = std::move(found->second);
  attempts_.erase(found);
  const auto server = attempt->server;
  if (end != AttemptEnd::kReply && end != AttemptEnd::kWithdrawn) {
    prober_->RecordFailure(server->view.entry.data_centre);
  }
  AttemptResult result = ResultOf(id, *attempt, end, loop_->now());
  if (connection_lost && attempt->spec.on_connection_lost) {
    attempt->spec.on_connection_lost(result);
  }
  result.reply = std::move(reply);
  if (attempt->spec.on_end) {
    attempt->spec.on_end(std::move(result));
  }
  // on_end has recorded the result; this removes the attempt if it did not.
  engine::RecordCancelled(&server->view, id);
  EraseIfUnused(server);
  ScheduleDispatch(server->view.entry.service);
}

void Backends::Abandon(AttemptId id, bool stop_server) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = *found->second;
  attempt.spec.on_end = nullptr;
  // Where parts wait for a slot, superfluous work delays them: in a query
  // answered at its target, two of twenty parts are superfluous. A new
  // connection costs less.
  const auto& queue = StateOf(attempt.server->view.entry.service).queue;
  const bool blocks_queue =
      policy_.mechanisms.preempt_abandoned && !queue.empty();
  // A request that is still connecting is not sent any more: its query may
  // have been answered as one that has not run.
  if (!stop_server && !blocks_queue && attempt.was_sent) {
    // The reply is still a latency sample of the server.
    attempt.spec.on_end = [this, median_latency = attempt.spec.median_latency](
                              const AttemptResult& it) {
      // A refusal or failure does not tell how long the server takes.
      if (it.end == AttemptEnd::kReply && IsSuccess(it.reply.status)) {
        RecordReply(it, median_latency);
      }
    };
    loop_->RunAt(loop_->now() + kAbandonGrace,
                 [this, id] { Abandon(id, true); });
    return;
  }
  if (attempt.channel && attempt.was_sent) attempt.channel->Close();
  SuspectIfSilent(attempt.server, attempt.sent_at);
  RecordIfOverdue(attempt);
  EndAttempt(id, AttemptEnd::kBroken, {});
}

void Backends::KeepChannel(const std::shared_ptr<Server>& server,
                           const std::shared_ptr<HttpChannel>& channel) {
  if (server->view.removed || server->view.draining) {
    channel->Close();
    return;
  }
  RecordContact(server.get());
  server->view.unreachable = false;
  std::erase_if(server->idle, [](auto& it) { return !it->IsIdle(); });
  server->idle.push_back(channel);
}

void Backends::RecordFailure(const AttemptResult& result) {
  RecordFailureEvidence(result);
  engine::RecordFailure(result.view.get(), result.id, policy_.choice,
                        loop_->now());
}

void Backends::RecordRefusal(const AttemptResult& result) {
  engine::RecordRefusal(result.view.get(), result.id, policy_.choice,
                        loop_->now());
}

void Backends::RecordWarmup(const AttemptResult& result, Millis left) {
  result.view->warm_at = loop_->now() + left;
}

void Backends::RecordReply(const AttemptResult& result, Millis median_latency) {
  RecordEvidence(result, engine::EvidenceOutcome::kAnswered,
                 result.latency.count / std::max(median_latency.count, 0.1));
  engine::RecordReply(result.view.get(), result.id, result.latency,
                      median_latency, policy_.choice, loop_->now());
  auto* server = result.view.get();
  const auto& cycle = StateOf(server->entry.service).pause_cycle;
  if (!cycle) return;
  const auto report = engine::ParseLoadReport(
      FindHeader(result.reply.headers, policy_.load_header));
  engine::RecordReplyLatency(
      &server->pauses, cycle.get(), result.latency,
      median_latency * (report ? report->work_factor : 1), loop_->now());
}

}  // namespace hibiscuspick::edge
