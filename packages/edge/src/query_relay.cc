// Parts of a query that a relay in another data centre queries.
#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/edge/request_quarantine.h"
#include "hibiscuspick/engine/refusal.h"

namespace hibiscuspick::edge {
namespace {

// With less time than this to the answer, forwarding is not worth the extra
// hop.
constexpr Millis kMinRelayTime{12};

// A peer that has not answered this long after its answer was due is given up.
constexpr Millis kRelayGrace{20};

}  // namespace

std::vector<size_t> QueryRun::RelayParts(const std::vector<size_t>& parts) {
  auto* peers = context_->peers;
  const Millis left = deadlines_.answer_at - started_at_;
  if (!mechanisms().relays || peers == nullptr || !route_->gather ||
      !shard_indices_.empty() ||
      left - context_->relay_lag.typical() < kMinRelayTime) {
    return parts;
  }
  std::vector<std::vector<DataCentreId>> data_centres(parts_.size());
  for (const size_t i : parts) {
    data_centres[i] = context_->backends->DataCentresOfService(
        parts_[i].service, allowed_data_centres());
    if (mechanisms().relay_remote_choices && IsBetterElsewhere(i)) {
      std::erase(data_centres[i],
                 context_->backends->policy().choice.own_data_centre);
    }
  }
  const auto groups = engine::GroupRelays(
      data_centres, context_->backends->policy().choice.own_data_centre,
      [&](const DataCentreId& data_centre) {
        return peers->HasRelayIn(data_centre);
      });
  for (const auto& it : groups) {
    if (!SendRelay(it)) continue;
    for (const size_t i : it.shards) parts_[i].relayed = true;
  }
  std::vector<size_t> not_relayed;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(not_relayed),
               [&](size_t i) { return !parts_[i].relayed; });
  return not_relayed;
}

// Whether the part would be sent to a server in another data centre although
// there is one here. While many servers here are slow or refuse requests, a
// third of a query's parts go elsewhere; one by one they cost some 1000 bytes
// each between data centres, through a relay some 30.
bool QueryRun::IsBetterElsewhere(size_t i) const {
  AttemptSpec spec;
  spec.service = parts_[i].service;
  spec.budget_service = budget_service_;
  spec.median_latency = route_latency_->median;
  spec.allowed_data_centres = &allowed_data_centres();
  const auto choice = context_->backends->DataCentreOfChoice(spec);
  return choice &&
         *choice != context_->backends->policy().choice.own_data_centre;
}

bool QueryRun::SendRelay(const engine::RelayGroup& group) {
  const auto* peer = context_->peers->ChooseRelay(group.data_centre);
  if (peer == nullptr) return false;
  const Millis left = deadlines_.answer_at - started_at_;
  ForwardedQuery query;
  query.deadlines.answer_in = left - context_->relay_lag.typical();
  query.deadlines.deadline_in = deadlines_.deadline - started_at_;
  query.shard_indices = group.shards;
  SendToPeer(*peer, std::move(query), left,
             [self = shared_from_this(), group, peer = *peer](
                 ForwardResult result, const PeerAnswer& answer) {
               self->OnRelayAnswer(group, peer, result, answer);
             });
  return true;
}

void QueryRun::SendToPeer(
    const engine::Peer& peer, ForwardedQuery query, Millis due,
    const std::function<void(ForwardResult, const PeerAnswer&)>& on_end) {
  query.config_version = config_->version;
  query.account = request_.account;
  query.quarantine_report = context_->quarantine->ReportOf(fingerprint_);
  cancel_relays_.push_back(context_->peers->Send(
      peer, RemotePurpose::kRelays,
      EncodeForwardedQuery(query, UpstreamRequest(), peer.query_address),
      {due, due + kRelayGrace}, on_end));
}

void QueryRun::OnRelayAnswer(const engine::RelayGroup& group,
                             const engine::Peer& peer, ForwardResult result,
                             const PeerAnswer& answer) {
  const auto& shards = group.shards;
  const auto& received_shards = answer.shards.received;
  const double received =
      received_shards ? static_cast<double>(received_shards->size()) : 0;
  context_->peers->RecordMissingShare(
      group.data_centre, 1 - received / static_cast<double>(shards.size()));
  RecordHopLatency(answer, started_at_, &context_->relay_lag);
  if (done_) return;
  const bool started = result != ForwardResult::kNotStarted;
  // The peer may have sent each part to one server of its choice, or, if it did
  // not answer, to as many as the route allows.
  if (started) {
    const size_t attempts = result == ForwardResult::kAnswered
                                ? 1
                                : static_cast<size_t>(route_->attempts);
    for (const size_t i : shards) parts_[i].may_have_run_on.resize(attempts);
  }
  HandlePeerAnswer(shards, peer, result, answer, started);
}

void QueryRun::HandlePeerAnswer(const std::vector<size_t>& shards,
                                const engine::Peer& peer, ForwardResult result,
                                const PeerAnswer& answer, bool may_have_run) {
  for (const size_t i : shards) parts_[i].relayed = false;
  AddPeerEnds(shards, answer);
  RecordExhausted(answer.shards);
  RecordNotRun(shards, answer);
  const bool is_usable =
      result == ForwardResult::kAnswered && TakePeerResults(shards, answer);
  if (is_usable) AddRemainder(shards, peer, answer);
  for (const size_t i : shards) {
    if (parts_[i].received || parts_[i].relayed || done_) continue;
    // Querying again what servers may have run is a retry.
    const bool ran = may_have_run && !parts_[i].may_have_run_on.empty();
    if (ran || parts_[i].refusals > 0) {
      RetryPart(i, ran);
    } else {
      StartPart(i);
    }
  }
  if (!done_) Advance();
}

std::vector<size_t> QueryRun::ExhaustedShards() const {
  std::vector<size_t> exhausted;
  for (size_t i = 0; i < parts_.size(); ++i) {
    const auto& it = parts_[i];
    if (it.received || it.excluded || HasAttemptLeft(it)) continue;
    exhausted.push_back(shard_indices_[i]);
  }
  return exhausted;
}

ShardStates QueryRun::ShardStatesNow(bool stopped, bool has_results) const {
  ShardStates states;
  if (has_results) states.received.emplace();
  for (size_t i = 0; i < parts_.size(); ++i) {
    const auto& it = parts_[i];
    if (has_results && it.received && !it.excluded) {
      states.received->push_back(shard_indices_[i]);
    }
    const bool will_run = !stopped && !it.failed && !it.deferred;
    if (will_run || it.received || it.excluded || it.relayed ||
        !it.may_have_run_on.empty()) {
      continue;
    }
    states.not_run.push_back(shard_indices_[i]);
    if (it.refusals > 0) states.refused.push_back(shard_indices_[i]);
  }
  states.exhausted = ExhaustedShards();
  return states;
}

void QueryRun::RecordExhausted(const ShardStates& states) {
  for (const size_t i : states.exhausted) {
    if (i >= parts_.size() || parts_[i].received) continue;
    parts_[i].may_have_run_on.resize(static_cast<size_t>(route_->attempts));
  }
}

// Without this, a shard that servers refused counted as run once a relay had
// asked them, and was neither queried again on routes of one attempt nor
// reported as not run.
void QueryRun::RecordNotRun(const std::vector<size_t>& shards,
                            const PeerAnswer& answer) {
  const bool none_ran = engine::PromisesNotRun(answer.reply.status);
  const auto contains = [](const auto& indices, size_t i) {
    return std::find(indices.begin(), indices.end(), i) != indices.end();
  };
  for (const size_t i : shards) {
    auto& part = parts_[i];
    if (contains(answer.shards.refused, i)) ++part.refusals;
    if (!none_ran && !contains(answer.shards.not_run, i)) continue;
    // Peers' attempts are recorded without a server.
    std::erase(part.may_have_run_on, BackendServerId());
  }
}

// Takes the parts that a peer's answer names; false if the answer is not
// usable.
bool QueryRun::TakePeerResults(const std::vector<size_t>& shards,
                               const PeerAnswer& answer) {
  const auto& names = *context_->names;
  const auto& reply = answer.reply;
  const auto& received_shards = answer.shards.received;
  const auto stamps = SplitList(FindHeader(reply.headers, names.part_stamps));
  constexpr int kOk = 200;
  if (reply.status != kOk || !received_shards ||
      received_shards->size() != stamps.size()) {
    return false;
  }
  for (const size_t i : *received_shards) {
    if (std::find(shards.begin(), shards.end(), i) == shards.end()) {
      return false;
    }
  }
  for (size_t n = 0; n < received_shards->size(); ++n) {
    auto& part = parts_[(*received_shards)[n]];
    part.received = true;
    ++survivors_;
    part.reply.headers = {{names.stamp, std::string(stamps[n])}};
    part.reply.body.clear();
  }
  merged_bodies_.push_back(reply.body);
  return true;
}

}  // namespace hibiscuspick::edge
