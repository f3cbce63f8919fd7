#include "hibiscuspick/routing/unresponsive_peers.h"

#include <algorithm>

namespace hibiscuspick::routing {
namespace {

bool IsDeprioritized(UnresponsivePeers* unresponsive, const InstanceId& peer,
                     Millis now) {
  const auto it = unresponsive->peers.find(peer);
  if (it == unresponsive->peers.end() || it->second.timeouts < kSuspectAfter) {
    return false;
  }
  if (now < it->second.next_probe) return true;
  it->second.next_probe = now + kProbeInterval;
  return false;
}

}  // namespace

void RecordUnresponsive(UnresponsivePeers* unresponsive, const InstanceId& peer,
                        Millis now) {
  if (unresponsive->peers.size() >= kMaxUnresponsivePeers &&
      !unresponsive->peers.contains(peer)) {
    return;
  }
  PeerTimeouts* it = &unresponsive->peers[peer];
  if (++it->timeouts == kSuspectAfter) it->next_probe = now + kProbeInterval;
}

void RecordResponse(UnresponsivePeers* unresponsive, const InstanceId& peer) {
  unresponsive->peers.erase(peer);
}

void PutSuspectsLast(UnresponsivePeers* unresponsive,
                     std::vector<InstanceId>* candidates, Millis now) {
  std::vector<InstanceId> last;
  std::erase_if(*candidates, [&](const InstanceId& it) {
    const bool is_last = IsDeprioritized(unresponsive, it, now);
    if (is_last) last.push_back(it);
    return is_last;
  });
  candidates->insert(candidates->end(), last.begin(), last.end());
}

}  // namespace hibiscuspick::routing
