// Messages between the control cores of two instances.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/membership/drain_table.h"
#include "hibiscuspick/membership/member.h"
#include "hibiscuspick/settings/config_store.h"

namespace hibiscuspick::membership {

// Time since the data centre was last heard from, by the sender or by the
// instance that reported it.
struct DataCentreAge {
  DataCentreId id;
  Millis age;
};

// Hashes of the sender's state. All fields but the heartbeats are constant in
// size, so that without changes an exchange costs about a kilobyte, whatever
// the size of the configuration.
struct Digest {
  MemberState sender;
  bool reply_wanted = false;
  Revision config_complete_to;
  // The highest version of any object.
  Revision config_newest;
  uint64_t config_hash = 0;
  // Either empty (in a reply if the hashes agree) or one hash for each bucket.
  std::vector<uint32_t> member_buckets;
  std::vector<uint32_t> server_buckets;
  // Heartbeats by IncarnationKey; both lists have the same order.
  std::vector<uint64_t> heartbeat_keys;
  std::vector<uint32_t> heartbeats;
  std::vector<DataCentreAge> data_centres;
  // Time since the platform confirmed, to the sender or to the instance that
  // reported it, that config_complete_to is the newest. None if unconfirmed.
  std::optional<Millis> config_age;
};

// Entries that are newer at the sender.
struct MembershipDelta {
  std::vector<MemberState> members;
  std::vector<DrainReport> servers;
  // Marks a new change, which each instance forwards when it first receives it.
  // Not set in replies to digests: a new instance would flood its peers with
  // entries that they all have.
  bool pass_on = false;
};

using GossipMessage =
    std::variant<Digest, MembershipDelta, settings::ConfigDelta>;

}  // namespace hibiscuspick::membership
