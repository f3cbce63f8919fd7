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
constexpr size_t kMaxProbeTargets = 3;

// Servers are probed only if the instances have not replied for this long: a
// connection takes 1 to 6 ms of a server's slot.
constexpr Millis kServerProbeDelay{90};

}  // namespace

void Prober::SetPeers(const std::vector<engine::Peer>& peers) {
  std::map<DataCentreId, std::vector<Address>> addresses;
  for (const auto& it : peers) {
    auto& known = addresses[it.data_centre];
    if (it.data_centre != own_ && known.size() < kMaxProbeTargets) {
      known.push_back(it.query_address);
    }
  }
  for (auto& [data_centre, known] : addresses) {
    // A data centre without reachable instances keeps its last known ones.
    if (!known.empty()) data_centres_[data_centre].peers = std::move(known);
  }
}

void Prober::RecordContact(const DataCentreId& data_centre) {
  if (data_centre == own_) return;
  last_remote_contact_ = loop_->now();
  if (engine::RecordContact(&data_centres_[data_centre].reachability,
                            loop_->now())) {
    Log(Part::kMembers)
        .info("data centre {} is reachable again", data_centre.text);
    NotifyIsolation();
  }
}

void Prober::RecordFailure(const DataCentreId& data_centre) {
  if (data_centre == own_) return;
  auto& state = data_centres_[data_centre];
  if (state.first_failure <= state.reachability.last_contact) {
    state.first_failure = loop_->now();
  }
  Suspect(data_centre, state.first_failure);
}

void Prober::Suspect(const DataCentreId& data_centre, Millis since) {
  if (data_centre == own_ || !active_) return;
  const auto& state = data_centres_[data_centre];
  if (engine::NeedsProbe(state.reachability, since, loop_->now())) {
    Probe(data_centre);
  }
}

void Prober::SuspectAll(Millis since) {
  std::vector<DataCentreId> all;
  for (const auto& [data_centre, state] : data_centres_) {
    all.push_back(data_centre);
  }
  for (const auto& it : all) Suspect(it, since);
}

bool Prober::IsUnreachable(const DataCentreId& data_centre) const {
  const auto found = data_centres_.find(data_centre);
  return found != data_centres_.end() && found->second.reachability.unreachable;
}

bool Prober::IsIsolated() const {
  return !data_centres_.empty() &&
         std::all_of(data_centres_.begin(), data_centres_.end(), [](auto& it) {
           return it.second.reachability.unreachable;
         });
}

void Prober::NotifyIsolation() {
  const bool isolated = IsIsolated();
  if (isolated == notified_isolated_) return;
  notified_isolated_ = isolated;
  if (on_isolated_) on_isolated_(isolated);
}

void Prober::Probe(const DataCentreId& data_centre) {
  auto& state = data_centres_[data_centre];
  engine::BeginProbe(&state.reachability, loop_->now());
  TryConnect(data_centre, state.peers);
  loop_->RunAt(loop_->now() + kServerProbeDelay, [this, data_centre] {
    const auto& reachability = data_centres_[data_centre].reachability;
    if (servers_ && reachability.last_contact < reachability.probe_started_at) {
      TryConnect(data_centre, servers_(data_centre));
    }
  });
  loop_->RunAt(loop_->now() + engine::kProbeTimeout,
               [this, data_centre] { FinishProbe(data_centre); });
}

void Prober::TryConnect(const DataCentreId& data_centre,
                        const std::vector<Address>& addresses) {
  size_t count = 0;
  for (const auto& it : addresses) {
    if (++count > kMaxProbeTargets) return;
    const auto channel = std::make_shared<HttpChannel>(loop_);
    channel->Connect(it, engine::kProbeTimeout,
                     [this, data_centre, channel](bool ok) {
                       if (ok) RecordContact(data_centre);
                       channel->Close();
                     });
  }
}

void Prober::FinishProbe(const DataCentreId& data_centre) {
  auto& reachability = data_centres_[data_centre].reachability;
  const bool was_unreachable = reachability.unreachable;
  const auto result = engine::EndProbe(&reachability, loop_->now());
  if (result == engine::ProbeResult::kReachable) return;
  if (reachability.unreachable && !was_unreachable) {
    Log(Part::kMembers).warn("data centre {} is unreachable", data_centre.text);
    NotifyIsolation();
  }
  reachability.probing = true;
  const Millis now = loop_->now();
  loop_->RunAt(now + engine::ProbeDelay(reachability, now),
               [this, data_centre] { Probe(data_centre); });
}

}  // namespace hibiscuspick::edge
