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
constexpr Millis kAbandonedTime{350};

// Lower bound, so that a service whose servers are all slow has a finite wait.
constexpr double kLeastAtOnce = 0.2;

using Place = std::map<WaitKey, Waiting>::const_iterator;

double PartsIn(Place begin, Place end) {
  return static_cast<double>(std::distance(begin, end));
}

}  // namespace

Backends::Backends(Loop* loop, BackendsPolicy policy, Prober* prober)
    : loop_(loop), policy_(std::move(policy)), prober_(prober) {
  sweep_ =
      loop_->At(SteadyNow() + kSweepInterval, [this] { LookForSilence(); });
}

// Closes all channels: a channel and its stream hold references to each other
// until one is closed.
Backends::~Backends() {
  loop_->Cancel(sweep_);
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
  auto limits = policy_.extra;
  limits.slack = state.share.slack;
  return limits;
}

bool Backends::HasExtra(const ServiceId& service, double reserve) {
  const auto& state = StateOf(service);
  return engine::HasExtraAttempt(state.extra, LimitsOf(state), loop_->now(),
                                 reserve);
}

void Backends::TakeExtra(const ServiceId& service) {
  auto& state = StateOf(service);
  engine::TakeExtraAttempt(&state.extra, LimitsOf(state), loop_->now());
}

void Backends::CountRequest(const ServiceId& service) {
  auto& state = StateOf(service);
  engine::CountRequest(&state.extra, LimitsOf(state), loop_->now());
}

void Backends::SetShare(const ServiceId& service, const ServiceShare& share) {
  auto& state = StateOf(service);
  state.share = share;
  state.share.connections = std::max(1, share.connections);
}

bool Backends::HasServerInReach(const ServiceId& service,
                                const engine::AllowedDataCentres& homes) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  const auto& servers = found->second->servers;
  return std::any_of(servers.begin(), servers.end(),
                     [&](auto& it) { return MayServe(*it, homes); });
}

std::optional<engine::ShardEstimate> Backends::Outlook(
    const ServiceId& service, Millis usual, Millis due,
    const engine::AllowedDataCentres& homes) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const auto& state = *found->second;
  std::optional<Millis> fastest;
  double at_once = 0;
  for (const auto& it : state.servers) {
    const auto& belief = it->belief;
    if (!MayServe(*it, homes)) continue;
    const Millis cost =
        usual * engine::RelativeLatency(belief, policy_.choice, loop_->now());
    fastest = fastest ? Min(*fastest, cost) : cost;
    double here =
        static_cast<double>(engine::OpenAttemptLimit(belief, policy_.choice)) *
        (usual.count / cost.count);
    if (state.share.when_cold && loop_->now() < belief.warm_at) {
      here = std::min(here, *state.share.when_cold *
                                (usual.count / engine::kColdWindow.count));
    }
    at_once += here;
  }
  if (!fastest) return std::nullopt;
  engine::ShardEstimate outlook{Millis(0), *fastest, Millis(0)};
  if (state.waiting.empty()) return outlook;
  const Millis each = usual * (1 / std::max(at_once, kLeastAtOnce));
  const auto& waiting = state.waiting;
  const auto in_time = waiting.upper_bound({false, due.count, 0, 0});
  const auto behind = waiting.upper_bound({true, due.count, 0, 0});
  outlook.queue_wait = each * PartsIn(waiting.begin(), in_time);
  outlook.deprioritized_wait =
      outlook.queue_wait + each * PartsIn(in_time, behind);
  return outlook;
}

Backends::Server* Backends::Choose(const AttemptOrder& order) {
  auto& state = StateOf(order.service);
  const Millis now = loop_->now();
  static const engine::AllowedDataCentres anywhere;
  const auto& homes = order.homes != nullptr ? *order.homes : anywhere;
  auto choice = policy_.choice;
  choice.max_open_attempts =
      std::min(choice.max_open_attempts, state.share.connections);
  choice.cold_allowance = state.share.when_cold;
  JoinPauseCycle(&state, order.budget_of);
  choice.pause_cycle = state.pause_cycle.get();
  if (policy_.mechanisms.dearer_failing &&
      !HasExtra(order.budget_of, engine::kUrgentReserve)) {
    choice.failure_cost = choice.unbudgeted_failure_cost;
  }
  std::vector<const engine::ServerView*> beliefs;
  std::vector<Server*> servers;
  const size_t n = state.servers.size();
  ++state.turn;
  for (size_t i = 0; i < n; ++i) {
    Server* server = state.servers[(i + state.turn) % n].get();
    const auto& belief = server->belief;
    if (!MayServe(*server, homes)) continue;
    if (order.only_unsuspected && engine::IsPauseSuspected(belief, now))
      continue;
    if (std::find(order.excluded.begin(), order.excluded.end(),
                  belief.entry.id) != order.excluded.end()) {
      continue;
    }
    beliefs.push_back(&belief);
    servers.push_back(server);
  }
  const auto best = engine::ChooseServer(beliefs, choice, order.usual, now);
  return best ? servers[*best] : nullptr;
}

void Backends::JoinPauseCycle(ServiceState* state, const ServiceId& kind) {
  if (state->pause_cycle || !policy_.mechanisms.expected_pauses) return;
  auto& cycle = pause_cycles_[kind];
  if (!cycle) cycle = std::make_shared<engine::PauseCycle>();
  state->pause_cycle = cycle;
}

std::optional<StartedAttempt> Backends::TryStart(AttemptOrder order) {
  Server* chosen = Choose(order);
  if (chosen == nullptr) return std::nullopt;
  const auto server = chosen->shared_from_this();
  const AttemptId id(++last_attempt_);
  engine::RecordSent(&server->belief,
                     {id, loop_->now(), loop_->now() + order.overdue_after});
  if (StateOf(order.service).share.when_cold) {
    engine::AddRecentSend(&server->belief.recent_sends, loop_->now());
  }
  auto attempt = std::make_unique<Attempt>();
  attempt->server = server;
  attempt->order = std::move(order);
  attempt->sent = loop_->now();
  const bool once = attempt->order.once;
  attempts_.emplace(id, std::move(attempt));
  if (const auto channel = TakeIdle(server.get(), once)) {
    SendOn(channel, id);
  } else {
    OpenFor(server, id);
  }
  return StartedAttempt{id, server->belief.entry.id};
}

// Takes the connection used last, which is the most likely to be alive.
std::shared_ptr<HttpChannel> Backends::TakeIdle(Server* server, bool once) {
  auto& idle = server->idle;
  while (!idle.empty()) {
    auto channel = idle.back();
    idle.pop_back();
    if (!channel->IsIdle()) continue;
    const Millis age = loop_->now() - channel->idle_since();
    const Millis bound =
        once ? server->idle_timeout * 0.5 : server->idle_timeout * 0.9;
    if (age < bound) return channel;
    channel->Close();
  }
  return nullptr;
}

void Backends::OpenFor(const std::shared_ptr<Server>& server, AttemptId id) {
  auto channel = std::make_shared<HttpChannel>(loop_);
  attempts_.at(id)->channel = channel;
  channel->Connect(server->belief.entry.address, policy_.connect_timeout,
                   [this, server, channel, id](bool ok) {
                     const bool wanted = attempts_.contains(id);
                     if (!ok) {
                       if (!wanted) return;
                       Probe(server);
                       EndAttempt(id, AttemptEnd::kNotSent, {});
                       return;
                     }
                     if (wanted && IsEvacuated(*server)) {
                       KeepChannel(server, channel);
                       EndAttempt(id, AttemptEnd::kNotSent, {});
                     } else if (wanted) {
                       attempts_.at(id)->sent = loop_->now();
                       SendOn(channel, id);
                     } else {
                       KeepChannel(server, channel);
                     }
                   });
}

void Backends::SendOn(const std::shared_ptr<HttpChannel>& channel,
                      AttemptId id) {
  auto& attempt = *attempts_.at(id);
  attempt.channel = channel;
  attempt.was_sent = true;
  HttpChannel::Exchange exchange;
  exchange.text = attempt.order.text_for(attempt.server->belief.entry.id);
  exchange.to_head = attempt.order.to_head;
  exchange.reply_bytes = policy_.reply_bytes;
  exchange.is_ours = attempt.order.is_ours;
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
  if (end == ExchangeEnd::kReply) {
    RecordContact(server.get());
    NoteIdleTimeout(reply, &server->idle_timeout);
    if (channel->IsIdle()) KeepChannel(server, channel);
    EndAttempt(id, AttemptEnd::kReply, std::move(reply));
  } else {
    EndAttempt(id, AttemptEnd::kBroken, {});
  }
}

void Backends::EndAttempt(AttemptId id, AttemptEnd end, HttpReply reply) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto attempt = std::move(found->second);
  attempts_.erase(found);
  const auto server = attempt->server;
  if (end != AttemptEnd::kReply) {
    prober_->NoteFailed(server->belief.entry.data_centre);
  }
  AttemptResult result;
  result.id = id;
  result.server = server->belief.entry.id;
  result.belief = {server, &server->belief};
  result.end = end;
  result.reply = std::move(reply);
  result.latency = loop_->now() - attempt->sent;
  if (attempt->order.on_end) {
    attempt->order.on_end(std::move(result));
  }
  // on_end has recorded the result; this removes the attempt if it did not.
  engine::RecordCancelled(&server->belief, id);
  Forget(server);
  PumpSoon(server->belief.entry.service);
}

void Backends::Abandon(AttemptId id, bool stop_server) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = *found->second;
  attempt.order.on_end = nullptr;
  // Where parts wait for a slot, superfluous work delays them: in a query
  // answered at its target, two of twenty parts are superfluous. A new
  // connection costs less.
  const auto& waiting = StateOf(attempt.server->belief.entry.service).waiting;
  const bool in_the_way =
      policy_.mechanisms.room_from_abandoned && !waiting.empty();
  if (!stop_server && !in_the_way) {
    // The reply is still a latency sample of the server.
    attempt.order.on_end =
        [this, usual = attempt.order.usual](const AttemptResult& it) {
          if (it.end == AttemptEnd::kReply) {
            NoteReply(it, usual);
          }
        };
    loop_->At(loop_->now() + kAbandonedTime, [this, id] { Abandon(id, true); });
    return;
  }
  if (attempt.channel && attempt.was_sent) attempt.channel->Close();
  DoubtSilent(attempt.server, attempt.sent);
  EndAttempt(id, AttemptEnd::kBroken, {});
}

void Backends::KeepChannel(const std::shared_ptr<Server>& server,
                           const std::shared_ptr<HttpChannel>& channel) {
  if (server->belief.removed || server->belief.draining) {
    channel->Close();
    return;
  }
  RecordContact(server.get());
  server->belief.unreachable = false;
  std::erase_if(server->idle, [](auto& it) { return !it->IsIdle(); });
  server->idle.push_back(channel);
}

void Backends::NoteFailure(const AttemptResult& result) {
  engine::RecordFailure(result.belief.get(), result.id, policy_.choice,
                        loop_->now());
}

void Backends::NoteWarmup(const AttemptResult& result, Millis left) {
  result.belief->warm_at = loop_->now() + left;
}

void Backends::NoteReply(const AttemptResult& result, Millis usual) {
  engine::RecordReply(result.belief.get(), result.id, result.latency, usual,
                      policy_.choice, loop_->now());
  auto* server = result.belief.get();
  const auto& cycle = StateOf(server->entry.service).pause_cycle;
  if (!cycle) return;
  const auto load = engine::ParseLoadReport(
      FindHeader(result.reply.headers, policy_.load_header));
  engine::RecordReplyLatency(&server->pauses, cycle.get(), result.latency,
                             usual * (load ? load->work_factor : 1),
                             loop_->now());
}

}  // namespace hibiscuspick::edge
