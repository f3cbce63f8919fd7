// The messages between instances as plain values.
#pragma once

#include <variant>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/limits/shard_work.h"
#include "hibiscuspick/membership/gossip_message.h"

namespace hibiscuspick::inner {

// Increased by a change that is incompatible with older instances.
inline constexpr int kProtocolVersion = 1;
// The oldest version that is still supported.
inline constexpr int kMinProtocolVersion = 1;

// Outcomes of some of a part's shards; each shard's outcome is sent once.
struct PartOutcomes {
  Incarnation incarnation;
  PartId part;
  std::vector<limits::ShardOutcome> outcomes;
};

// The origin no longer needs the part.
struct PartCancel {
  limits::PartOrigin origin;
};

using Message = std::variant<limits::PartRequest, PartOutcomes, PartCancel,
                             membership::Digest, membership::MembershipDelta,
                             settings::ConfigDelta>;

// Whether the message belongs to a query. All others are control messages,
// which are sent after traffic.
bool IsTraffic(const Message& message);

Message ToMessage(membership::GossipMessage message);

}  // namespace hibiscuspick::inner
