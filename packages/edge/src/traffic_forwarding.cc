// Queries that this instance forwards to peers, and queries that peers forward
// to it.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/allowance_wire.h"
#include "hibiscuspick/edge/caller_fields.h"
#include "hibiscuspick/edge/caller_identity.h"
#include "hibiscuspick/edge/forwarding_wire.h"
#include "hibiscuspick/edge/traffic_server.h"

namespace hibiscuspick::edge {
namespace {

// Grace after the query's deadline before a peer's answer is given up.
constexpr Millis kForwardingGrace{100};

constexpr int kAnsweredStatus = 200;

// Refuses a peer's query because configuration version, shards or token do not
// match.
void AnswerMismatch(HttpSession* session) {
  HttpReply reply;
  reply.status = kVersionMismatchStatus;
  session->Reply(reply);
}

}  // namespace

void TrafficServer::OnForwardedQuery(
    const std::shared_ptr<HttpSession>& session, const HttpRequest& request) {
  // The sender is about to exit: the query would be lost with it.
  if (stopping_ &&
      loop_->now() - stop_started_at_ >= settings_.stop_refuse_after) {
    HttpReply reply;
    reply.status = kServersUnreachableStatus;
    session->Reply(reply);
    return;
  }
  if (!IsPeerMessage(request)) {
    AnswerMismatch(session.get());
    return;
  }
  if (request.target == kAllowancePath) {
    OnAllowanceMessage(session, request);
    return;
  }
  if (evidence_.HandleMessage(session, request)) return;
  if (quarantine_.HandleMessage(session, request)) return;
  auto decoded = DecodeForwardedQuery(request);
  if (!decoded) {
    AnswerMismatch(session.get());
    return;
  }
  const ForwardedQuery& forwarded = decoded->query;
  quarantine_.TakeReport(forwarded.quarantine_report);
  if (!forwarded.remainder.token.empty()) {
    OnRemainderRequested(session, forwarded);
    return;
  }
  const engine::Route* route = nullptr;
  if (config_ && has_servers_ && forwarded.config_version == config_->version) {
    route = RouteOf(decoded->request);
  }
  const bool matches =
      route != nullptr &&
      (forwarded.shard_indices.empty() ||
       (route->gather &&
        std::all_of(
            forwarded.shard_indices.begin(), forwarded.shard_indices.end(),
            [&](size_t i) { return i < route->gather->shards.size(); })));
  if (!matches || !MatchesAccounts(*config_, *route, forwarded.account)) {
    AnswerMismatch(session.get());
    return;
  }
  decoded->request.account = forwarded.account;
  Serve(session, config_, std::move(decoded->request), *route, forwarded);
}

void TrafficServer::AnswerPeer(
    const std::shared_ptr<HttpSession>& session, const QueryOutcome& outcome,
    const std::shared_ptr<QueryRun>& query,
    const std::optional<engine::TokenGrant>& refusal) {
  PeerAnswer answer;
  answer.reply = outcome.reply;
  answer.shards = outcome.shard_states;
  answer.open_shards = outcome.open_shards;
  answer.allowance_refusal = refusal;
  answer.processing_time = outcome.latency;
  answer.utilisation = peers_.own_utilisation();
  const bool runs_elsewhere = outcome.fault == QueryFault::kNoServer ||
                              outcome.fault == QueryFault::kStopping;
  const bool is_unreachable = runs_elsewhere && !outcome.may_have_run;
  answer.is_cut_off = is_unreachable && IsUnableToServe();
  if (query) {
    answer.quarantine_report = quarantine_.ReportOf(query->fingerprint());
  }
  if (query && !outcome.open_shards.empty()) {
    // Random, so that a token of an earlier run of this instance names nothing.
    const std::string token =
        fmt::format("{:x}-{}", token_prefix_, ++last_token_number_);
    answer.remainder_token = token;
    remainders_[token] = query;
    loop_->RunAt(loop_->now() + kRemainderTtl, [this, token] {
      const auto expired = remainders_.extract(token);
      if (expired.empty()) return;
      expired.mapped()->DropRemainder();
      running_.erase(expired.mapped());
    });
  }
  session->Reply(EncodePeerAnswer(
      answer, is_unreachable ? kServersUnreachableStatus : kAnsweredStatus));
}

// Handles a peer's request for parts missing from an earlier answer.
void TrafficServer::OnRemainderRequested(
    const std::shared_ptr<HttpSession>& session,
    const ForwardedQuery& forwarded) {
  const auto found = remainders_.extract(forwarded.remainder.token);
  if (found.empty()) {
    AnswerMismatch(session.get());
    return;
  }
  const auto query = found.mapped();
  CancelOnDisconnect(session, query, {});
  const std::weak_ptr<QueryRun> weak = query;
  query->Resume(forwarded.deadlines, forwarded.shard_indices,
                forwarded.remainder.needed,
                [this, session, weak](const QueryOutcome& outcome) {
                  const auto ended = weak.lock();
                  AnswerPeer(session, outcome, ended);
                  if (ended && outcome.open_shards.empty()) {
                    running_.erase(ended);
                  }
                });
}

const std::vector<DataCentreId>& TrafficServer::DataCentresOf(
    const engine::Route& route, const engine::AllowedDataCentres& allowed) {
  const auto [it, is_new] =
      route_data_centres_.try_emplace(std::pair(route.id, allowed));
  auto& held = it->second;
  if (is_new || held.generation != backends_.generation()) {
    held = {backends_.generation(),
            backends_.DataCentresOf(route.gather->shards, allowed)};
  }
  return held.data_centres;
}

// Forwards a fan-out to a better-placed peer; false if this instance should run
// it.
bool TrafficServer::ForwardToPeer(const std::shared_ptr<HttpSession>& session,
                                  const HttpRequest& request,
                                  const engine::Route& route) {
  if (!route.gather || peers_.senders().empty()) return false;
  const auto allowed = AllowedDataCentresFor(*config_, route, request.account);
  const auto peer = peers_.ChoosePeer(DataCentresOf(route, allowed), allowed);
  if (!peer) return false;
  ForwardedQuery query;
  query.config_version = config_->version;
  query.account = request.account;
  const auto deadlines =
      QueryRun::DeadlinesFor(context_, route, RouteLatencyOf(route), request);
  query.deadlines = deadlines;
  const bool is_remote =
      peer->data_centre != settings_.backends.choice.own_data_centre;
  // Round trip to the peer and processing on both ends, as measured.
  auto* lag = is_remote ? &remote_lag_ : &local_lag_;
  query.deadlines.answer_in = query.deadlines.answer_in - lag->typical();
  query.deadlines.lags = lag->bounds;
  HttpRequest sent;
  sent.method = request.method;
  sent.target = request.target;
  sent.headers = ForwardedHeaders(request.headers, settings_.names);
  sent.body = request.body;
  query.quarantine_report = quarantine_.ReportOf(FingerprintOf(request, route));
  // Stored before the send, which may end immediately.
  forwarded_requests_[session.get()] = {
      session, request, config_, &route, deadlines, loop_->now(), {}};
  session->set_on_disconnect([this, disconnected = session.get()] {
    auto node = forwarded_requests_.extract(disconnected);
    if (!node.empty() && node.mapped().cancel) node.mapped().cancel();
  });
  auto cancel = peers_.Send(
      *peer, RemotePurpose::kForwardedQueries,
      EncodeForwardedQuery(query, sent, peer->query_address),
      {query.deadlines.answer_in,
       query.deadlines.deadline_in + kForwardingGrace},
      [this, key = session.get(), lag, is_remote, sent_at = loop_->now()](
          ForwardResult result, const PeerAnswer& answer) {
        RecordHopLatency(answer, sent_at, lag);
        if (!is_remote && answer.is_cut_off) backends_.RecordCutOffReport();
        auto entry = forwarded_requests_.extract(key);
        if (entry.empty()) return;
        OnPeerAnswer(std::move(entry.mapped()), result, answer);
      });
  const auto held = forwarded_requests_.find(session.get());
  if (held != forwarded_requests_.end()) {
    held->second.cancel = std::move(cancel);
  }
  metrics_.CountForwarded();
  return true;
}

void TrafficServer::OnPeerAnswer(ForwardedRequest forwarded,
                                 ForwardResult result,
                                 const PeerAnswer& answer) {
  const auto& session = forwarded.session;
  if (result == ForwardResult::kAnswered) {
    TakePeerRefusal(forwarded.request.account, answer.allowance_refusal);
    quarantine_.TakeReport(answer.quarantine_report);
    HttpReply reply = answer.reply;
    reply.headers = EndToEndHeaders(reply.headers);
    session->Reply(reply);
    return;
  }
  if (result == ForwardResult::kBroken) {
    Refuse(session.get(), forwarded.request, 502, "peer_lost");
    return;
  }
  Serve(session, forwarded.config, std::move(forwarded.request),
        *forwarded.route, std::nullopt,
        After(forwarded.deadlines, loop_->now() - forwarded.forwarded_at));
}

// Answers all running queries and those forwarded to peers. A stalled peer
// would hold them beyond the end of this process, and their callers would get
// no answer.
void TrafficServer::AnswerRemaining() {
  const auto running = running_;
  for (const auto& it : running) it->AnswerNow();
  RefuseTokenWaits();
  for (auto& [session, it] : std::exchange(forwarded_requests_, {})) {
    const bool may_have_run = it.cancel && it.cancel();
    Refuse(it.session.get(), it.request, may_have_run ? 502 : 503,
           may_have_run ? "peer_lost" : "leaving");
  }
}

}  // namespace hibiscuspick::edge
