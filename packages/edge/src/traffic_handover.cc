// Queries that this instance forwards to peers, and queries that peers forward
// to it.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/traffic_server.h"

namespace hibiscuspick::edge {
namespace {

// Grace after the query's deadline before a peer's answer is given up.
constexpr Millis kHandedSlack{100};

// Refuses a peer's query because configuration version, shards or token do not
// match.
void AnswerOtherVersion(HttpSession* session) {
  HttpReply reply;
  reply.status = kOtherVersion;
  session->Reply(reply);
}

}  // namespace

void TrafficServer::OnHanded(const std::shared_ptr<HttpSession>& session,
                             HttpRequest request) {
  const auto handed = TakeHanded(&request.headers);
  if (handed && !handed->rest.token.empty()) {
    OnRestAsked(session, *handed);
    return;
  }
  const engine::Route* route = nullptr;
  if (handed && config_ && has_servers_ &&
      handed->config_version == config_->version) {
    route = RouteOf(request);
  }
  const bool fits =
      route != nullptr &&
      (handed->shards.empty() ||
       (route->gather && std::all_of(handed->shards.begin(),
                                     handed->shards.end(), [&](size_t i) {
                                       return i < route->gather->shards.size();
                                     })));
  if (!fits) {
    AnswerOtherVersion(session.get());
    return;
  }
  Serve(session, std::move(request), *route, handed);
}

void TrafficServer::AnswerPeer(const std::shared_ptr<HttpSession>& session,
                               const QueryOutcome& outcome,
                               const std::shared_ptr<QueryRun>& query,
                               const std::string& request_id) {
  HttpReply answer = outcome.reply;
  const auto add = [&](std::string_view name, std::string value) {
    answer.headers.push_back({std::string(name), std::move(value)});
  };
  if (outcome.fault == QueryFault::kNoServer && !outcome.ran) {
    answer.status = kOutOfReach;
    if (IsUseless()) add(kCutOffHeader, "1");
  }
  add(kTookHeader, fmt::format("{:.2f}", outcome.took.count));
  add(kBusyHeader, fmt::format("{:.2f}", peers_.own_busy()));
  if (query && !outcome.open.empty()) {
    // The sequence number makes the token unique, since callers may reuse an
    // id.
    const std::string token = fmt::format("{}-{}", request_id, ++last_rest_);
    add(kShardsOpenHeader, JoinPlaces(outcome.open));
    add(kRestHeader, token);
    rests_[token] = query;
    loop_->At(loop_->now() + kRestPatience, [this, token] {
      const auto unasked = rests_.extract(token);
      if (unasked.empty()) return;
      unasked.mapped()->DropRest();
      running_.erase(unasked.mapped());
    });
  }
  session->Reply(answer);
}

// Handles a peer's request for parts missing from an earlier answer.
void TrafficServer::OnRestAsked(const std::shared_ptr<HttpSession>& session,
                                const HandedQuery& handed) {
  const auto found = rests_.extract(handed.rest.token);
  if (found.empty()) {
    AnswerOtherVersion(session.get());
    return;
  }
  const auto query = found.mapped();
  CancelIfGone(session, query);
  const std::weak_ptr<QueryRun> weak = query;
  query->Resume(handed.clocks, handed.shards, handed.rest.wanted,
                [this, session, weak,
                 token = handed.rest.token](const QueryOutcome& outcome) {
                  const auto ended = weak.lock();
                  AnswerPeer(session, outcome, ended, token);
                  if (ended && outcome.open.empty()) running_.erase(ended);
                });
}

const std::vector<DataCentreId>& TrafficServer::PlacesOf(
    const engine::Route& route) {
  const auto [it, is_new] = places_.try_emplace(route.id);
  auto& held = it->second;
  if (is_new || held.generation != backends_.generation()) {
    held = {
        backends_.generation(),
        backends_.PlacesOf(route.gather->shards, route.allowed_data_centres)};
  }
  return held.places;
}

// Forwards a fan-out to a better-placed peer; false if this instance should run
// it.
bool TrafficServer::HandOver(const std::shared_ptr<HttpSession>& session,
                             const HttpRequest& request,
                             const engine::Route& route) {
  if (!route.gather || peers_.senders().empty()) return false;
  const auto peer = peers_.Choose(PlacesOf(route), route.allowed_data_centres);
  if (!peer) return false;
  HandedQuery query;
  query.config_version = config_->version;
  query.clocks = QueryRun::ClocksFor(context_, route, PaceOf(route), request);
  const bool away =
      peer->data_centre != settings_.backends.choice.own_data_centre;
  // Round trip to the peer and processing on both ends, as measured.
  auto* lag = away ? &far_lag_ : &near_lag_;
  query.clocks.answer_in = query.clocks.answer_in - lag->typical();
  query.clocks.lags = lag->bounds;
  HttpRequest sent;
  sent.method = request.method;
  sent.target = request.target;
  sent.headers = EndToEnd(request.headers);
  sent.body = request.body;
  AddHanded(query, &sent.headers);
  // Stored before the send, which may end immediately.
  handed_out_[session.get()] = {session, request, {}};
  session->set_on_gone([this, gone = session.get()] {
    auto node = handed_out_.extract(gone);
    if (!node.empty() && node.mapped().give_up) node.mapped().give_up();
  });
  auto give_up = peers_.Send(
      *peer, ToText(sent), request.method == "HEAD",
      {query.clocks.answer_in, query.clocks.end_in + kHandedSlack},
      [this, key = session.get(), lag, away, sent_at = loop_->now()](
          HandedEnd end, const HttpReply& reply) {
        NoteHop(reply, sent_at, lag);
        if (!away && !FindHeader(reply.headers, kCutOffHeader).empty()) {
          backends_.NoteToldCutOff();
        }
        auto out = handed_out_.extract(key);
        if (out.empty()) return;
        OnPeerAnswer(out.mapped().session, std::move(out.mapped().request), end,
                     reply);
      });
  const auto held = handed_out_.find(session.get());
  if (held != handed_out_.end()) held->second.give_up = std::move(give_up);
  metrics_.CountHandedOver();
  return true;
}

void TrafficServer::OnPeerAnswer(const std::shared_ptr<HttpSession>& session,
                                 HttpRequest request, HandedEnd end,
                                 const HttpReply& reply) {
  if (end == HandedEnd::kAnswer) {
    HttpReply answer = reply;
    answer.headers = EndToEnd(reply.headers);
    std::erase_if(answer.headers, [](const Header& it) {
      return SameName(it.name, kTookHeader) || SameName(it.name, kBusyHeader);
    });
    session->Reply(answer);
    return;
  }
  if (end == HandedEnd::kBroken) {
    Refuse(session.get(), request, 502, "peer_lost");
    return;
  }
  const auto* route = RouteOf(request);
  ServeHere(session, std::move(request), route);
}

// Answers all running queries and those forwarded to peers. A stalled peer
// would hold them beyond the end of this process, and their callers would get
// no answer.
void TrafficServer::AnswerWhatIsLeft() {
  const auto left = running_;
  for (const auto& it : left) it->GiveUp();
  for (auto& [session, it] : std::exchange(handed_out_, {})) {
    if (it.give_up) it.give_up();
    Refuse(it.session.get(), it.request, 502, "peer_lost");
  }
}

}  // namespace hibiscuspick::edge
