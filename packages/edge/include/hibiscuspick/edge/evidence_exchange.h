// Exchanges evidence about servers with the other senders of fan-outs, over
// their query addresses. Used by the traffic thread only.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/edge/backends.h"
#include "hibiscuspick/edge/byte_budget.h"
#include "hibiscuspick/edge/evidence_wire.h"
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/http_session.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/engine/peers.h"
#include "hibiscuspick/metrics/registry.h"

namespace hibiscuspick::edge {

class EvidenceExchange {
 public:
  // `remote_bytes` counts the bytes of messages to other data centres.
  // `enabled`: the mechanism switch; see settings::Mechanisms.
  EvidenceExchange(Loop* loop, Backends* backends, metrics::Registry* registry,
                   const ByteCounters* remote_bytes, bool enabled);
  ~EvidenceExchange();
  EvidenceExchange(const EvidenceExchange&) = delete;
  EvidenceExchange& operator=(const EvidenceExchange&) = delete;

  // Starts, continues or ends the exchange: it runs if this instance is one of
  // at least two senders.
  void SetPeers(const engine::Peer& own,
                const std::vector<engine::Peer>& senders);

  // Answers the request if it is a message of another sender.
  bool HandleMessage(const std::shared_ptr<HttpSession>& session,
                     const HttpRequest& request);

 private:
  struct PeerState {
    engine::Peer peer;
    std::shared_ptr<HttpChannel> channel;
    // Reports that wait for the next message.
    std::vector<engine::EvidenceReport> pending;
    bool in_flight = false;
    // Whether the peer has told all that it knew when this instance started.
    bool has_told_all = false;
    // Nothing is sent before this.
    Millis next_send;
    // Distinguishes the message in flight from earlier ones that timed out.
    uint64_t message = 0;
  };

  void Tick();
  void SendTo(const InstanceId& id);
  void SendOnChannel(const InstanceId& id, const std::string& text);
  void Finish(const InstanceId& id, uint64_t message, bool ok,
              const HttpReply& reply);
  void Merge(const std::string& body);
  std::vector<engine::EvidenceReport> WithOrigin(
      std::vector<engine::EvidenceReport> reports) const;

  Loop* const loop_;
  Backends* const backends_;
  const bool enabled_;
  const ByteCounters* const remote_bytes_;
  metrics::Counter* const sent_bytes_;
  metrics::Counter* const received_bytes_;
  engine::EvidenceOrigin own_;
  DataCentreId own_data_centre_;
  std::map<InstanceId, PeerState> peers_;
  Loop::TimerId timer_ = 0;
  // R6.8 of docs/design/hard-load.md: 3 KB/s for each instance. The start of an
  // event may use what was left in the last 20 s.
  ByteBudget byte_budget_;
  uint64_t last_message_ = 0;
};

}  // namespace hibiscuspick::edge
