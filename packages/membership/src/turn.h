// The context of one call of Step, passed to its helpers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/membership/control_core.h"

namespace hibiscuspick::membership {

struct Turn {
  ControlState* state;
  Millis now;
  Random* random;
  std::vector<Action> actions;
};

// peers.cc: choice of peers.

Peer PeerOf(const MemberState& member);

// Returns up to `n` random peers of a data centre that are not gone, without
// `except`. Suspects are returned only if there are no others.
std::vector<Peer> PickPeers(Turn* turn, const DataCentreId& data_centre,
                            size_t n, const InstanceId& except = {});

// The other data centres that have members.
std::vector<DataCentreId> OtherDataCentres(const ControlState& state);

// Where a change is pushed: to push_peers peers in this data centre and, from
// its origin, to cross_push_peers in each other one as well.
enum class Reach { kOwnDataCentre, kAll };
std::vector<Peer> PushPeers(Turn* turn, Reach reach,
                            const InstanceId& except = {});

// Returns a member that is suspect or gone, a seed or a listed instance that is
// not a member, at random. Without contacting these, the halves of a network
// partition that have reported each other as gone would never merge again.
std::optional<Peer> PickStranger(Turn* turn);

// gossip.cc: digests and entries.

Digest MakeDigest(Turn* turn, bool to_own_data_centre);
void SendDigests(Turn* turn);
void HandleDigest(Turn* turn, const InstanceId& from, const Digest& digest);
void HandleNews(Turn* turn, const InstanceId& from, const News& news);
void PushNews(Turn* turn, News news, Reach reach, const InstanceId& except);
void PushSelf(Turn* turn);
// Merges one report and logs the change.
Merge TakeMember(Turn* turn, const MemberState& state);
void NoteMember(Turn* turn, const InstanceId& id, std::string what);

// config_gossip.cc: configuration.

void HandleAccepted(Turn* turn, const settings::ConfigDelta& delta);
void HandleWatched(Turn* turn, const WatchedConfig& watched);
void HandleDelta(Turn* turn, const InstanceId& from,
                 const settings::ConfigDelta& delta);
// Sends the configuration that the digest's sender lacks.
void AnswerConfig(Turn* turn, const Peer& to, const Digest& digest);
// Whether the digest's sender has configuration that is missing here.
bool LacksConfig(Turn* turn, const Digest& digest);
void FillConfig(Turn* turn, Digest* digest);
void TakeConfigAge(Turn* turn, const Digest& digest);

}  // namespace hibiscuspick::membership
