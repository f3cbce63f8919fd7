#include "hibiscuspick/engine/instance_registry.h"

namespace hibiscuspick::engine {
namespace {

void DropOldNotices(InstanceRegistry* registry, Millis now) {
  std::erase_if(registry->notices, [&](const auto& it) {
    const bool has_left = it.second.notice.kind == NoticeKind::kLeft;
    return now - it.second.at >=
           (has_left ? kMaxListStaleness : kJoinRetention);
  });
}

}  // namespace

void SetList(InstanceRegistry* registry, const std::vector<Peer>& peers,
             bool is_fresh, Millis now) {
  registry->listed.clear();
  for (const auto& it : peers) registry->listed[it.id] = it;
  if (!is_fresh || registry->had_fresh_list) return;
  registry->had_fresh_list = true;
  for (const auto& [id, peer] : CountedInstances(registry, now)) {
    if (id != registry->own.id) registry->unconfirmed.insert(id);
  }
}

bool HandleNotice(InstanceRegistry* registry, const InstanceNotice& notice,
                  Millis now) {
  const auto& id = notice.instance.id;
  if (id == registry->own.id) return false;
  DropOldNotices(registry, now);
  const auto known = registry->notices.find(id);
  const bool is_known = known != registry->notices.end();
  const bool is_same_run =
      is_known && known->second.notice.process == notice.process;
  const bool has_left =
      is_known && known->second.notice.kind == NoticeKind::kLeft;
  const bool is_outdated = notice.kind == NoticeKind::kLeft
                               ? is_known && !is_same_run && !has_left
                               : is_same_run && has_left;
  if (is_outdated) return false;
  registry->notices[id] = {notice, now};
  if (notice.kind == NoticeKind::kLeft) registry->unconfirmed.erase(id);
  return true;
}

std::map<InstanceId, Peer> CountedInstances(InstanceRegistry* registry,
                                            Millis now) {
  DropOldNotices(registry, now);
  auto counted = registry->listed;
  for (const auto& [id, known] : registry->notices) {
    if (known.notice.kind == NoticeKind::kLeft) {
      counted.erase(id);
    } else {
      counted[id] = known.notice.instance;
    }
  }
  counted[registry->own.id] = registry->own;
  return counted;
}

std::vector<Peer> UnconfirmedPeers(const InstanceRegistry& registry) {
  std::vector<Peer> peers;
  if (registry.is_leaving) return peers;
  for (const auto& id : registry.unconfirmed) {
    const auto known = registry.notices.find(id);
    const auto listed = registry.listed.find(id);
    if (known != registry.notices.end()) {
      peers.push_back(known->second.notice.instance);
    } else if (listed != registry.listed.end()) {
      peers.push_back(listed->second);
    }
  }
  return peers;
}

void RecordConfirmed(InstanceRegistry* registry, const InstanceId& peer) {
  registry->unconfirmed.erase(peer);
}

bool HasShare(const InstanceRegistry& registry, Millis now) {
  if (registry.is_leaving || !registry.had_fresh_list) return false;
  if (registry.unconfirmed.empty()) return true;
  return registry.notified_at >= Millis(0) &&
         now - registry.notified_at >= kSilentPeerTimeout;
}

}  // namespace hibiscuspick::engine
