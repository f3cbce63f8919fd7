// What control cores say to each other.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/membership/member.h"
#include "hibiscuspick/membership/server_news.h"
#include "hibiscuspick/settings/config_store.h"

namespace hibiscuspick::membership {

// How long ago the sender, or whoever told it, heard from the data centre.
struct DataCentreAge {
  DataCentreId id;
  Millis age;
};

// Hashes of what the sender knows. Constant in size but for the heartbeats,
// so that in quiet times an exchange costs about a kilobyte whatever the size
// of the configuration.
struct Digest {
  MemberState sender;
  bool reply_wanted = false;
  Revision config_complete_to;
  // The highest version of any object.
  Revision config_newest;
  uint64_t config_hash = 0;
  // Either empty (a reply whose hashes agree) or one hash for each bucket.
  std::vector<uint32_t> member_buckets;
  std::vector<uint32_t> server_buckets;
  // Heartbeats by LifeKey, both lists in step.
  std::vector<uint64_t> heartbeat_keys;
  std::vector<uint32_t> heartbeats;
  std::vector<DataCentreAge> data_centres;
  // How long ago the platform confirmed, to the sender or to whoever told it,
  // that config_complete_to is the newest. None if nobody has.
  std::optional<Millis> config_age;
};

// Entries that are newer at the sender.
struct News {
  std::vector<MemberState> members;
  std::vector<ServerNews> servers;
  // A change on its way: whoever hears it first passes it on. A repair that
  // answers a digest is not, or a newcomer would flood its peers with what
  // they all know.
  bool pass_on = false;
};

using GossipMessage = std::variant<Digest, News, settings::ConfigDelta>;

}  // namespace hibiscuspick::membership
