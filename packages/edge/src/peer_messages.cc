#include "hibiscuspick/edge/peer_messages.h"

#include <utility>

namespace hibiscuspick::edge {
namespace {

// As large as the longest body that a peer accepts.
constexpr size_t kMaxReplyBytes = 262144;

constexpr int kOkStatus = 200;

}  // namespace

struct PeerMessages::Connection {
  Address address;
  std::shared_ptr<HttpChannel> channel;
  Loop::TimerId timer = 0;
  // Set while a message is in flight.
  OnReply on_reply;
};

// Closes all channels: a channel and its stream hold references to each other
// until one is closed.
PeerMessages::~PeerMessages() {
  for (const auto& [id, it] : connections_) {
    loop_->Cancel(it->timer);
    it->on_reply = nullptr;
    if (it->channel) it->channel->Close();
  }
}

bool PeerMessages::IsBusy(const InstanceId& peer) const {
  const auto found = connections_.find(peer);
  return found != connections_.end() && found->second->on_reply != nullptr;
}

void PeerMessages::Send(const engine::Peer& peer, std::string_view path,
                        std::string body, Millis timeout, OnReply on_reply) {
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.headers = {{"Host", ToText(peer.query_address)},
                     {"Content-Type", "application/json"}};
  request.body = std::move(body);
  auto& held = connections_[peer.id];
  if (!held) held = std::make_shared<Connection>();
  const auto connection = held;
  connection->on_reply = std::move(on_reply);
  connection->timer = loop_->RunAt(loop_->now() + timeout, [this, connection] {
    connection->timer = 0;
    Finish(connection, std::nullopt);
  });
  const bool reusable = connection->channel && connection->channel->IsIdle() &&
                        connection->address == peer.query_address;
  if (reusable) {
    SendOnChannel(connection, ToText(request));
    return;
  }
  if (connection->channel) connection->channel->Close();
  connection->address = peer.query_address;
  connection->channel = std::make_shared<HttpChannel>(loop_);
  connection->channel->Connect(
      peer.query_address, timeout,
      [this, connection, channel = connection->channel,
       text = ToText(request)](bool ok) {
        if (connection->channel != channel || !connection->on_reply) {
          channel->Close();
        } else if (ok) {
          SendOnChannel(connection, text);
        } else {
          Finish(connection, std::nullopt);
        }
      });
}

void PeerMessages::SendOnChannel(const std::shared_ptr<Connection>& connection,
                                 std::string text) {
  HttpChannel::Exchange exchange;
  exchange.text = std::move(text);
  exchange.max_reply_bytes = kMaxReplyBytes;
  exchange.on_reply = [this, connection](ExchangeEnd end,
                                         const HttpReply& reply) {
    const bool ok = end == ExchangeEnd::kReply && reply.status == kOkStatus;
    Finish(connection, ok ? std::optional(reply.body) : std::nullopt);
  };
  connection->channel->Send(std::move(exchange));
}

void PeerMessages::Finish(const std::shared_ptr<Connection>& connection,
                          const std::optional<std::string>& body) {
  loop_->Cancel(std::exchange(connection->timer, 0));
  if (!body && connection->channel) {
    std::exchange(connection->channel, nullptr)->Close();
  }
  const auto on_reply = std::exchange(connection->on_reply, nullptr);
  if (on_reply) on_reply(body);
}

}  // namespace hibiscuspick::edge
