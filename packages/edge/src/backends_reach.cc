// Reachability of servers, and whether this data centre is cut off.
#include <algorithm>

#include "backends_impl.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {
namespace {

// Longer than the longest usual server pause; a server silent for this long is
// suspected to be unreachable.
constexpr Millis kSilence{400};

// The timeout grows with the route's latency: a server whose slots are all
// taken by requests of a second sends nothing for a while and is healthy.
constexpr double kOverdueTimes = 4;

// An attempt older than this multiple of its overdue time makes its data centre
// suspect, unless another server there replies.
constexpr double kSignTimes = 2;

// This instance's data centre counts as cut off after this many failures at
// servers elsewhere with no contact for this time. The time exceeds one
// server's pause plus another's connect timeout, and is below a second, so that
// the load balancer's next readiness check sees the result.
constexpr int kCutOffFailures = 5;
constexpr Millis kCutOffSilence{700};

}  // namespace

std::vector<Address> Backends::AddressesIn(const DataCentreId& where) {
  std::vector<Address> found;
  if (evacuated_.contains(where)) return found;
  for (const auto& [id, it] : servers_) {
    const auto& entry = it->belief.entry;
    if (it->belief.removed || entry.data_centre != where) continue;
    found.push_back(entry.address);
  }
  // Rotates the list, since the first server may be the one that is down.
  if (!found.empty()) {
    const auto turn = static_cast<std::ptrdiff_t>(++probed_ % found.size());
    std::rotate(found.begin(), found.begin() + turn, found.end());
  }
  return found;
}

bool Backends::IsInReach(const Server& server) const {
  return engine::IsAvailable(server.belief) && !IsEvacuated(server) &&
         !prober_->IsLost(server.belief.entry.data_centre);
}

bool Backends::MayServe(const Server& server,
                        const engine::AllowedDataCentres& homes) const {
  return IsInReach(server) &&
         engine::IsAllowed(homes, server.belief.entry.data_centre);
}

void Backends::TakeForCold(Server* server) {
  const auto& share = StateOf(server->belief.entry.service).share;
  if (!share.when_cold) return;
  server->belief.warm_at =
      Max(server->belief.warm_at, loop_->now() + share.warmup);
}

bool Backends::IsToldCutOff() const {
  return told_cut_off_ && loop_->now() - *told_cut_off_ < kToldCutOff &&
         prober_->heard_elsewhere() <= *told_cut_off_;
}

bool Backends::IsCutOff() const {
  if (IsToldCutOff() || prober_->IsAlone()) return true;
  return remote_failures_ >= kCutOffFailures &&
         loop_->now() - remote_heard_ >= kCutOffSilence;
}

void Backends::RecordContact(Server* server) {
  server->heard = loop_->now();
  prober_->RecordContact(server->belief.entry.data_centre);
  if (server->belief.entry.data_centre == policy_.choice.own_data_centre) {
    return;
  }
  remote_heard_ = loop_->now();
  remote_failures_ = 0;
}

void Backends::NoteUnheard(const Server& server) {
  if (server.belief.entry.data_centre != policy_.choice.own_data_centre) {
    ++remote_failures_;
  }
}

// Without this check, attempts at a server that is cut off without a reset
// would fail only at their callers' deadline, up to two seconds later, and each
// new query would be sent there too.
void Backends::LookForSilence() {
  sweep_ =
      loop_->At(loop_->now() + kSweepInterval, [this] { LookForSilence(); });
  for (const auto& [id, it] : attempts_) {
    if (!it->was_sent || it->server->belief.unreachable) continue;
    const Millis open = loop_->now() - it->sent;
    if (open > it->order.overdue_after * kSignTimes) {
      prober_->Suspect(it->server->belief.entry.data_centre, it->sent);
    }
    if (open < it->order.overdue_after * kOverdueTimes) continue;
    DoubtSilent(it->server, it->sent);
  }
}

// A server without any reply since an abandoned attempt may be unreachable, and
// each of its idle connections would lose one request. Closes them; a new
// connection shows whether the server is reachable.
void Backends::DoubtSilent(const std::shared_ptr<Server>& server,
                           Millis since) {
  if (server->heard > since || loop_->now() - since < kSilence) return;
  Retire(server);
  NoteUnheard(*server);
  Probe(server);
}

// An unreachable server is probed with connections only, so that no request has
// to wait to find out that it is reachable again.
void Backends::Probe(const std::shared_ptr<Server>& server) {
  if (server->probing || server->belief.removed) return;
  if (!server->belief.unreachable) {
    Log(Part::kBackend)
        .info("server {} of service {} is unreachable",
              server->belief.entry.id.text, server->belief.entry.service.text);
  }
  server->belief.unreachable = true;
  server->probing = true;
  loop_->At(loop_->now() + policy_.probe_interval, [this, server] {
    if (server->belief.removed) return;
    if (IsEvacuated(*server)) {
      // SetEvacuated starts a probe when the evacuation ends.
      server->probing = false;
      return;
    }
    auto channel = std::make_shared<HttpChannel>(loop_);
    channel->Connect(server->belief.entry.address, policy_.connect_timeout,
                     [this, server, channel](bool ok) {
                       server->probing = false;
                       if (!ok) {
                         NoteUnheard(*server);
                         prober_->NoteFailed(server->belief.entry.data_centre);
                         Probe(server);
                         return;
                       }
                       Log(Part::kBackend)
                           .info("server {} is reachable again",
                                 server->belief.entry.id.text);
                       KeepChannel(server, channel);
                       TakeForCold(server.get());
                       PumpSoon(server->belief.entry.service);
                     });
  });
}

void Backends::NoteForeign(const AttemptResult& result) {
  Log(Part::kBackend)
      .info("server {} treated as draining: another server has its address",
            result.server.text);
  result.belief->draining = true;
  const auto found = servers_.find(result.server);
  if (found != servers_.end() &&
      &found->second->belief == result.belief.get()) {
    Retire(found->second);
  }
}

}  // namespace hibiscuspick::edge
