#include "hibiscuspick/routing/silent_peers.h"

#include <algorithm>

namespace hibiscuspick::routing {
namespace {

bool IsPassedOver(SilentPeers* silent, const InstanceId& peer, Millis now) {
  const auto it = silent->peers.find(peer);
  if (it == silent->peers.end() || it->second.parts < kSuspectAfter) {
    return false;
  }
  if (now < it->second.next_probe) return true;
  it->second.next_probe = now + kProbeEvery;
  return false;
}

}  // namespace

void NoteSilent(SilentPeers* silent, const InstanceId& peer, Millis now) {
  if (silent->peers.size() >= kMaxSilentPeers &&
      !silent->peers.contains(peer)) {
    return;
  }
  PeerSilence* it = &silent->peers[peer];
  if (++it->parts == kSuspectAfter) it->next_probe = now + kProbeEvery;
}

void RecordContact(SilentPeers* silent, const InstanceId& peer) {
  silent->peers.erase(peer);
}

void PutSuspectsLast(SilentPeers* silent, std::vector<InstanceId>* candidates,
                     Millis now) {
  std::vector<InstanceId> last;
  std::erase_if(*candidates, [&](const InstanceId& it) {
    const bool is_last = IsPassedOver(silent, it, now);
    if (is_last) last.push_back(it);
    return is_last;
  });
  candidates->insert(candidates->end(), last.begin(), last.end());
}

}  // namespace hibiscuspick::routing
