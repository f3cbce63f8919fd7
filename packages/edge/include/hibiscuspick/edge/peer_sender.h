// Forwards queries, or parts of them, to other instances (peers) and receives
// their answers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log_sink.h"
#include "hibiscuspick/edge/forwarding_wire.h"
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/prober.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/engine/cold_start.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::edge {

// How long a peer keeps the parts that are still open after its answer.
inline constexpr Millis kRemainderTtl{100};

// Records the latency of a hop to a peer, excluding the peer's own processing
// time, from the peer's answer.
void RecordHopLatency(const PeerAnswer& answer, Millis sent_at,
                      engine::LagMeter* lag);

class PeerSender {
 public:
  using OnEnd = std::function<void(ForwardResult, const PeerAnswer&)>;

  // `prober` and `remote_traffic` must outlive this object. The prober is
  // notified of replies and failures.
  PeerSender(Loop* loop, Prober* prober, const RemoteTraffic* remote_traffic)
      : loop_(loop), prober_(prober), remote_traffic_(remote_traffic) {}
  ~PeerSender();
  PeerSender(const PeerSender&) = delete;
  PeerSender& operator=(const PeerSender&) = delete;

  // `senders` run whole fan-outs for other instances; `relays` query the shards
  // in their own data centre.
  void SetPeers(const engine::Peer& own,
                const std::vector<engine::Peer>& senders,
                const std::vector<engine::Peer>& relays);
  const std::vector<engine::Peer>& senders() const { return senders_; }
  // Fraction of time that this instance's loop is busy.
  void set_own_utilisation(double utilisation) {
    own_utilisation_ = utilisation;
  }
  double own_utilisation() const { return own_utilisation_; }

  // Chooses the peer for a fan-out over shards in these data centres, among
  // those in `allowed_data_centres`; nullopt if this instance should run it
  // itself.
  std::optional<engine::Peer> ChoosePeer(
      const std::vector<DataCentreId>& data_centres,
      const engine::AllowedDataCentres& allowed_data_centres);
  // This instance's role and rank among the senders; default values if it is
  // not a sender.
  engine::SenderRank Rank() const;

  // A reachable relay in that data centre, rotating between them; nullptr if
  // there is none.
  const engine::Peer* ChooseRelay(const DataCentreId& data_centre);
  bool HasRelayIn(const DataCentreId& data_centre) const;
  // Records the fraction of parts requested from that data centre's relays that
  // were missing.
  void RecordMissingShare(const DataCentreId& data_centre, double share);

  // Time limits of a forwarded query. A peer that has answered no query at all
  // some time after `due` gets no further ones; after `timeout` the query is
  // abandoned.
  struct Times {
    Millis due;
    Millis timeout;
  };

  // Forwards a query, encoded by EncodeForwardedQuery. `on_end` is called once,
  // unless the returned function is
  // called first to cancel it (the caller has disconnected); the peer learns of
  // that by the closed connection. That function returns whether the peer may
  // have the query. `purpose` counts the bytes if the peer is in another data
  // centre.
  std::function<bool()> Send(const engine::Peer& peer, RemotePurpose purpose,
                             std::string text, const Times& times,
                             OnEnd on_end);

 private:
  struct OpenQuery;
  bool IsInBackoff(const InstanceId& peer) const;
  // The busy fraction a sender reported recently; 0 if there is no recent
  // report.
  double UtilisationOf(const InstanceId& peer) const;
  bool AcceptsParts(const engine::Peer& peer,
                    const DataCentreId& data_centre) const;
  void SendOnChannel(const std::shared_ptr<OpenQuery>& query);
  void ScheduleSilenceChecks(const std::shared_ptr<OpenQuery>& query,
                             Millis due);
  void StartBackoff(const InstanceId& peer);
  void OnReply(const std::shared_ptr<OpenQuery>& query, const HttpReply& reply);
  // The peer did not answer: backs off and closes its connections.
  void FinishUnanswered(const std::shared_ptr<OpenQuery>& query,
                        ForwardResult result);
  void Finish(const std::shared_ptr<OpenQuery>& query, ForwardResult result,
              const PeerAnswer& answer);

  Loop* const loop_;
  Prober* const prober_;
  const RemoteTraffic* const remote_traffic_;
  std::optional<engine::Peer> own_;
  std::vector<engine::Peer> senders_;
  std::vector<engine::Peer> relays_;
  std::map<InstanceId, std::vector<std::shared_ptr<HttpChannel>>>
      idle_channels_;
  // Time of each peer's last answer.
  std::map<InstanceId, Millis> last_contact_;
  // Peers that could not be reached, and until when they get no queries.
  std::map<InstanceId, Millis> backoff_until_;
  LineBudget oversized_lines_{5, 50, 50};
  LineBudget defect_lines_{5, 50, 50};
  std::map<DataCentreId, engine::RelayHealth> relay_health_;
  struct UtilisationReport {
    double utilisation = 0;
    Millis reported_at;
  };
  std::map<InstanceId, UtilisationReport> utilisation_;
  double own_utilisation_ = 0;
  size_t rotation_ = 0;
};

}  // namespace hibiscuspick::edge
