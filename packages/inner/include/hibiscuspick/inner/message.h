// What instances say to each other, as plain values.
#pragma once

#include <variant>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/limits/shard_work.h"
#include "hibiscuspick/membership/gossip_message.h"

namespace hibiscuspick::inner {

// Raised by a change that older instances can't live with.
inline constexpr int kProtocolVersion = 1;
// The oldest version that is still understood.
inline constexpr int kOldestProtocolVersion = 1;

// Some of a part's outcomes; each shard's comes once.
struct PartOutcomes {
  Incarnation incarnation;
  PartId part;
  std::vector<limits::ShardOutcome> outcomes;
};

// The origin no longer wants the part.
struct PartCancel {
  limits::PartOrigin origin;
};

using Message =
    std::variant<limits::PartRequest, PartOutcomes, PartCancel,
                 membership::Digest, membership::News, settings::ConfigDelta>;

// Whether it belongs to a query; the rest is control and waits behind it.
bool IsTraffic(const Message& message);

Message ToMessage(membership::GossipMessage message);

}  // namespace hibiscuspick::inner
