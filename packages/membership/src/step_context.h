// The context of one call of Step, passed to its helpers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/membership/control_core.h"

namespace hibiscuspick::membership {

struct StepContext {
  ControlState* state;
  Millis now;
  Random* random;
  std::vector<Action> actions;
};

// peers.cc: choice of peers.

Peer PeerOf(const MemberState& member);

// Returns up to `n` random peers of a data centre that are not gone, without
// `except`. Suspects are returned only if there are no others.
std::vector<Peer> PickPeers(StepContext* context,
                            const DataCentreId& data_centre, size_t n,
                            const InstanceId& except = {});

// The other data centres that have members.
std::vector<DataCentreId> OtherDataCentres(const ControlState& state);

// Where a change is pushed: to push_peers peers in this data centre and, from
// its origin, to cross_push_peers in each other one as well.
enum class PushScope { kOwnDataCentre, kAll };
std::vector<Peer> PushPeers(StepContext* context, PushScope scope,
                            const InstanceId& except = {});

// Returns a member that is suspect or gone, a seed or a listed instance that is
// not a member, at random. Without contacting these, the halves of a network
// partition that have reported each other as gone would never merge again.
std::optional<Peer> PickUnconnected(StepContext* context);

// gossip.cc: digests and entries.

Digest MakeDigest(StepContext* context, bool to_own_data_centre);
void SendDigests(StepContext* context);
void HandleDigest(StepContext* context, const InstanceId& from,
                  const Digest& digest);
void HandleMembershipDelta(StepContext* context, const InstanceId& from,
                           const MembershipDelta& delta);
void PushMembershipDelta(StepContext* context, MembershipDelta delta,
                         PushScope scope, const InstanceId& except);
void PushSelf(StepContext* context);
// Merges one report and logs the change.
MergeResult MergeReport(StepContext* context, const MemberState& state);
void ReportMemberChange(StepContext* context, const InstanceId& id,
                        std::string what);

// config_gossip.cc: configuration.

void HandleAccepted(StepContext* context, const settings::ConfigDelta& delta);
void HandleWatched(StepContext* context, const WatchedConfig& watched);
void HandleDelta(StepContext* context, const InstanceId& from,
                 const settings::ConfigDelta& delta);
// Sends the configuration that the digest's sender lacks.
void ReplyWithConfig(StepContext* context, const Peer& to,
                     const Digest& digest);
// Whether the digest's sender has configuration that is missing here.
bool NeedsConfig(StepContext* context, const Digest& digest);
void FillConfigDigest(StepContext* context, Digest* digest);
void MergeConfigAge(StepContext* context, const Digest& digest);

}  // namespace hibiscuspick::membership
