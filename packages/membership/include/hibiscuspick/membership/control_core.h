// The decisions of the control thread: which instances are members, which
// changes are sent to which peers, and which instances watch the platform. A
// state and one pure function without threads, sockets or clocks, so that tests
// can run many instances on virtual time.
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
#include "hibiscuspick/membership/drain_table.h"
#include "hibiscuspick/membership/gossip_message.h"
#include "hibiscuspick/membership/member_table.h"
#include "hibiscuspick/membership/view.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/settings/config_store.h"

namespace hibiscuspick::membership {

struct ControlLimits {
  MemberLimits members;
  // Interval at which the caller of Step sends a Tick.
  Millis tick{1000};
  // A longer gap between two ticks counts as a pause of this process.
  Millis pause{2500};
  // Peers in this data centre that get a digest each tick.
  size_t digest_peers = 2;
  // Ticks between two digests to another data centre.
  size_t cross_ticks = 5;
  // A change is pushed to this many peers in this data centre and, by the
  // instance where it originates, to this many in each other data centre.
  size_t push_peers = 3;
  size_t cross_push_peers = 2;
  // A configuration delta up to this many bytes is pushed itself. Of a larger
  // one only a digest is sent, so that each peer fetches the delta once.
  size_t push_bytes = 16 << 10;
  // Maximum bytes of configuration in one message.
  size_t delta_bytes = 512 << 10;
  // Maximum entries of each kind in one MembershipDelta.
  size_t delta_entries = 128;
  // Instances of each data centre that watch the platform.
  size_t watchers = 2;
  // An instance without configuration for this long watches the platform
  // itself.
  Millis watch_without_config{3000};
  // Maximum lag of the platform's list. An instance that started less than this
  // ago and is listed as leaving assumes that the entry belongs to an earlier
  // incarnation.
  Millis max_list_lag{60000};
};

struct ControlState {
  ControlLimits limits;
  MemberTable table;
  DrainTable servers;
  settings::ConfigStore config;
  // Local time at which the platform last confirmed the configuration as the
  // newest, to this instance or to one that reported it.
  std::optional<Millis> config_confirmed;
  // Addresses of instances that may be running, from the settings file
  // (`seeds`) and from the platform's list (`listed`).
  std::vector<Address> seeds;
  std::vector<Peer> listed;
  // The state of each member when the platform's list first showed it as
  // leaving.
  std::map<InstanceId, MemberState> listed_leaving;
  // Time of the first tick.
  std::optional<Millis> started;
  Millis last_tick;
  uint64_t ticks = 0;
  bool watching = false;
  // The generations that the published view was made from.
  uint64_t view_number = 0;
  uint64_t view_generation = 0;
  uint64_t servers_generation = 0;
  uint64_t view_servers_generation = 0;
  // Digest buckets, cached for one generation of each table.
  std::optional<uint64_t> member_buckets_generation;
  MemberBuckets member_buckets{};
  std::optional<uint64_t> server_buckets_generation;
  ServerBuckets server_buckets{};
  // The configuration's part of a digest, cached for one generation of the
  // store.
  uint64_t digest_generation = 0;
  uint64_t digest_hash = 0;
  Revision digest_newest;
};

// Returns the state of an instance that starts. `self.incarnation` must be
// higher than in any earlier incarnation of this id: the wall clock's
// milliseconds at start.
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
// The platform's list of instances. Only a hint: a listed instance may be
// running, but a missing one need not be gone.
struct PlatformList {
  std::vector<platform::ListedInstance> instances;
};
// A report from any source that a backend server is draining.
struct LocalDrain {
  DrainReport report;
};
// An operator's command that a draining server takes requests again in the same
// incarnation.
struct LocalUndrain {
  BackendServerId server;
};
// An accepted write: a delta from 0 to 0 with one object.
struct AcceptedConfig {
  settings::ConfigDelta delta;
};
// The platform's reply to a list or watch after `delta.after`, requested when
// the watermark was `known`.
struct WatchedConfig {
  settings::ConfigDelta delta;
  Revision known;
};
// This instance starts to serve or to leave.
struct SelfPhase {
  Phase phase = Phase::kServing;
};
using Event =
    std::variant<Tick, MessageFrom, PeerFailed, PlatformList, LocalDrain,
                 LocalUndrain, AcceptedConfig, WatchedConfig, SelfPhase>;

// Actions.
struct SendTo {
  Peer peer;
  GossipMessage message;
};
struct PublishView {
  ViewPointer view;
};
// ControlState::config changed. `changed` names the objects with a higher
// version.
struct ApplyConfig {
  std::vector<std::string> changed;
};
// This instance's role changed: start or stop watching the platform's
// configuration and list of instances.
struct StartWatching {};
struct StopWatching {};
// Another process used this id with a higher incarnation. This instance's
// incarnation was raised, and the mesh must use the new one.
struct AdoptIncarnation {
  Incarnation incarnation;
};
// A change of a member, to be logged.
struct MemberChange {
  InstanceId id;
  DataCentreId data_centre;
  Phase phase = Phase::kStarting;
  bool suspect = false;
  // A verb phrase such as "serves" or "is silent", which follows the id in the
  // log.
  std::string what;
};
// A condition that an operator should see.
struct Alarm {
  Error error;
};
using Action =
    std::variant<SendTo, PublishView, ApplyConfig, StartWatching, StopWatching,
                 AdoptIncarnation, MemberChange, Alarm>;

// Handles one event and returns the actions to carry out.
std::vector<Action> Step(ControlState* state, const Event& event, Millis now,
                         Random* random);

// Whether the instance has a configuration.
bool IsConfigured(const ControlState& state);

// Whether the instance is one of its data centre's watchers of the platform.
bool IsWatcher(const ControlState& state);

}  // namespace hibiscuspick::membership
