// Parts of a query that a relay in another data centre queries.
#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_run.h"

namespace hibiscuspick::edge {
namespace {

// With less time than this to the answer, forwarding is not worth the extra
// hop.
constexpr Millis kLeastRelayTime{12};

// A peer that has not answered this long after the query's own deadline is
// given up.
constexpr Millis kRelaySlack{20};

}  // namespace

std::vector<size_t> QueryRun::RelayParts(const std::vector<size_t>& asked) {
  auto* peers = context_->peers;
  const Millis left = clocks_.answer_at - began_;
  if (!Uses().relays || peers == nullptr || !route_->gather ||
      !places_.empty() ||
      left - context_->relay_lag.typical() < kLeastRelayTime) {
    return asked;
  }
  std::vector<std::vector<DataCentreId>> places(parts_.size());
  for (const size_t i : asked) {
    places[i] = context_->backends->PlacesOfService(
        parts_[i].service, route_->allowed_data_centres);
  }
  const auto groups = engine::GroupRelays(
      places, context_->backends->policy().choice.own_data_centre,
      [&](const DataCentreId& where) { return peers->HasRelayIn(where); });
  for (const auto& it : groups) {
    if (!SendRelay(it)) continue;
    for (const size_t i : it.shards) parts_[i].relayed = true;
  }
  std::vector<size_t> rest;
  std::copy_if(asked.begin(), asked.end(), std::back_inserter(rest),
               [&](size_t i) { return !parts_[i].relayed; });
  return rest;
}

bool QueryRun::SendRelay(const engine::RelayGroup& group) {
  const auto* peer = context_->peers->RelayIn(group.data_centre);
  if (peer == nullptr) return false;
  const Millis left = clocks_.answer_at - began_;
  HandedQuery query;
  query.clocks.answer_in = left - context_->relay_lag.typical();
  query.clocks.end_in = clocks_.deadline - began_;
  query.shards = group.shards;
  AskPeer(*peer, std::move(query), left,
          [self = shared_from_this(), group, peer = *peer](
              HandedEnd end, const HttpReply& reply) {
            self->OnRelayed(group, peer, end, reply);
          });
  return true;
}

void QueryRun::AskPeer(
    const engine::Peer& peer, HandedQuery query, Millis due,
    const std::function<void(HandedEnd, const HttpReply&)>& on_end) {
  query.config_version = config_->version;
  HttpRequest sent = Forwarded();
  AddHanded(query, &sent.headers);
  relays_.push_back(context_->peers->Send(peer, ToText(sent),
                                          request_.method == "HEAD",
                                          {due, due + kRelaySlack}, on_end));
}

void QueryRun::OnRelayed(const engine::RelayGroup& group,
                         const engine::Peer& peer, HandedEnd end,
                         const HttpReply& reply) {
  const auto& shards = group.shards;
  const auto named = SplitPlaces(FindHeader(reply.headers, kShardsInHeader));
  const double in = named ? static_cast<double>(named->size()) : 0;
  context_->peers->NoteLacking(group.data_centre,
                               1 - in / static_cast<double>(shards.size()));
  NoteHop(reply, began_, &context_->relay_lag);
  if (done_) return;
  const bool begun = end != HandedEnd::kNotBegun;
  // The peer may have sent each part to one server of its choice, or, if it did
  // not answer, to as many as the route allows.
  if (begun) {
    const size_t each =
        end == HandedEnd::kAnswer ? 1 : static_cast<size_t>(route_->attempts);
    for (const size_t i : shards) parts_[i].ran_on.resize(each);
  }
  TakeFromPeer(shards, peer, end, reply, begun);
}

void QueryRun::TakeFromPeer(const std::vector<size_t>& shards,
                            const engine::Peer& peer, HandedEnd end,
                            const HttpReply& reply, bool ran) {
  for (const size_t i : shards) parts_[i].relayed = false;
  NoteSpent(reply);
  const bool taken = end == HandedEnd::kAnswer && TakeRelayed(shards, reply);
  if (taken) KeepRest(shards, peer, reply);
  for (const size_t i : shards) {
    if (parts_[i].in || parts_[i].relayed || done_) continue;
    // Querying again what servers may have run is a retry.
    if (ran) {
      RetryPart(i, true);
    } else {
      StartPart(i);
    }
  }
  if (!done_) Check();
}

std::vector<size_t> QueryRun::SpentPlaces() const {
  std::vector<size_t> spent;
  for (size_t i = 0; i < parts_.size(); ++i) {
    const auto& it = parts_[i];
    if (it.in || it.settled || HasAttemptLeft(it)) continue;
    spent.push_back(places_[i]);
  }
  return spent;
}

void QueryRun::NoteSpent(const HttpReply& reply) {
  const auto places =
      SplitPlaces(FindHeader(reply.headers, kShardsSpentHeader));
  if (!places) return;
  for (const size_t i : *places) {
    if (i >= parts_.size() || parts_[i].in) continue;
    parts_[i].ran_on.resize(static_cast<size_t>(route_->attempts));
  }
}

// Takes the parts that a peer's answer names; false if the answer is not
// usable.
bool QueryRun::TakeRelayed(const std::vector<size_t>& shards,
                           const HttpReply& reply) {
  const auto& names = *context_->names;
  const auto places = SplitPlaces(FindHeader(reply.headers, kShardsInHeader));
  const auto stamps = SplitList(FindHeader(reply.headers, names.part_stamps));
  constexpr int kOk = 200;
  if (reply.status != kOk || !places || places->size() != stamps.size()) {
    return false;
  }
  for (const size_t i : *places) {
    if (std::find(shards.begin(), shards.end(), i) == shards.end()) {
      return false;
    }
  }
  for (size_t n = 0; n < places->size(); ++n) {
    auto& part = parts_[(*places)[n]];
    part.in = true;
    part.reply.headers = {{names.stamp, std::string(stamps[n])}};
    part.reply.body.clear();
  }
  merged_.push_back(reply.body);
  return true;
}

}  // namespace hibiscuspick::edge
