// Sends short messages to other instances, one in flight to each. Used by one
// thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::edge {

class PeerMessages {
 public:
  // The reply's body; nullopt if there was no valid reply in time.
  using OnReply = std::function<void(const std::optional<std::string>&)>;

  explicit PeerMessages(Loop* loop) : loop_(loop) {}
  ~PeerMessages();
  PeerMessages(const PeerMessages&) = delete;
  PeerMessages& operator=(const PeerMessages&) = delete;

  // Whether a message to the peer is in flight.
  bool IsBusy(const InstanceId& peer) const;
  // Sends a POST request over a connection that is kept; requires that none is
  // in flight to the peer. `on_reply` is called once, in a later iteration of
  // the loop. A reply after the time-out is dropped with its connection.
  void Send(const engine::Peer& peer, std::string_view path, std::string body,
            Millis timeout, OnReply on_reply);

 private:
  struct Connection;
  void SendOnChannel(const std::shared_ptr<Connection>& connection,
                     std::string text);
  void Finish(const std::shared_ptr<Connection>& connection,
              const std::optional<std::string>& body);

  Loop* const loop_;
  std::map<InstanceId, std::shared_ptr<Connection>> connections_;
};

}  // namespace hibiscuspick::edge
