#include "hibiscuspick/edge/peer_sender.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::edge {
namespace {

constexpr Millis kConnectTimeout{150};
constexpr Millis kBackoffTime{1500};
constexpr Millis kMaxIdleTime{20000};
// How long after its due time a missing answer starts the backoff of a peer
// that answers no other query either. Under overload a sender answers few
// queries, and those late: 60 ms put it in backoff just when its single queue
// is most useful.
constexpr Millis kPeerSilenceTimeout{300};
// A missing answer this long after its due time starts probes, since the peer's
// data centre or this one may be cut off.
constexpr Millis kLateAnswerThreshold{20};

// How long a sender's utilisation report is used; after that the sender is
// tried again.
constexpr Millis kUtilisationReportTtl{1000};

constexpr size_t kMaxAnswerBytes = 16 << 20;

}  // namespace

void RecordHopLatency(const PeerAnswer& answer, Millis sent_at,
                      engine::LagMeter* lag) {
  if (!answer.processing_time) return;
  engine::AddLag(lag, SteadyNow() - sent_at - *answer.processing_time);
}

struct PeerSender::OpenQuery {
  engine::Peer peer;
  std::string text;
  std::shared_ptr<HttpChannel> channel;
  Loop::TimerId timer = 0;
  // Null if the peer is in this data centre.
  const ByteCounters* byte_counters = nullptr;
  bool sent = false;
  OnEnd on_end;
};

// Closes all channels: a channel and its stream hold references to each other
// until one is closed.
PeerSender::~PeerSender() {
  for (const auto& [id, channels] : idle_channels_) {
    for (const auto& it : channels) it->Close();
  }
}

void PeerSender::SetPeers(const engine::Peer& own,
                          const std::vector<engine::Peer>& senders,
                          const std::vector<engine::Peer>& relays) {
  own_ = own;
  senders_ = senders;
  relays_ = relays;
}

bool PeerSender::IsInBackoff(const InstanceId& peer) const {
  const auto backoff = backoff_until_.find(peer);
  return backoff != backoff_until_.end() && loop_->now() < backoff->second;
}

void PeerSender::RecordMissingShare(const DataCentreId& data_centre,
                                    double share) {
  auto& health = relay_health_[data_centre];
  const Millis backoff_before = health.backoff_until;
  engine::RecordRelay(&health, share, loop_->now());
  if (health.backoff_until > backoff_before) {
    Log(Part::kMembers)
        .info(
            "relays in data centre {} miss too many parts: querying its shards "
            "directly",
            data_centre.text);
  }
}

bool PeerSender::AcceptsParts(const engine::Peer& peer,
                              const DataCentreId& data_centre) const {
  return peer.data_centre == data_centre &&
         !prober_->IsUnreachable(data_centre) && !IsInBackoff(peer.id);
}

bool PeerSender::HasRelayIn(const DataCentreId& data_centre) const {
  const auto health = relay_health_.find(data_centre);
  if (health != relay_health_.end() &&
      loop_->now() < health->second.backoff_until) {
    return false;
  }
  return std::any_of(relays_.begin(), relays_.end(),
                     [&](auto& it) { return AcceptsParts(it, data_centre); });
}

const engine::Peer* PeerSender::ChooseRelay(const DataCentreId& data_centre) {
  if (!HasRelayIn(data_centre)) return nullptr;
  std::vector<const engine::Peer*> candidates;
  for (const auto& it : relays_) {
    if (AcceptsParts(it, data_centre)) candidates.push_back(&it);
  }
  // Senders are sorted by rank, and the first knows the most servers of its
  // data centre; other relays are equal.
  if (senders_.empty()) return candidates[++rotation_ % candidates.size()];
  const auto least_busy =
      std::find_if(candidates.begin(), candidates.end(), [&](auto* it) {
        return UtilisationOf(it->id) < engine::kMaxSenderUtilisation;
      });
  return least_busy != candidates.end() ? *least_busy : candidates.front();
}

engine::SenderRank PeerSender::Rank() const {
  using engine::SenderRole;
  if (!own_) return {};
  const auto primaries = engine::PrimarySenders(senders_);
  const auto is_own = [&](auto& it) { return it.id == own_->id; };
  const auto rank_in = [&](const auto& all) {
    return static_cast<size_t>(std::find_if(all.begin(), all.end(), is_own) -
                               all.begin());
  };
  const size_t primary_rank = rank_in(primaries);
  if (primary_rank < primaries.size()) {
    return {SenderRole::kPrimary, primary_rank};
  }
  const size_t overall_rank = rank_in(senders_);
  if (overall_rank == senders_.size()) return {};
  // Primary senders before it do not count among the standbys.
  const auto end = senders_.begin() + static_cast<std::ptrdiff_t>(overall_rank);
  const auto primaries_before =
      std::count_if(senders_.begin(), end, [&](auto& it) {
        return std::any_of(primaries.begin(), primaries.end(),
                           [&](auto& other) { return other.id == it.id; });
      });
  return {SenderRole::kStandby,
          overall_rank - static_cast<size_t>(primaries_before)};
}

double PeerSender::UtilisationOf(const InstanceId& peer) const {
  if (own_ && peer == own_->id) return own_utilisation_;
  const auto known = utilisation_.find(peer);
  const bool is_current =
      known != utilisation_.end() &&
      loop_->now() - known->second.reported_at < kUtilisationReportTtl;
  return is_current ? known->second.utilisation : 0;
}

std::optional<engine::Peer> PeerSender::ChoosePeer(
    const std::vector<DataCentreId>& data_centres,
    const engine::AllowedDataCentres& allowed_data_centres) {
  if (!own_ || senders_.empty()) return std::nullopt;
  auto candidates = engine::AllowedSenders(senders_, allowed_data_centres);
  std::erase_if(candidates, [&](auto& it) {
    return IsInBackoff(it.id) || prober_->IsUnreachable(it.data_centre);
  });
  const auto* chosen = engine::ChooseSender(
      candidates, *own_, data_centres, ++rotation_,
      [this](const auto& it) { return UtilisationOf(it); });
  if (chosen == nullptr) return std::nullopt;
  return *chosen;
}

std::function<bool()> PeerSender::Send(const engine::Peer& peer,
                                       RemotePurpose purpose, std::string text,
                                       const Times& times, OnEnd on_end) {
  auto query = std::make_shared<OpenQuery>();
  query->peer = peer;
  if (own_ && peer.data_centre != own_->data_centre) {
    query->byte_counters = remote_traffic_->CountersOf(purpose);
  }
  query->text = std::move(text);
  query->on_end = std::move(on_end);
  ScheduleSilenceChecks(query, times.due);
  query->timer = loop_->RunAt(loop_->now() + times.timeout, [this, query] {
    query->timer = 0;
    FinishUnanswered(query, query->sent ? ForwardResult::kBroken
                                        : ForwardResult::kNotStarted);
  });
  auto& idle = idle_channels_[peer.id];
  while (!idle.empty() && !query->channel) {
    auto channel = std::move(idle.back());
    idle.pop_back();
    if (!channel->IsIdle()) continue;
    if (channel->HasEnded() ||
        loop_->now() - channel->idle_since() > kMaxIdleTime) {
      channel->Close();
      continue;
    }
    query->channel = std::move(channel);
  }
  if (query->channel) {
    SendOnChannel(query);
  } else {
    query->channel = std::make_shared<HttpChannel>(loop_);
    query->channel->Connect(
        peer.query_address, kConnectTimeout, [this, query](bool ok) {
          if (!query->on_end) {
            query->channel->Close();
          } else if (ok) {
            SendOnChannel(query);
          } else {
            FinishUnanswered(query, ForwardResult::kNotStarted);
          }
        });
  }
  return [this, query] {
    query->on_end = nullptr;
    loop_->Cancel(std::exchange(query->timer, 0));
    query->channel->Close();
    return query->sent;
  };
}

// A peer that is stalled or cut off would keep all queries forwarded to it
// until their callers' deadlines. It gets no further ones if it has answered
// none since a query that is overdue.
void PeerSender::ScheduleSilenceChecks(const std::shared_ptr<OpenQuery>& query,
                                       Millis due) {
  const Millis sent = loop_->now();
  const std::weak_ptr<OpenQuery> weak = query;
  loop_->RunAt(sent + Max(due, Millis(0)) + kLateAnswerThreshold,
               [this, weak, sent] {
                 const auto it = weak.lock();
                 if (!it || !it->on_end || last_contact_[it->peer.id] > sent) {
                   return;
                 }
                 if (own_ && it->peer.data_centre == own_->data_centre) {
                   // The peer may itself be waiting for another data centre.
                   prober_->SuspectAll(sent);
                 } else {
                   prober_->Suspect(it->peer.data_centre, sent);
                 }
               });
  loop_->RunAt(sent + Max(due, Millis(0)) + kPeerSilenceTimeout, [this, weak,
                                                                  sent] {
    const auto it = weak.lock();
    if (!it || !it->on_end || last_contact_[it->peer.id] > sent) return;
    Log(Part::kMembers)
        .info(
            "peer {} has not answered any query since an overdue one: backing "
            "off",
            it->peer.id.text);
    StartBackoff(it->peer.id);
  });
}

void PeerSender::StartBackoff(const InstanceId& peer) {
  backoff_until_[peer] = loop_->now() + kBackoffTime;
}

void PeerSender::SendOnChannel(const std::shared_ptr<OpenQuery>& query) {
  query->sent = true;
  query->channel->set_byte_counters(query->byte_counters);
  HttpChannel::Exchange exchange;
  exchange.text = std::move(query->text);
  exchange.max_reply_bytes = kMaxAnswerBytes;
  exchange.on_reply = [this, query](ExchangeEnd end, const HttpReply& reply) {
    if (end == ExchangeEnd::kTooLarge &&
        TakeLine(&oversized_lines_, loop_->now())) {
      Log(Part::kMembers)
          .warn("answer of {} exceeds the limit of {}: {} bytes read",
                query->peer.id.text, ElementName(query->channel->exceeded()),
                query->channel->reply_bytes());
    }
    if (end == ExchangeEnd::kRejected &&
        TakeLine(&defect_lines_, loop_->now())) {
      Log(Part::kMembers)
          .warn("answer of {} rejected: {}", query->peer.id.text,
                DefectName(query->channel->defect()));
    }
    if (end != ExchangeEnd::kReply) {
      FinishUnanswered(query, end == ExchangeEnd::kUnsent
                                  ? ForwardResult::kNotStarted
                                  : ForwardResult::kBroken);
      return;
    }
    OnReply(query, reply);
  };
  query->channel->Send(std::move(exchange));
}

void PeerSender::OnReply(const std::shared_ptr<OpenQuery>& query,
                         const HttpReply& reply) {
  const auto& peer = query->peer;
  last_contact_[peer.id] = loop_->now();
  prober_->RecordContact(peer.data_centre);
  if (query->channel->IsIdle()) {
    idle_channels_[peer.id].push_back(query->channel);
  }
  if (reply.status == kVersionMismatchStatus) {
    Finish(query, ForwardResult::kNotStarted, {});
    return;
  }
  const bool is_unreachable = reply.status == kServersUnreachableStatus;
  if (is_unreachable) StartBackoff(peer.id);
  const auto answer = DecodePeerAnswer(reply);
  if (!answer && !is_unreachable && TakeLine(&defect_lines_, loop_->now())) {
    Log(Part::kMembers)
        .warn("answer of {} cannot be decoded: status {}, {} bytes",
              peer.id.text, reply.status, reply.body.size());
  }
  if (answer && answer->utilisation) {
    utilisation_[peer.id] = {*answer->utilisation, loop_->now()};
  }
  const auto result = is_unreachable ? ForwardResult::kNotStarted
                      : answer       ? ForwardResult::kAnswered
                                     : ForwardResult::kBroken;
  Finish(query, result, answer.value_or(PeerAnswer()));
}

void PeerSender::FinishUnanswered(const std::shared_ptr<OpenQuery>& query,
                                  ForwardResult result) {
  Log(Part::kMembers)
      .info("peer {} did not answer a query: backing off", query->peer.id.text);
  StartBackoff(query->peer.id);
  prober_->RecordFailure(query->peer.data_centre);
  query->channel->Close();
  for (auto& it : std::exchange(idle_channels_[query->peer.id], {})) {
    it->Close();
  }
  Finish(query, result, {});
}

void PeerSender::Finish(const std::shared_ptr<OpenQuery>& query,
                        ForwardResult result, const PeerAnswer& answer) {
  loop_->Cancel(std::exchange(query->timer, 0));
  const auto on_end = std::exchange(query->on_end, nullptr);
  if (on_end) on_end(result, answer);
}

}  // namespace hibiscuspick::edge
