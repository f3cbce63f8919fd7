#include "hibiscuspick/edge/prober.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/http_channel.h"

namespace hibiscuspick::edge {
namespace {

// Maximum instances, and servers, that one probe connects to; a single one may
// just have stopped.
constexpr size_t kMostTried = 3;

// Servers are probed only if the instances have not replied for this long: a
// connection takes 1 to 6 ms of a server's slot.
constexpr Millis kServersAfter{90};

}  // namespace

void Prober::SetPeers(const std::vector<engine::Peer>& peers) {
  std::map<DataCentreId, std::vector<Address>> addresses;
  for (const auto& it : peers) {
    auto& there = addresses[it.data_centre];
    if (it.data_centre != own_ && there.size() < kMostTried) {
      there.push_back(it.query_address);
    }
  }
  for (auto& [where, there] : addresses) {
    // A data centre without reachable instances keeps its last known ones.
    if (!there.empty()) places_[where].peers = std::move(there);
  }
}

void Prober::RecordContact(const DataCentreId& where) {
  if (where == own_) return;
  heard_elsewhere_ = loop_->now();
  if (engine::RecordContact(&places_[where].reach, loop_->now())) {
    Log(Part::kMembers).info("data centre {} is reachable again", where.text);
    NotifyIfIsolated();
  }
}

void Prober::NoteFailed(const DataCentreId& where) {
  if (where == own_) return;
  auto& place = places_[where];
  if (place.failed <= place.reach.last_contact) place.failed = loop_->now();
  Suspect(where, place.failed);
}

void Prober::Suspect(const DataCentreId& where, Millis since) {
  if (where == own_ || !active_) return;
  const auto& place = places_[where];
  if (engine::NeedsProbe(place.reach, since, loop_->now())) Probe(where);
}

void Prober::SuspectAll(Millis since) {
  std::vector<DataCentreId> all;
  for (const auto& [where, place] : places_) all.push_back(where);
  for (const auto& it : all) Suspect(it, since);
}

bool Prober::IsLost(const DataCentreId& where) const {
  const auto found = places_.find(where);
  return found != places_.end() && found->second.reach.unreachable;
}

bool Prober::IsAlone() const {
  return !places_.empty() &&
         std::all_of(places_.begin(), places_.end(),
                     [](auto& it) { return it.second.reach.unreachable; });
}

void Prober::NotifyIfIsolated() {
  const bool alone = IsAlone();
  if (alone == notified_isolated_) return;
  notified_isolated_ = alone;
  if (on_isolated_) on_isolated_(alone);
}

void Prober::Probe(const DataCentreId& where) {
  auto& place = places_[where];
  engine::BeginProbe(&place.reach, loop_->now());
  Try(where, place.peers);
  loop_->At(loop_->now() + kServersAfter, [this, where] {
    const auto& reach = places_[where].reach;
    if (servers_ && reach.last_contact < reach.probe_started_at)
      Try(where, servers_(where));
  });
  loop_->At(loop_->now() + engine::kProbeTimeout,
            [this, where] { End(where); });
}

void Prober::Try(const DataCentreId& where, const std::vector<Address>& some) {
  size_t tried = 0;
  for (const auto& it : some) {
    if (++tried > kMostTried) return;
    const auto channel = std::make_shared<HttpChannel>(loop_);
    channel->Connect(it, engine::kProbeTimeout,
                     [this, where, channel](bool ok) {
                       if (ok) RecordContact(where);
                       channel->Close();
                     });
  }
}

void Prober::End(const DataCentreId& where) {
  auto& reach = places_[where].reach;
  const bool was_lost = reach.unreachable;
  const auto end = engine::EndProbe(&reach, loop_->now());
  if (end == engine::ProbeResult::kReachable) return;
  if (reach.unreachable && !was_lost) {
    Log(Part::kMembers).warn("data centre {} is unreachable", where.text);
    NotifyIfIsolated();
  }
  reach.probing = true;
  const Millis now = loop_->now();
  loop_->At(now + engine::ProbeDelay(reach, now),
            [this, where] { Probe(where); });
}

}  // namespace hibiscuspick::edge
