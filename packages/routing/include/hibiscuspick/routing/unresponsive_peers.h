// Tracks instances whose parts time out, so that not every query waits for an
// owner that hangs.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::routing {

struct PeerTimeouts {
  // Consecutive parts that timed out.
  uint32_t timeouts = 0;
  Millis next_probe;
};

// A paused or partitioned instance keeps its connections open for seconds until
// membership removes it. Meanwhile each query would wait for owner_timeout,
// visible as a second peak in the latency distribution. Holds only instances
// with a timeout since their last report.
struct UnresponsivePeers {
  std::unordered_map<InstanceId, PeerTimeouts> peers;
};

// Consecutive timeouts after which an instance is a suspect.
inline constexpr uint32_t kSuspectAfter = 3;

// Interval at which a suspect is probed with a part.
inline constexpr Millis kProbeInterval{250};

// Maximum instances tracked; further ones are ignored.
inline constexpr size_t kMaxUnresponsivePeers = 1000;

void RecordUnresponsive(UnresponsivePeers* unresponsive, const InstanceId& peer,
                        Millis now);
void RecordResponse(UnresponsivePeers* unresponsive, const InstanceId& peer);

// Moves suspects to the end of the list, except those due for a probe.
void PutSuspectsLast(UnresponsivePeers* unresponsive,
                     std::vector<InstanceId>* candidates, Millis now);

}  // namespace hibiscuspick::routing
