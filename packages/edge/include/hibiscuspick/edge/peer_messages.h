// Sends short messages to other instances. Used by one thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/remote_traffic.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::edge {

class PeerMessages {
 public:
  // The reply's body; nullopt if there was no valid reply in time.
  using OnReply = std::function<void(const std::optional<std::string>&)>;

  // `remote_bytes` counts the bytes of messages to peers outside of the own
  // data centre.
  PeerMessages(Loop* loop, DataCentreId own_data_centre,
               const ByteCounters* remote_bytes)
      : loop_(loop),
        own_data_centre_(std::move(own_data_centre)),
        remote_bytes_(remote_bytes) {}
  ~PeerMessages();
  PeerMessages(const PeerMessages&) = delete;
  PeerMessages& operator=(const PeerMessages&) = delete;

  // The instances that messages can be sent to.
  void SetPeers(const std::vector<engine::Peer>& peers);

  // Whether the peer has answered all but a few messages, so that Send does not
  // fail for that reason.
  bool HasRoom(const InstanceId& to) const;

  // Whether nothing listened at the peer's address when it was last connected
  // to.
  bool WasRefused(const InstanceId& peer) const {
    return refused_.contains(peer);
  }

  // Sends a POST request over a connection that is kept for further ones.
  // `on_reply` is called once, in a later iteration of the loop. Fails if the
  // peer isn't known or does not answer several earlier messages.
  void Send(const InstanceId& to, std::string_view path, std::string body,
            Millis timeout, OnReply on_reply);

 private:
  struct Message;
  std::shared_ptr<HttpChannel> TakeIdleChannel(const InstanceId& peer);
  size_t InFlightTo(const InstanceId& peer) const;
  void SendOnChannel(const std::shared_ptr<Message>& message);
  void Finish(const std::shared_ptr<Message>& message,
              const std::optional<std::string>& body);

  Loop* const loop_;
  const DataCentreId own_data_centre_;
  const ByteCounters* const remote_bytes_;
  std::map<InstanceId, engine::Peer> peers_;
  std::map<InstanceId, std::vector<std::shared_ptr<HttpChannel>>>
      idle_channels_;
  std::unordered_set<std::shared_ptr<Message>> in_flight_;
  std::set<InstanceId> refused_;
};

}  // namespace hibiscuspick::edge
