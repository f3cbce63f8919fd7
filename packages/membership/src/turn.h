// One call of Step, as its parts pass it between them.
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

// peers.cc: whom to talk to.

Peer PeerOf(const MemberState& member);

// Up to `n` random peers of a data centre that are not gone, but for `except`.
// Suspects only if there is nobody else.
std::vector<Peer> PickPeers(Turn* turn, const DataCentreId& data_centre,
                            size_t n, const InstanceId& except = {});

// The other data centres that have members.
std::vector<DataCentreId> OtherDataCentres(const ControlState& state);

// Where a change goes: push_peers of the own data centre, and from its origin
// cross_push_peers of each other one as well.
enum class Reach { kOwnDataCentre, kAll };
std::vector<Peer> PushPeers(Turn* turn, Reach reach,
                            const InstanceId& except = {});

// A member that is gone or silent, a seed, or a listed instance that nobody
// has spoken of: whoever may be there without being in touch. Without such
// attempts the halves of a network partition that have called each other gone
// would never meet again.
std::optional<Peer> PickStranger(Turn* turn);

// gossip.cc: digests and entries.

Digest MakeDigest(Turn* turn, bool to_own_data_centre);
void SendDigests(Turn* turn);
void HandleDigest(Turn* turn, const InstanceId& from, const Digest& digest);
void HandleNews(Turn* turn, const InstanceId& from, const News& news);
void PushNews(Turn* turn, News news, Reach reach, const InstanceId& except);
void PushSelf(Turn* turn);
// Merges one report and notes what changed.
Merge TakeMember(Turn* turn, const MemberState& state);
void NoteMember(Turn* turn, const InstanceId& id, std::string what);

// config_spread.cc: configuration.

void HandleAccepted(Turn* turn, const settings::ConfigDelta& delta);
void HandleWatched(Turn* turn, const WatchedConfig& watched);
void HandleDelta(Turn* turn, const InstanceId& from,
                 const settings::ConfigDelta& delta);
// Sends what the digest's sender lacks.
void AnswerConfig(Turn* turn, const Peer& to, const Digest& digest);
// Whether the digest's sender has something that is missing here.
bool LacksConfig(Turn* turn, const Digest& digest);
void FillConfig(Turn* turn, Digest* digest);
void TakeConfigAge(Turn* turn, const Digest& digest);

}  // namespace hibiscuspick::membership
