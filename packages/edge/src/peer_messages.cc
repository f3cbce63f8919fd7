#include "hibiscuspick/edge/peer_messages.h"

#include <algorithm>
#include <utility>

namespace hibiscuspick::edge {
namespace {

constexpr size_t kMaxReplyBytes = 1 << 20;

// A peer that hangs gets no more connections than this at once.
constexpr size_t kMaxInFlightPerPeer = 4;

constexpr int kOkStatus = 200;

}  // namespace

struct PeerMessages::Message {
  InstanceId to;
  std::string text;
  std::shared_ptr<HttpChannel> channel;
  Loop::TimerId timer = 0;
  // Null once the message has ended.
  OnReply on_reply;
};

// Closes all channels: a channel and its stream hold references to each other
// until one is closed.
PeerMessages::~PeerMessages() {
  for (const auto& it : in_flight_) {
    loop_->Cancel(it->timer);
    it->on_reply = nullptr;
    if (it->channel) it->channel->Close();
  }
  for (const auto& [id, channels] : idle_channels_) {
    for (const auto& it : channels) it->Close();
  }
}

void PeerMessages::SetPeers(const std::vector<engine::Peer>& peers) {
  std::map<InstanceId, engine::Peer> present;
  for (const auto& it : peers) present[it.id] = it;
  std::erase_if(idle_channels_, [&](const auto& it) {
    const auto now = present.find(it.first);
    const auto before = peers_.find(it.first);
    if (now != present.end() && before != peers_.end() &&
        now->second.query_address == before->second.query_address) {
      return false;
    }
    for (const auto& channel : it.second) channel->Close();
    return true;
  });
  peers_ = std::move(present);
}

std::shared_ptr<HttpChannel> PeerMessages::TakeIdleChannel(
    const InstanceId& peer) {
  auto& idle = idle_channels_[peer];
  while (!idle.empty()) {
    auto channel = std::move(idle.back());
    idle.pop_back();
    if (channel->IsIdle()) return channel;
  }
  return nullptr;
}

size_t PeerMessages::InFlightTo(const InstanceId& peer) const {
  return static_cast<size_t>(
      std::count_if(in_flight_.begin(), in_flight_.end(),
                    [&](const auto& it) { return it->to == peer; }));
}

bool PeerMessages::HasRoom(const InstanceId& to) const {
  return InFlightTo(to) < kMaxInFlightPerPeer;
}

void PeerMessages::Send(const InstanceId& to, std::string_view path,
                        std::string body, Millis timeout, OnReply on_reply) {
  const auto peer = peers_.find(to);
  if (peer == peers_.end() || !HasRoom(to)) {
    loop_->Post([on_reply = std::move(on_reply)] { on_reply(std::nullopt); });
    return;
  }
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.headers = {{"Host", ToText(peer->second.query_address)},
                     {"Content-Type", "application/json"}};
  request.body = std::move(body);
  const auto message = std::make_shared<Message>();
  message->to = to;
  message->text = ToText(request);
  message->on_reply = std::move(on_reply);
  message->timer = loop_->RunAt(loop_->now() + timeout, [this, message] {
    message->timer = 0;
    Finish(message, std::nullopt);
  });
  in_flight_.insert(message);
  message->channel = TakeIdleChannel(to);
  if (message->channel) {
    SendOnChannel(message);
    return;
  }
  message->channel = std::make_shared<HttpChannel>(loop_);
  if (peer->second.data_centre != own_data_centre_) {
    message->channel->set_byte_counters(remote_bytes_);
  }
  message->channel->Connect(
      peer->second.query_address, timeout,
      [this, message, channel = message->channel](bool ok) {
        if (channel->was_refused()) {
          refused_.insert(message->to);
        } else {
          refused_.erase(message->to);
        }
        if (!message->on_reply) {
          channel->Close();
        } else if (ok) {
          SendOnChannel(message);
        } else {
          Finish(message, std::nullopt);
        }
      });
}

void PeerMessages::SendOnChannel(const std::shared_ptr<Message>& message) {
  HttpChannel::Exchange exchange;
  exchange.text = std::move(message->text);
  exchange.max_reply_bytes = kMaxReplyBytes;
  exchange.on_reply = [this, message](ExchangeEnd end, const HttpReply& reply) {
    const bool ok = end == ExchangeEnd::kReply && reply.status == kOkStatus;
    Finish(message, ok ? std::optional(reply.body) : std::nullopt);
  };
  message->channel->Send(std::move(exchange));
}

void PeerMessages::Finish(const std::shared_ptr<Message>& message,
                          const std::optional<std::string>& body) {
  loop_->Cancel(std::exchange(message->timer, 0));
  in_flight_.erase(message);
  const auto channel = std::exchange(message->channel, nullptr);
  if (channel->IsIdle() && peers_.contains(message->to)) {
    idle_channels_[message->to].push_back(channel);
  } else {
    channel->Close();
  }
  const auto on_reply = std::exchange(message->on_reply, nullptr);
  if (on_reply) on_reply(body);
}

}  // namespace hibiscuspick::edge
