// The decisions of the control thread: who is there, what is spread to whom,
// who watches the platform. A plain state and one function; no threads,
// sockets or clocks, so that a whole fleet runs in a test on virtual time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/membership/gossip_message.h"
#include "hibiscuspick/membership/member_table.h"
#include "hibiscuspick/membership/server_news.h"
#include "hibiscuspick/membership/view.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/settings/config_store.h"

namespace hibiscuspick::membership {

struct ControlLimits {
  MemberLimits members;
  // The shell sends a Tick this often.
  Millis tick{1000};
  // A gap between ticks beyond this is a pause of this process.
  Millis pause{2500};
  // Peers of the own data centre that get a digest each tick.
  size_t digest_peers = 2;
  // Ticks between two digests to another data centre.
  size_t cross_ticks = 5;
  // Peers of the own data centre that a change is pushed to, and peers in each
  // other data centre that its origin pushes it to.
  size_t push_peers = 3;
  size_t cross_push_peers = 2;
  // Configuration up to this many bytes is pushed itself; of more only the
  // digest is, so that each peer fetches it once.
  size_t push_bytes = 16 << 10;
  // Bytes of configuration in one message.
  size_t delta_bytes = 512 << 10;
  // Entries in one News.
  size_t news_entries = 128;
  // Instances of a data centre that watch the platform.
  size_t watchers = 2;
  // Without configuration for this long, an instance watches itself.
  Millis watch_without_config{3000};
  // How much the platform's list may lag: a life younger than this that sees
  // itself listed as leaving takes it for a former life's line.
  Millis list_lag{60000};
};

struct ControlState {
  ControlLimits limits;
  MemberTable table;
  ServerNewsTable servers;
  settings::ConfigStore config;
  // Own time at which the platform last confirmed the configuration as the
  // newest, here or at an instance that said so.
  std::optional<Millis> config_confirmed;
  // Addresses from the settings file and from the platform's list, of
  // instances that may be there.
  std::vector<Address> seeds;
  std::vector<Peer> listed;
  // Lives that the platform's list called leaving when it first did.
  std::map<InstanceId, MemberState> listed_leaving;
  // Not before the first tick.
  std::optional<Millis> started;
  Millis last_tick;
  uint64_t ticks = 0;
  bool watching = false;
  // What the published view was made from.
  uint64_t view_number = 0;
  uint64_t view_generation = 0;
  uint64_t servers_generation = 0;
  uint64_t view_servers_generation = 0;
  // The buckets of a generation of each table.
  std::optional<uint64_t> member_buckets_generation;
  MemberBuckets member_buckets{};
  std::optional<uint64_t> server_buckets_generation;
  ServerBuckets server_buckets{};
  // The config digest of a generation of the store.
  uint64_t digest_generation = 0;
  uint64_t digest_hash = 0;
  Revision digest_newest;
};

// The state of an instance that starts. `self.incarnation` is to be higher
// than in any earlier life: the wall clock's milliseconds at start.
ControlState StartControl(const MemberState& self, std::vector<Address> seeds,
                          const ControlLimits& limits);

// Events.
struct Tick {};
struct MessageFrom {
  InstanceId from;
  GossipMessage message;
};
// The mesh could not reach the peer.
struct PeerFailed {
  InstanceId peer;
};
// The platform's list of instances. A hint: whoever is listed may be there,
// and whoever is not proves nothing.
struct PlatformList {
  std::vector<platform::ListedInstance> instances;
};
// A sign that a backend server drains, from any source.
struct LocalNews {
  ServerNews news;
};
// An operator's word that a server takes work again in the same life.
struct LocalUndrain {
  BackendServerId server;
};
// An accepted write (a delta from 0 to 0 with one object).
struct AcceptedConfig {
  settings::ConfigDelta delta;
};
// The platform's answer to a list or watch after `delta.after`, asked when the
// watermark was `known`.
struct WatchedConfig {
  settings::ConfigDelta delta;
  Revision known;
};
// This instance starts to serve or to leave.
struct SelfPhase {
  Phase phase = Phase::kServing;
};
using Event =
    std::variant<Tick, MessageFrom, PeerFailed, PlatformList, LocalNews,
                 LocalUndrain, AcceptedConfig, WatchedConfig, SelfPhase>;

// Actions.
struct SendTo {
  Peer peer;
  GossipMessage message;
};
struct PublishView {
  ViewPointer view;
};
// ControlState::config changed; the names of the objects that went up.
struct ApplyConfig {
  std::vector<std::string> changed;
};
// This instance's role changed: watch the platform's configuration and list of
// instances, or stop.
struct StartWatching {};
struct StopWatching {};
// Another life used this id with a higher incarnation; the own one was raised
// and the mesh has to say the new one.
struct AdoptIncarnation {
  Incarnation incarnation;
};
// A member's change, to be logged.
struct MemberChange {
  InstanceId id;
  DataCentreId data_centre;
  Phase phase = Phase::kStarting;
  bool suspect = false;
  // "joined", "left", "silent", … as a short sentence's verb.
  std::string what;
};
// Something that an operator should see.
struct Alarm {
  Error error;
};
using Action =
    std::variant<SendTo, PublishView, ApplyConfig, StartWatching, StopWatching,
                 AdoptIncarnation, MemberChange, Alarm>;

// The one decision function.
std::vector<Action> Step(ControlState* state, const Event& event, Millis now,
                         Random* random);

// Whether the instance knows a configuration.
bool IsConfigured(const ControlState& state);

// Whether the instance is one of the data centre's watchers of the platform.
bool IsWatcher(const ControlState& state);

}  // namespace hibiscuspick::membership
