// Notices of starts and ends among instances, see engine/instance_registry.h.
// Used by one thread only.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/peer_messages.h"
#include "hibiscuspick/edge/remote_traffic.h"
#include "hibiscuspick/engine/instance_registry.h"

namespace hibiscuspick::edge {

// At the address for state updates.
inline constexpr std::string_view kNoticePath = "/instances";

std::string EncodeNotice(const engine::InstanceNotice& notice);
// Nullopt if malformed.
std::optional<engine::InstanceNotice> DecodeNotice(std::string_view text);

enum class NoticeEnd {
  kConfirmed,
  // Nothing listens at the peer's address.
  kNotRunning,
  kSilent,
};

class InstanceNotices {
 public:
  using OnEnd = std::function<void(const InstanceId&, NoticeEnd)>;

  InstanceNotices(Loop* loop, const DataCentreId& own_data_centre,
                  const ByteCounters* remote_bytes)
      : messages_(loop, own_data_centre, remote_bytes) {}

  // Sends the notice to each of the peers that has answered the previous one.
  // `on_end` is called once for each.
  void Send(const std::vector<engine::Peer>& peers,
            const engine::InstanceNotice& notice, const OnEnd& on_end);

 private:
  PeerMessages messages_;
  std::map<InstanceId, engine::Peer> known_;
  std::set<std::pair<InstanceId, engine::NoticeKind>> in_flight_;
};

}  // namespace hibiscuspick::edge
