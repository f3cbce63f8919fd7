// Counts the bytes exchanged with other data centres by purpose. Traffic
// between data centres is expensive, so an operator has to see which messages
// cause it. Each exchange is counted once, by the side that opened the
// connection: what it sent and what it received. TCP and IP headers and
// connection setup are not included.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/metrics/registry.h"

namespace hibiscuspick::edge {

enum class RemotePurpose {
  // Long polls for configuration, servers and evacuations.
  kStateUpdates,
  // What senders tell each other about servers.
  kEvidence,
  // Tokens of client accounts.
  kAllowances,
  // Requests under which servers ended.
  kQuarantine,
  // Whole queries run by a sender in another data centre.
  kForwardedQueries,
  // Parts of a query run and merged by a peer in another data centre.
  kRelays,
  // Attempts at backend servers.
  kParts,
};
inline constexpr size_t kRemotePurposeCount =
    static_cast<size_t>(RemotePurpose::kParts) + 1;

// The counters of one purpose. HttpChannel adds to them while they are set.
struct ByteCounters {
  metrics::Counter* sent = nullptr;
  metrics::Counter* received = nullptr;
};

class RemoteTraffic {
 public:
  // `registry` must outlive this object.
  explicit RemoteTraffic(metrics::Registry* registry);

  // Valid as long as this object; may be used by any thread.
  const ByteCounters* CountersOf(RemotePurpose purpose) const {
    return &counters_[static_cast<size_t>(purpose)];
  }

 private:
  std::array<ByteCounters, kRemotePurposeCount> counters_;
};

}  // namespace hibiscuspick::edge
