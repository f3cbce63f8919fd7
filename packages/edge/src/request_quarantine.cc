#include "hibiscuspick/edge/request_quarantine.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::edge {
namespace {

constexpr std::string_view kPath = "/quarantine";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

constexpr Millis kMessageTimeout{500};
constexpr size_t kMaxReportsSent = 32;
constexpr double kMillisPerSecond = 1000;

// In larger fleets a few instances of each other data centre pass reports on to
// the others there.
constexpr size_t kMaxDirectPeers = 32;
constexpr size_t kPeersPerDataCentre = 2;

// A single server that ends under a fan-out says little, and with many servers
// most fan-outs in progress are affected.
constexpr size_t kMinFanOutEnds = 2;

metrics::Counter* LostConnections(metrics::Registry* registry,
                                  const char* server) {
  return &registry->GetCounter(
      "hibiscuspick_edge_lost_connections_total",
      "Connections lost with a request on them, by whether the server ended",
      {{"server", server}});
}

}  // namespace

RequestQuarantine::RequestQuarantine(Loop* loop, Settings settings,
                                     Backends* backends,
                                     metrics::Registry* registry,
                                     const ByteCounters* remote_bytes)
    : loop_(loop),
      settings_(std::move(settings)),
      backends_(backends),
      messages_(loop, settings_.data_centre, remote_bytes),
      random_(static_cast<uint64_t>(WallNow().count)),
      lost_running_(LostConnections(registry, "running")),
      lost_ended_(LostConnections(registry, "ended")),
      lost_unknown_(LostConnections(registry, "unknown")),
      ends_(&registry->GetCounter("hibiscuspick_edge_server_ends_total",
                                  "Servers that ended while they had a request "
                                  "of this instance, once for each request")),
      quarantines_(&registry->GetCounter(
          "hibiscuspick_edge_quarantines_total",
          "Requests quarantined because servers ended under them, by this "
          "instance or another")),
      cleared_(&registry->GetCounter(
          "hibiscuspick_edge_quarantines_cleared_total",
          "Records of requests dropped since a server survived the request, or "
          "by an operator")) {
  registry->AddGauge(
      "hibiscuspick_edge_quarantine_records",
      "Requests under which servers have ended lately", {},
      [this] { return static_cast<double>(table_.records.size()); });
}

void RequestQuarantine::SetPeers(const std::vector<engine::Peer>& peers) {
  if (!enabled()) return;
  peers_ = peers;
  messages_.SetPeers(peers_);
  std::erase_if(unsent_, [&](const auto& it) {
    return std::none_of(peers_.begin(), peers_.end(),
                        [&](auto& peer) { return peer.id == it.first; });
  });
  if (!has_requested_all_ && !peers_.empty()) RequestAll();
}

// An instance that has just started would serve what the others refuse.
void RequestQuarantine::RequestAll() {
  has_requested_all_ = true;
  QuarantineMessage message;
  message.wants_all = true;
  const size_t n = std::min(peers_.size(), kPeersPerDataCentre);
  const size_t offset = random_.Below(peers_.size());
  for (size_t i = 0; i < n; ++i) {
    Send(peers_[(offset + i) % peers_.size()].id, message);
  }
}

const engine::QuarantineRecord* RequestQuarantine::Find(
    const engine::RequestFingerprint& request) const {
  if (IsEmpty()) return nullptr;
  return engine::FindRecord(table_, request, loop_->now());
}

engine::Treatment RequestQuarantine::TreatmentOf(
    const engine::RequestFingerprint& request) const {
  return engine::TreatmentOf(Find(request), loop_->now());
}

void RequestQuarantine::LogIfQuarantined(
    const engine::RequestFingerprint& request, const char* source) {
  const auto* record = Find(request);
  if (record == nullptr || record->refuse_until <= loop_->now()) return;
  quarantines_->Add();
  Log(Part::kRoute)
      .warn(
          "request fingerprint {} quarantined for {:.0f} s by {}: {} servers "
          "ended under it, {} survived, repeat ended {}, quarantine number {}",
          engine::ToText(request),
          (record->refuse_until - loop_->now()).count / kMillisPerSecond,
          source, record->ends.size(), record->survivors,
          record->repeat_ended ? "yes" : "no", record->quarantines);
}

void RequestQuarantine::RecordEnd(const engine::RequestFingerprint& request,
                                  const engine::EndObservation& seen,
                                  const EndDetails& details) {
  const bool was_refused =
      TreatmentOf(request).kind == engine::Treatment::Kind::kRefuse;
  const auto& record = engine::RecordEnd(&table_, request, seen, loop_->now());
  ends_->Add();
  if (TakeLine(&end_lines_, loop_->now())) {
    Log(Part::kRoute)
        .info(
            "server {} ended under request {} route {} fingerprint {}: {} "
            "servers so far, {} survived, {}other requests there{}",
            details.server.text, details.request_id, details.route.text,
            engine::ToText(request), record.ends.size(), record.survivors,
            seen.end.alone ? "no " : "", seen.is_repeat ? ", a repeat" : "");
    if (end_lines_.left_out > 0) {
      Log(Part::kRoute)
          .warn("{} log lines of ended servers suppressed",
                end_lines_.left_out);
      end_lines_.left_out = 0;
    }
  }
  if (!was_refused) LogIfQuarantined(request, "this instance");
  if (!details.is_fan_out || record.ends.size() >= kMinFanOutEnds) {
    Publish(request, false);
  }
}

void RequestQuarantine::CountLostConnection(ServerFate fate) {
  switch (fate) {
    case ServerFate::kRunning:
      lost_running_->Add();
      return;
    case ServerFate::kEnded:
      lost_ended_->Add();
      return;
    case ServerFate::kUnknown:
      lost_unknown_->Add();
      return;
  }
}

void RequestQuarantine::RecordSurvivor(
    const engine::RequestFingerprint& request, const ServiceId& service) {
  if (engine::RecordSurvivor(&table_, request, service)) {
    Clear(request, "other servers of the same services survived it");
  }
}

void RequestQuarantine::RecordServed(
    const engine::RequestFingerprint& request) {
  if (enabled()) table_.served.Add(request, loop_->now());
}

void RequestQuarantine::Clear(const engine::RequestFingerprint& request,
                              std::string_view reason) {
  engine::ClearRecord(&table_, request, loop_->now());
  cleared_->Add();
  if (TakeLine(&end_lines_, loop_->now())) {
    Log(Part::kRoute)
        .info("request fingerprint {} cleared: {}", engine::ToText(request),
              reason);
  }
  Publish(request, true);
}

bool RequestQuarantine::CheckBystanders(
    const engine::RequestFingerprint& request, std::function<void()> done) {
  const auto* record = Find(request);
  if (record == nullptr || !engine::NeedsBystanderCheck(*record) ||
      record->bystanders_checked) {
    return false;
  }
  if (!undecided_.insert(request).second) return false;
  backends_->CheckBystanders(
      record->ends, [this, request, done = std::move(done)](bool any_ended) {
        undecided_.erase(request);
        engine::RecordBystanders(&table_, request, any_ended, loop_->now());
        LogIfQuarantined(request, "this instance");
        Publish(request, false);
        done();
      });
  return true;
}

std::string RequestQuarantine::ReportOf(
    const engine::RequestFingerprint& request) const {
  const auto* record = Find(request);
  if (record == nullptr) return "";
  return FormatReport(engine::ReportOf(request, *record, loop_->now()));
}

std::vector<engine::ServerEnd> RequestQuarantine::TakeReport(
    std::string_view report) {
  if (report.empty() || !enabled()) return {};
  const auto parsed = ParseReport(report);
  if (!parsed) return {};
  MergeReport(*parsed);
  return parsed->ends;
}

bool RequestQuarantine::MergeReport(const engine::QuarantineReport& report) {
  const bool was_refused =
      TreatmentOf(report.request).kind == engine::Treatment::Kind::kRefuse;
  const bool is_new = engine::MergeReport(&table_, report, loop_->now());
  if (!was_refused) LogIfQuarantined(report.request, "another instance");
  return is_new;
}

void RequestQuarantine::Merge(const QuarantineMessage& message) {
  for (const auto& it : message.reports) {
    if (MergeReport(it) && message.pass_on) pass_on_.push_back(it);
  }
  if (!pass_on_.empty()) SendPending();
}

void RequestQuarantine::Publish(const engine::RequestFingerprint& request,
                                bool cleared) {
  if (peers_.empty()) return;
  (cleared ? pending_ : pending_cleared_).erase(request);
  (cleared ? pending_cleared_ : pending_).insert(request);
  if (std::exchange(send_posted_, true)) return;
  loop_->Post([this] {
    send_posted_ = false;
    SendPending();
  });
}

void RequestQuarantine::Send(const InstanceId& to,
                             const QuarantineMessage& message) {
  if (!messages_.HasRoom(to)) {
    auto& unsent = unsent_[to];
    for (const auto& it : message.reports) {
      (it.cleared ? unsent.changed : unsent.cleared).erase(it.request);
      (it.cleared ? unsent.cleared : unsent.changed).insert(it.request);
    }
    unsent.pass_on = unsent.pass_on || message.pass_on;
    return;
  }
  std::string text = FormatQuarantine(message);
  if (!TakeBytes(&byte_budget_, text.size(), loop_->now())) return;
  messages_.Send(to, kPath, std::move(text), kMessageTimeout,
                 [this, to](const std::optional<std::string>& reply) {
                   SendUnsent(to);
                   if (!reply || reply->empty()) return;
                   const auto all = ParseQuarantine(*reply);
                   if (all) Merge(*all);
                 });
}

void RequestQuarantine::SendUnsent(const InstanceId& to) {
  const auto node = unsent_.extract(to);
  if (node.empty()) return;
  const auto& unsent = node.mapped();
  QuarantineMessage message = MessageOf(unsent.changed, unsent.cleared);
  message.pass_on = unsent.pass_on;
  if (!message.reports.empty()) Send(to, message);
}

QuarantineMessage RequestQuarantine::MessageOf(
    const std::set<engine::RequestFingerprint>& changed,
    const std::set<engine::RequestFingerprint>& cleared) const {
  QuarantineMessage message;
  for (const auto& it : changed) {
    const auto* record = Find(it);
    if (record == nullptr) continue;
    message.reports.push_back(engine::ReportOf(it, *record, loop_->now()));
  }
  for (const auto& it : cleared) {
    engine::QuarantineReport report;
    report.request = it;
    report.cleared = true;
    message.reports.push_back(std::move(report));
  }
  // What is quarantined or under the strongest suspicion goes first.
  std::sort(message.reports.begin(), message.reports.end(),
            [](const auto& a, const auto& b) {
              return std::pair(a.refused_for, a.ends.size()) >
                     std::pair(b.refused_for, b.ends.size());
            });
  if (message.reports.size() > kMaxReportsSent) {
    message.reports.resize(kMaxReportsSent);
  }
  return message;
}

void RequestQuarantine::SendPending() {
  QuarantineMessage message = MessageOf(std::exchange(pending_, {}),
                                        std::exchange(pending_cleared_, {}));
  QuarantineMessage passed_on;
  passed_on.reports = std::exchange(pass_on_, {});
  const bool is_large = peers_.size() > kMaxDirectPeers;
  std::map<DataCentreId, size_t> sent;
  const size_t n = peers_.size();
  const size_t offset = random_.Below(n);
  for (size_t i = 0; i < n; ++i) {
    const auto& peer = peers_[(offset + i) % n];
    const bool is_here = peer.data_centre == settings_.data_centre;
    if (is_here && !passed_on.reports.empty()) Send(peer.id, passed_on);
    if (message.reports.empty()) continue;
    const bool by_relay = is_large && !is_here;
    if (by_relay && ++sent[peer.data_centre] > kPeersPerDataCentre) continue;
    message.pass_on = by_relay;
    Send(peer.id, message);
  }
}

bool RequestQuarantine::HandleMessage(
    const std::shared_ptr<HttpSession>& session, const HttpRequest& request) {
  if (!enabled() || request.method != "POST" || request.target != kPath) {
    return false;
  }
  const auto message = ParseQuarantine(request.body);
  HttpReply reply;
  reply.status = message ? kOk : kBadRequest;
  if (message && message->wants_all) {
    QuarantineMessage all;
    for (const auto& [fingerprint, record] : table_.records) {
      if (all.reports.size() == kMaxReportsSent) break;
      if (Find(fingerprint) == nullptr) continue;
      all.reports.push_back(
          engine::ReportOf(fingerprint, record, loop_->now()));
    }
    if (!all.reports.empty()) reply.body = FormatQuarantine(all);
  }
  session->Reply(reply);
  if (message) Merge(*message);
  return true;
}

std::string RequestQuarantine::ListText() const {
  std::string text = "[";
  for (const auto& [fingerprint, record] : table_.records) {
    if (Find(fingerprint) == nullptr) continue;
    const Millis left = Max(record.refuse_until - loop_->now(), Millis(0));
    text += fmt::format(
        R"({}{{"fingerprint":"{}","servers_ended":{},"survived":{},)"
        R"("last_end_s_ago":{:.1f},"refused_for_s":{:.1f},"quarantines":{}}})",
        text.size() > 1 ? "," : "", engine::ToText(fingerprint),
        record.ends.size(), record.survivors,
        (loop_->now() - record.last_end_at).count / kMillisPerSecond,
        left.count / kMillisPerSecond, record.quarantines);
  }
  return text + "]";
}

bool RequestQuarantine::HandleOperator(
    const std::shared_ptr<HttpSession>& session, const HttpRequest& request) {
  std::string_view target = request.target;
  if (!target.starts_with(kPath)) return false;
  target.remove_prefix(kPath.size());
  HttpReply reply;
  reply.status = kNotFound;
  reply.headers.push_back({"Content-Type", "application/json"});
  if (request.method == "GET" && target.empty()) {
    reply.status = kOk;
    reply.body = ListText();
  } else if (request.method == "DELETE" && target.starts_with('/')) {
    const auto fingerprint = engine::ParseFingerprint(target.substr(1));
    if (fingerprint && Find(*fingerprint) != nullptr) {
      Clear(*fingerprint, "by an operator");
      reply.status = kOk;
    }
  }
  session->Reply(reply);
  return true;
}

engine::RequestFingerprint FingerprintOf(const HttpRequest& request,
                                         const engine::Route& route) {
  return engine::FingerprintOf({route.id, request.account, request.method,
                                request.target, request.body});
}

}  // namespace hibiscuspick::edge
