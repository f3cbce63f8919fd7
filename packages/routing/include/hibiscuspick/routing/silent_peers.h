// Which instances have lately been silent, so that not every query pays the
// wait for an owner that hangs.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::routing {

struct PeerSilence {
  // Parts in a row of which nothing came in time.
  uint32_t parts = 0;
  Millis next_probe;
};

// A paused instance, or one behind a network partition, keeps its connections
// for seconds until membership drops it. Until then each query would wait out
// owner_timeout, which one would see as a second hump in the latencies. Holds
// only instances that were silent since they were last heard.
struct SilentPeers {
  std::unordered_map<InstanceId, PeerSilence> peers;
};

// So many silent parts in a row make an instance a suspect.
inline constexpr uint32_t kSuspectAfter = 3;

// How often a suspect is asked all the same, to see whether it is back.
inline constexpr Millis kProbeEvery{250};

// Instances remembered at most.
inline constexpr size_t kMaxSilentPeers = 1000;

void NoteSilent(SilentPeers* silent, const InstanceId& peer, Millis now);
void RecordContact(SilentPeers* silent, const InstanceId& peer);

// Puts suspects behind all others, but for one that is due for a probe.
void PutSuspectsLast(SilentPeers* silent, std::vector<InstanceId>* candidates,
                     Millis now);

}  // namespace hibiscuspick::routing
