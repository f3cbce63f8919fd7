#include "hibiscuspick/edge/evidence_exchange.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::edge {
namespace {

constexpr std::string_view kTarget = "/evidence";

constexpr int kOk = 200;

// Messages go to this many senders at most; in larger fleets the others are
// standbys far down the list.
constexpr size_t kMaxPeers = 15;
// A single failure can wait: a message's headers take more bytes than it.
constexpr Millis kIdleInterval{1000};
constexpr size_t kFewReports = 3;
constexpr size_t kMaxPending = 400;
constexpr size_t kMaxAllReports = 1500;
constexpr size_t kMaxReplyBytes = 1 << 17;
constexpr Millis kConnectTimeout{150};
constexpr Millis kReplyTimeout{1000};
// After a failure, and after a reply that shows an older build.
constexpr Millis kRetryInterval{1000};
constexpr Millis kUnsupportedInterval{60000};

}  // namespace

EvidenceExchange::EvidenceExchange(Loop* loop, Backends* backends,
                                   metrics::Registry* registry,
                                   const ByteCounters* remote_bytes,
                                   bool enabled)
    : loop_(loop),
      backends_(backends),
      enabled_(enabled),
      remote_bytes_(remote_bytes),
      sent_bytes_(&registry->GetCounter(
          "hibiscuspick_edge_evidence_bytes_total",
          "Bytes of evidence about servers, exchanged among senders",
          {{"direction", "sent"}})),
      received_bytes_(&registry->GetCounter(
          "hibiscuspick_edge_evidence_bytes_total",
          "Bytes of evidence about servers, exchanged among senders",
          {{"direction", "received"}})) {
  own_.incarnation = static_cast<uint64_t>(WallNow().count);
}

EvidenceExchange::~EvidenceExchange() {
  loop_->Cancel(timer_);
  for (const auto& [id, it] : peers_) {
    if (it.channel) it.channel->Close();
  }
}

void EvidenceExchange::SetPeers(const engine::Peer& own,
                                const std::vector<engine::Peer>& senders) {
  own_.sender = own.id;
  own_data_centre_ = own.data_centre;
  const bool is_sender = std::any_of(senders.begin(), senders.end(),
                                     [&](auto& it) { return it.id == own.id; });
  const bool active = enabled_ && is_sender && senders.size() >= 2;
  backends_->SetEvidenceActive(active);
  std::set<InstanceId> present;
  // The primary senders first: they send nearly all fan-outs.
  auto ordered = engine::PrimarySenders(senders);
  ordered.insert(ordered.end(), senders.begin(), senders.end());
  for (const auto& it : ordered) {
    if (!active || it.id == own.id) continue;
    if (present.size() >= kMaxPeers && !present.contains(it.id)) continue;
    present.insert(it.id);
    auto& peer = peers_[it.id];
    if (peer.channel && peer.peer.query_address != it.query_address) {
      peer.channel->Close();
      peer.channel = nullptr;
      peer.in_flight = false;
    }
    peer.peer = it;
  }
  std::erase_if(peers_, [&](auto& it) {
    if (present.contains(it.first)) return false;
    if (it.second.channel) it.second.channel->Close();
    return true;
  });
  if (!peers_.empty() && timer_ == 0) Tick();
}

void EvidenceExchange::Tick() {
  timer_ = 0;
  if (peers_.empty()) return;
  timer_ = loop_->RunAt(loop_->now() + engine::kUrgentEvidenceInterval,
                        [this] { Tick(); });
  const auto reports = WithOrigin(backends_->TakeEvidence());
  std::vector<InstanceId> due;
  for (auto& [id, peer] : peers_) {
    auto& pending = peer.pending;
    pending.insert(pending.end(), reports.begin(), reports.end());
    if (pending.size() > kMaxPending) {
      const auto excess =
          static_cast<std::ptrdiff_t>(pending.size() - kMaxPending);
      pending.erase(pending.begin(), pending.begin() + excess);
    }
    const bool is_urgent = pending.size() >= engine::kUrgentReports;
    const bool has_anything = !pending.empty() || !peer.has_told_all;
    const bool is_due = loop_->now() >= peer.next_send ||
                        (is_urgent && peer.has_told_all &&
                         peer.next_send - loop_->now() <= kIdleInterval);
    if (has_anything && is_due && !peer.in_flight) due.push_back(id);
  }
  for (const auto& it : due) SendTo(it);
}

std::vector<engine::EvidenceReport> EvidenceExchange::WithOrigin(
    std::vector<engine::EvidenceReport> reports) const {
  for (auto& it : reports) {
    if (it.origin.sender.empty()) it.origin = own_;
  }
  return reports;
}

void EvidenceExchange::SendTo(const InstanceId& id) {
  auto& peer = peers_.at(id);
  EvidenceMessage message;
  message.wants_all = !peer.has_told_all;
  message.reports = std::exchange(peer.pending, {});
  std::erase_if(message.reports, [&](auto& it) {
    const Millis ended =
        engine::kEvidenceSlice * static_cast<double>(it.slice + 1);
    return loop_->now() - ended > engine::kEvidenceTtl;
  });
  if (message.reports.empty() && !message.wants_all) return;
  peer.next_send = loop_->now() + (message.reports.size() < kFewReports
                                       ? kIdleInterval
                                       : engine::kEvidenceInterval);
  HttpRequest request;
  request.method = "POST";
  request.target = kTarget;
  request.headers.push_back({"Host", "peer"});
  request.body = FormatEvidence(message, own_, loop_->now());
  const std::string text = ToText(request);
  if (!TakeBytes(&byte_budget_, text.size(), loop_->now())) return;
  sent_bytes_->Add(text.size());
  peer.in_flight = true;
  peer.message = ++last_message_;
  loop_->RunAt(loop_->now() + kReplyTimeout, [this, id, number = peer.message] {
    Finish(id, number, false, {});
  });
  if (peer.channel && peer.channel->IsIdle()) {
    SendOnChannel(id, text);
    return;
  }
  if (peer.channel) peer.channel->Close();
  peer.channel = std::make_shared<HttpChannel>(loop_);
  if (peer.peer.data_centre != own_data_centre_) {
    peer.channel->set_byte_counters(remote_bytes_);
  }
  peer.channel->Connect(
      peer.peer.query_address, kConnectTimeout,
      [this, id, text, number = peer.message](bool ok) {
        const auto found = peers_.find(id);
        if (found == peers_.end() || found->second.message != number) return;
        if (ok) {
          SendOnChannel(id, text);
        } else {
          Finish(id, number, false, {});
        }
      });
}

void EvidenceExchange::SendOnChannel(const InstanceId& id,
                                     const std::string& text) {
  auto& peer = peers_.at(id);
  HttpChannel::Exchange exchange;
  exchange.text = text;
  exchange.max_reply_bytes = kMaxReplyBytes;
  exchange.on_reply = [this, id, number = peer.message](
                          ExchangeEnd end, const HttpReply& reply) {
    Finish(id, number, end == ExchangeEnd::kReply, reply);
  };
  peer.channel->Send(std::move(exchange));
}

void EvidenceExchange::Finish(const InstanceId& id, uint64_t message, bool ok,
                              const HttpReply& reply) {
  const auto found = peers_.find(id);
  if (found == peers_.end() || !found->second.in_flight ||
      found->second.message != message) {
    return;
  }
  auto& peer = found->second;
  peer.in_flight = false;
  if (ok && reply.status == kOk) {
    peer.has_told_all = true;
    Merge(reply.body);
    return;
  }
  peer.next_send = loop_->now() + (ok ? kUnsupportedInterval : kRetryInterval);
  if (ok) {
    Log(Part::kMembers)
        .info("sender {} does not exchange evidence: status {}", id.text,
              reply.status);
  } else if (peer.channel) {
    peer.channel->Close();
    peer.channel = nullptr;
  }
}

void EvidenceExchange::Merge(const std::string& body) {
  if (body.empty()) return;
  received_bytes_->Add(body.size());
  auto message = ParseEvidence(body);
  if (!message) return;
  // Another sender may return what it has learned from this one.
  std::erase_if(message->reports, [&](auto& it) { return it.origin == own_; });
  backends_->MergeEvidence(message->reports);
}

bool EvidenceExchange::HandleMessage(
    const std::shared_ptr<HttpSession>& session, const HttpRequest& request) {
  if (!enabled_ || request.method != "POST" || request.target != kTarget) {
    return false;
  }
  const auto message = ParseEvidence(request.body);
  HttpReply reply;
  reply.status = message ? kOk : 400;
  if (message) {
    Merge(request.body);
    if (message->wants_all) {
      EvidenceMessage all;
      all.reports = WithOrigin(backends_->AllEvidence());
      if (all.reports.size() > kMaxAllReports) {
        std::sort(all.reports.begin(), all.reports.end(),
                  [](auto& a, auto& b) { return a.age < b.age; });
        all.reports.resize(kMaxAllReports);
      }
      if (!all.reports.empty()) {
        reply.body = FormatEvidence(all, own_, loop_->now());
      }
      if (!TakeBytes(&byte_budget_, reply.body.size(), loop_->now())) {
        reply.body.clear();
      }
      sent_bytes_->Add(reply.body.size());
    }
  }
  session->Reply(reply);
  return true;
}

}  // namespace hibiscuspick::edge
