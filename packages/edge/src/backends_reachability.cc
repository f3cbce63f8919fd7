// Reachability of servers, and whether this data centre is cut off.
#include <algorithm>

#include "backends_impl.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {
namespace {

// Longer than the longest usual server pause; a server silent for this long is
// suspected to be unreachable.
constexpr Millis kServerSilenceTimeout{400};

// The timeout grows with the route's latency: a server whose slots are all
// taken by requests of a second sends nothing for a while and is healthy.
constexpr double kServerOverdueFactor = 4;

// An attempt older than this multiple of its overdue time makes its data centre
// suspect, unless another server there replies.
constexpr double kDataCentreOverdueFactor = 2;

// This instance's data centre counts as cut off after this many failures at
// servers elsewhere with no contact for this time. The time exceeds one
// server's pause plus another's connect timeout, and is below a second, so that
// the load balancer's next readiness check sees the result.
constexpr int kCutOffFailures = 5;
constexpr Millis kCutOffSilence{700};

}  // namespace

std::vector<Address> Backends::ServerAddressesIn(
    const DataCentreId& data_centre) {
  std::vector<Address> addresses;
  if (evacuated_.contains(data_centre)) return addresses;
  for (const auto& [id, it] : servers_) {
    const auto& entry = it->view.entry;
    if (it->view.removed || entry.data_centre != data_centre) continue;
    addresses.push_back(entry.address);
  }
  // Rotates the list, since the first server may be the one that is down.
  if (!addresses.empty()) {
    const auto offset =
        static_cast<std::ptrdiff_t>(++address_rotation_ % addresses.size());
    std::rotate(addresses.begin(), addresses.begin() + offset, addresses.end());
  }
  return addresses;
}

bool Backends::IsAvailable(const Server& server) const {
  return engine::IsAvailable(server.view) && !IsEvacuated(server) &&
         !prober_->IsUnreachable(server.view.entry.data_centre);
}

bool Backends::MayServe(
    const Server& server,
    const engine::AllowedDataCentres& allowed_data_centres) const {
  return IsAvailable(server) &&
         engine::IsAllowed(allowed_data_centres, server.view.entry.data_centre);
}

void Backends::AssumeCold(Server* server) {
  const auto& share = StateOf(server->view.entry.service).share;
  if (!share.cold_allowance) return;
  server->view.warm_at = Max(server->view.warm_at, loop_->now() + share.warmup);
}

bool Backends::IsReportedCutOff() const {
  return cut_off_reported_at_ &&
         loop_->now() - *cut_off_reported_at_ < kCutOffReportTtl &&
         prober_->last_remote_contact() <= *cut_off_reported_at_;
}

bool Backends::IsCutOff() const {
  if (IsReportedCutOff() || prober_->IsIsolated()) return true;
  return remote_failures_ >= kCutOffFailures &&
         loop_->now() - last_remote_contact_ >= kCutOffSilence;
}

void Backends::RecordContact(Server* server) {
  server->last_contact = loop_->now();
  prober_->RecordContact(server->view.entry.data_centre);
  if (server->view.entry.data_centre == policy_.choice.own_data_centre) {
    return;
  }
  last_remote_contact_ = loop_->now();
  remote_failures_ = 0;
}

void Backends::CountRemoteFailure(const Server& server) {
  if (server.view.entry.data_centre != policy_.choice.own_data_centre) {
    ++remote_failures_;
  }
}

// Without this check, attempts at a server that is cut off without a reset
// would fail only at their callers' deadline, up to two seconds later, and each
// new query would be sent there too.
void Backends::CheckSilentServers() {
  silence_timer_ = loop_->RunAt(loop_->now() + kSilenceCheckInterval,
                                [this] { CheckSilentServers(); });
  RejectUnnamedReplies();
  for (const auto& [id, it] : attempts_) {
    if (!it->was_sent || it->server->view.unreachable) continue;
    const Millis age = loop_->now() - it->sent_at;
    if (age > it->spec.overdue_after * kDataCentreOverdueFactor) {
      prober_->Suspect(it->server->view.entry.data_centre, it->sent_at);
    }
    if (age < it->spec.overdue_after * kServerOverdueFactor) continue;
    SuspectIfSilent(it->server, it->sent_at);
  }
}

// A reply that names no request may have been a late one to an earlier request.
// Once the request's own reply is overdue too, none is expected any more.
void Backends::RejectUnnamedReplies() {
  std::vector<std::shared_ptr<HttpChannel>> channels;
  for (const auto& [id, it] : attempts_) {
    const Millis overdue = it->spec.overdue_after * kServerOverdueFactor;
    if (it->was_sent && it->channel->HasSkippedUnnamed() &&
        loop_->now() - it->sent_at > overdue) {
      channels.push_back(it->channel);
    }
  }
  for (const auto& it : channels) it->Reject(ReplyDefect::kNoRequestId);
}

// A server without any reply since an abandoned attempt may be unreachable, and
// each of its idle connections would lose one request. Closes them; a new
// connection shows whether the server is reachable.
void Backends::SuspectIfSilent(const std::shared_ptr<Server>& server,
                               Millis since) {
  if (server->last_contact > since ||
      loop_->now() - since < kServerSilenceTimeout) {
    return;
  }
  CloseIdleChannels(server);
  CountRemoteFailure(*server);
  ScheduleProbe(server);
}

// An unreachable server is probed with connections only, so that no request has
// to wait to find out that it is reachable again.
void Backends::ScheduleProbe(const std::shared_ptr<Server>& server) {
  if (server->probing || server->view.removed) return;
  if (!server->view.unreachable) {
    Log(Part::kBackend)
        .info("server {} of service {} is unreachable",
              server->view.entry.id.text, server->view.entry.service.text);
  }
  server->view.unreachable = true;
  server->probing = true;
  loop_->RunAt(loop_->now() + policy_.probe_interval, [this, server] {
    if (server->view.removed) return;
    if (IsEvacuated(*server)) {
      // SetEvacuated starts a probe when the evacuation ends.
      server->probing = false;
      return;
    }
    auto channel = std::make_shared<HttpChannel>(loop_);
    CountRemoteBytes(channel.get(), *server);
    channel->Connect(server->view.entry.address, policy_.connect_timeout,
                     [this, server, channel](bool ok) {
                       server->probing = false;
                       if (!ok) {
                         CountRemoteFailure(*server);
                         prober_->RecordFailure(server->view.entry.data_centre);
                         ScheduleProbe(server);
                         return;
                       }
                       Log(Part::kBackend)
                           .info("server {} is reachable again",
                                 server->view.entry.id.text);
                       KeepChannel(server, channel);
                       AssumeCold(server.get());
                       ScheduleDispatch(server->view.entry.service);
                     });
  });
}

void Backends::RecordMisdirected(const AttemptResult& result) {
  Log(Part::kBackend)
      .info("server {} treated as draining: another server has its address",
            result.server.text);
  result.view->draining = true;
  const auto found = servers_.find(result.server);
  if (found != servers_.end() && &found->second->view == result.view.get()) {
    CloseIdleChannels(found->second);
  }
}

}  // namespace hibiscuspick::edge
