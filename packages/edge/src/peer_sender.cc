#include "hibiscuspick/edge/peer_sender.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::edge {
namespace {

constexpr std::string_view kVersionHeader = "Hp-Config-Version";
constexpr std::string_view kAnswerHeader = "Hp-Answer-In-Ms";
constexpr std::string_view kEndHeader = "Hp-End-In-Ms";
constexpr std::string_view kLagsHeader = "Hp-Lags-Ms";
constexpr std::string_view kReturningHeader = "Hp-Returning";
constexpr std::string_view kShardsHeader = "Hp-Shards";
constexpr std::string_view kWantedHeader = "Hp-Wanted";

constexpr Millis kConnectTimeout{150};
constexpr Millis kAvoidance{1500};
constexpr Millis kIdleTime{20000};
// How long after its due time a missing answer starts the backoff of a peer
// that answers no other query either. Under overload a sender answers few
// queries, and those late: 60 ms put it in backoff just when its single queue
// is most useful.
constexpr Millis kSilence{300};
// A missing answer this long after its due time starts probes, since the peer's
// data centre or this one may be cut off.
constexpr Millis kLateAnswer{20};

// How long a sender's utilisation report is used; after that the sender is
// tried again.
constexpr Millis kBusyHolds{1000};

constexpr size_t kAnswerBytes = 16 << 20;

std::optional<int64_t> NumberIn(const std::vector<Header>& headers,
                                std::string_view name) {
  const auto text = FindHeader(headers, name);
  int64_t n = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), n);
  if (text.empty() || read.ec != std::errc()) return std::nullopt;
  return n;
}

// Formats the lag quantiles, one for each of kLagQuantiles.
std::string JoinLags(const engine::LagBounds& lags) {
  std::string text;
  for (const auto& it : lags) {
    text += fmt::format("{}{:.1f}", text.empty() ? "" : ",", it.count);
  }
  return text;
}

std::optional<engine::LagBounds> SplitLags(std::string_view text) {
  const auto parts = SplitList(text);
  engine::LagBounds lags{};
  if (parts.size() != lags.size()) return std::nullopt;
  for (size_t i = 0; i < lags.size(); ++i) {
    const std::string part(parts[i]);
    char* end = nullptr;
    lags[i] = Millis(std::strtod(part.c_str(), &end));
    if (end == part.c_str() || *end != '\0') return std::nullopt;
  }
  return lags;
}

std::string Whole(Millis it) {
  return std::to_string(static_cast<int64_t>(it.count));
}

}  // namespace

void AddHanded(const HandedQuery& query, std::vector<Header>* headers) {
  const auto add = [&](std::string_view name, std::string value) {
    headers->push_back({std::string(name), std::move(value)});
  };
  add(kVersionHeader, std::to_string(query.config_version));
  add(kAnswerHeader, Whole(query.clocks.answer_in));
  add(kEndHeader, Whole(query.clocks.end_in));
  add(kReturningHeader, query.clocks.returning ? "1" : "0");
  if (query.clocks.lags) add(kLagsHeader, JoinLags(*query.clocks.lags));
  if (!query.shards.empty()) add(kShardsHeader, JoinPlaces(query.shards));
  if (!query.rest.token.empty()) {
    add(kRestHeader, query.rest.token);
    add(kWantedHeader, std::to_string(query.rest.wanted));
  }
}

void NoteHop(const HttpReply& reply, Millis sent_at, engine::LagMeter* lag) {
  const auto took = FindHeader(reply.headers, kTookHeader);
  if (took.empty()) return;
  const Millis peers(std::strtod(std::string(took).c_str(), nullptr));
  engine::AddLag(lag, SteadyNow() - sent_at - peers);
}

std::string JoinPlaces(const std::vector<size_t>& places) {
  std::string text;
  for (const size_t it : places) {
    if (!text.empty()) text += ',';
    text += std::to_string(it);
  }
  return text;
}

std::optional<std::vector<size_t>> SplitPlaces(std::string_view text) {
  std::vector<size_t> places;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (at != end) {
    size_t n = 0;
    const auto read = std::from_chars(at, end, n);
    if (read.ec != std::errc()) return std::nullopt;
    places.push_back(n);
    at = read.ptr;
    if (at == end) break;
    if (*at != ',' || ++at == end) return std::nullopt;
  }
  return places;
}

std::optional<HandedQuery> TakeHanded(std::vector<Header>* headers) {
  const auto version = NumberIn(*headers, kVersionHeader);
  const auto answer = NumberIn(*headers, kAnswerHeader);
  const auto end = NumberIn(*headers, kEndHeader);
  if (!version || !answer || !end) return std::nullopt;
  HandedQuery query;
  query.config_version = static_cast<uint64_t>(*version);
  query.clocks.answer_in = Millis(static_cast<double>(*answer));
  query.clocks.end_in = Millis(static_cast<double>(*end));
  query.clocks.returning = NumberIn(*headers, kReturningHeader) == 1;
  query.clocks.lags = SplitLags(FindHeader(*headers, kLagsHeader));
  const auto shards = SplitPlaces(FindHeader(*headers, kShardsHeader));
  if (!shards) return std::nullopt;
  query.shards = *shards;
  query.rest.token = FindHeader(*headers, kRestHeader);
  const auto wanted = NumberIn(*headers, kWantedHeader);
  query.rest.wanted = wanted && *wanted > 0 ? static_cast<size_t>(*wanted) : 0;
  std::erase_if(*headers, [](const Header& it) {
    return SameName(it.name, kVersionHeader) ||
           SameName(it.name, kAnswerHeader) || SameName(it.name, kEndHeader) ||
           SameName(it.name, kReturningHeader) ||
           SameName(it.name, kLagsHeader) || SameName(it.name, kShardsHeader) ||
           SameName(it.name, kRestHeader) || SameName(it.name, kWantedHeader);
  });
  return query;
}

struct PeerSender::Open {
  engine::Peer peer;
  std::string text;
  bool to_head = false;
  std::shared_ptr<HttpChannel> channel;
  Loop::TimerId timer = 0;
  bool sent = false;
  OnEnd on_end;
};

// Closes all channels: a channel and its stream hold references to each other
// until one is closed.
PeerSender::~PeerSender() {
  for (const auto& [id, channels] : idle_) {
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

bool PeerSender::IsAvoided(const InstanceId& peer) const {
  const auto avoided = avoided_.find(peer);
  return avoided != avoided_.end() && loop_->now() < avoided->second;
}

void PeerSender::NoteLacking(const DataCentreId& where, double share) {
  auto& health = health_[where];
  const Millis before = health.backoff_until;
  engine::RecordRelay(&health, share, loop_->now());
  if (health.backoff_until > before) {
    Log(Part::kMembers)
        .info(
            "relays in data centre {} miss too many parts: querying its shards "
            "directly",
            where.text);
  }
}

bool PeerSender::TakesParts(const engine::Peer& peer,
                            const DataCentreId& where) const {
  return peer.data_centre == where && !prober_->IsLost(where) &&
         !IsAvoided(peer.id);
}

bool PeerSender::HasRelayIn(const DataCentreId& where) const {
  const auto health = health_.find(where);
  if (health != health_.end() && loop_->now() < health->second.backoff_until) {
    return false;
  }
  return std::any_of(relays_.begin(), relays_.end(),
                     [&](auto& it) { return TakesParts(it, where); });
}

const engine::Peer* PeerSender::RelayIn(const DataCentreId& where) {
  if (!HasRelayIn(where)) return nullptr;
  std::vector<const engine::Peer*> there;
  for (const auto& it : relays_) {
    if (TakesParts(it, where)) there.push_back(&it);
  }
  // Senders are sorted by rank, and the first knows the most servers of its
  // data centre; other relays are equal.
  if (senders_.empty()) return there[++turn_ % there.size()];
  const auto idle = std::find_if(there.begin(), there.end(), [&](auto* it) {
    return BusyShare(it->id) < engine::kMaxSenderUtilisation;
  });
  return idle != there.end() ? *idle : there.front();
}

engine::SenderRank PeerSender::Rank() const {
  using engine::SenderRole;
  if (!own_) return {};
  const auto first = engine::PrimarySenders(senders_);
  const auto is_own = [&](auto& it) { return it.id == own_->id; };
  const auto place_in = [&](const auto& all) {
    return static_cast<size_t>(std::find_if(all.begin(), all.end(), is_own) -
                               all.begin());
  };
  const size_t as_first = place_in(first);
  if (as_first < first.size()) return {SenderRole::kPrimary, as_first};
  const size_t among_all = place_in(senders_);
  if (among_all == senders_.size()) return {};
  // Primary senders before it do not count among the standbys.
  const auto end = senders_.begin() + static_cast<std::ptrdiff_t>(among_all);
  const auto before = std::count_if(senders_.begin(), end, [&](auto& it) {
    return std::any_of(first.begin(), first.end(),
                       [&](auto& other) { return other.id == it.id; });
  });
  return {SenderRole::kStandby, among_all - static_cast<size_t>(before)};
}

double PeerSender::BusyShare(const InstanceId& peer) const {
  if (own_ && peer == own_->id) return own_busy_;
  const auto known = busy_.find(peer);
  const bool holds =
      known != busy_.end() && loop_->now() - known->second.said < kBusyHolds;
  return holds ? known->second.share : 0;
}

void PeerSender::NoteBusy(const InstanceId& peer, const HttpReply& reply) {
  const std::string said(FindHeader(reply.headers, kBusyHeader));
  if (said.empty()) return;
  busy_[peer] = {std::strtod(said.c_str(), nullptr), loop_->now()};
}

std::optional<engine::Peer> PeerSender::Choose(
    const std::vector<DataCentreId>& places,
    const engine::AllowedDataCentres& homes) {
  if (!own_ || senders_.empty()) return std::nullopt;
  auto there = engine::AllowedSenders(senders_, homes);
  std::erase_if(there, [&](auto& it) {
    return IsAvoided(it.id) || prober_->IsLost(it.data_centre);
  });
  const auto* chosen =
      engine::ChooseSender(there, *own_, places, ++turn_,
                           [this](const auto& it) { return BusyShare(it); });
  if (chosen == nullptr) return std::nullopt;
  return *chosen;
}

std::function<void()> PeerSender::Send(const engine::Peer& peer,
                                       std::string text, bool to_head,
                                       const Times& times, OnEnd on_end) {
  auto open = std::make_shared<Open>();
  open->peer = peer;
  open->text = std::move(text);
  open->to_head = to_head;
  open->on_end = std::move(on_end);
  SuspectLater(open, times.due);
  open->timer = loop_->At(loop_->now() + times.timeout, [this, open] {
    open->timer = 0;
    End(open, open->sent ? HandedEnd::kBroken : HandedEnd::kNotBegun, {});
  });
  auto& idle = idle_[peer.id];
  while (!idle.empty() && !open->channel) {
    auto channel = std::move(idle.back());
    idle.pop_back();
    if (!channel->IsIdle()) continue;
    if (loop_->now() - channel->idle_since() > kIdleTime) {
      channel->Close();
      continue;
    }
    open->channel = std::move(channel);
  }
  if (open->channel) {
    SendOn(open);
  } else {
    open->channel = std::make_shared<HttpChannel>(loop_);
    open->channel->Connect(peer.query_address, kConnectTimeout,
                           [this, open](bool ok) {
                             if (!open->on_end) {
                               open->channel->Close();
                             } else if (ok) {
                               SendOn(open);
                             } else {
                               End(open, HandedEnd::kNotBegun, {});
                             }
                           });
  }
  return [this, open] {
    open->on_end = nullptr;
    loop_->Cancel(std::exchange(open->timer, 0));
    open->channel->Close();
  };
}

// A peer that is stalled or cut off would keep all queries forwarded to it
// until their callers' deadlines. It gets no further ones if it has answered
// none since a query that is overdue.
void PeerSender::SuspectLater(const std::shared_ptr<Open>& open, Millis due) {
  const Millis sent = loop_->now();
  const std::weak_ptr<Open> weak = open;
  loop_->At(sent + Max(due, Millis(0)) + kLateAnswer, [this, weak, sent] {
    const auto it = weak.lock();
    if (!it || !it->on_end || heard_[it->peer.id] > sent) return;
    if (own_ && it->peer.data_centre == own_->data_centre) {
      // The peer may itself be waiting for another data centre.
      prober_->SuspectAll(sent);
    } else {
      prober_->Suspect(it->peer.data_centre, sent);
    }
  });
  loop_->At(sent + Max(due, Millis(0)) + kSilence, [this, weak, sent] {
    const auto it = weak.lock();
    if (!it || !it->on_end || heard_[it->peer.id] > sent) return;
    Log(Part::kMembers)
        .info(
            "peer {} has not answered any query since an overdue one: backing "
            "off",
            it->peer.id.text);
    Avoid(it->peer.id);
  });
}

void PeerSender::Avoid(const InstanceId& peer) {
  avoided_[peer] = loop_->now() + kAvoidance;
}

void PeerSender::SendOn(const std::shared_ptr<Open>& open) {
  open->sent = true;
  HttpChannel::Exchange exchange;
  exchange.text = std::move(open->text);
  exchange.to_head = open->to_head;
  exchange.reply_bytes = kAnswerBytes;
  exchange.on_reply = [this, open](ExchangeEnd end, HttpReply reply) {
    if (end != ExchangeEnd::kReply) {
      End(open, HandedEnd::kBroken, {});
      return;
    }
    heard_[open->peer.id] = loop_->now();
    NoteBusy(open->peer.id, reply);
    prober_->RecordContact(open->peer.data_centre);
    if (open->channel->IsIdle()) idle_[open->peer.id].push_back(open->channel);
    if (reply.status == kOutOfReach) Avoid(open->peer.id);
    const bool begun =
        reply.status != kOtherVersion && reply.status != kOutOfReach;
    End(open, begun ? HandedEnd::kAnswer : HandedEnd::kNotBegun,
        std::move(reply));
  };
  open->channel->Send(std::move(exchange));
}

void PeerSender::End(const std::shared_ptr<Open>& open, HandedEnd end,
                     HttpReply reply) {
  loop_->Cancel(std::exchange(open->timer, 0));
  const bool lost = end != HandedEnd::kAnswer && reply.status == 0;
  if (lost) {
    Log(Part::kMembers)
        .info("peer {} did not answer a query: backing off",
              open->peer.id.text);
    Avoid(open->peer.id);
    prober_->NoteFailed(open->peer.data_centre);
    open->channel->Close();
    for (auto& it : std::exchange(idle_[open->peer.id], {})) it->Close();
  }
  const auto on_end = std::exchange(open->on_end, nullptr);
  if (on_end) on_end(end, std::move(reply));
}

}  // namespace hibiscuspick::edge
