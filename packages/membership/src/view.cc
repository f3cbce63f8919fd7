#include "hibiscuspick/membership/view.h"

namespace hibiscuspick::membership {

const ViewMember* FindMember(const MembershipView& view, const InstanceId& id) {
  const auto it = view.members.find(id);
  return it == view.members.end() ? nullptr : &it->second;
}

bool IsDraining(const MembershipView& view, const BackendServerId& server) {
  const auto it = view.servers.find(server);
  return it != view.servers.end() && it->second.draining;
}

std::vector<Peer> PeersOf(const MembershipView& view) {
  std::vector<Peer> peers;
  peers.reserve(view.members.size());
  for (const auto& [id, it] : view.members) {
    if (id != view.self) peers.push_back({id, it.inner, it.incarnation});
  }
  return peers;
}

}  // namespace hibiscuspick::membership
