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
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/prober.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/engine/cold_start.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::edge {

// Parameters of a forwarded query that are sent along with the caller's
// headers.
struct ForwardedQuery {
  uint64_t config_version = 0;
  ForwardedDeadlines deadlines;
  // Indices, within the route, of the shards to query; empty for all.
  std::vector<size_t> shard_indices;
  // The account of the query's caller; empty if there is none.
  ClientAccountId account;
  // Set if this query asks for the parts that were still open in an earlier
  // answer: the token of that answer, and how many of the parts are needed.
  struct Remainder {
    std::string token;
    size_t needed = 0;
  };
  Remainder remainder;
};

// Encodes the parameters into headers, and extracts them again; nullopt if they
// are missing or malformed.
void AddForwardingHeaders(const ForwardedQuery& query,
                          std::vector<Header>* headers);
std::optional<ForwardedQuery> ExtractForwardingHeaders(
    std::vector<Header>* headers);

// In the answer to a query for some shards: indices of the shards whose results
// are included, in the order of their stamps.
inline constexpr std::string_view kShardsReceivedHeader = "Hp-Shards-In";
// In every answer to such a query: indices of the missing shards that have used
// all attempts the route allows.
inline constexpr std::string_view kShardsExhaustedHeader = "Hp-Shards-Spent";
// In every answer to such a query: indices of the missing shards that have run
// on no server and will not, and those among them that servers have refused.
// The latter have used their first attempt.
inline constexpr std::string_view kShardsNotRunHeader = "Hp-Shards-Not-Run";
inline constexpr std::string_view kShardsRefusedHeader = "Hp-Shards-Refused";
// In the first answer: indices of the shards that may still reply, and the
// token with which to ask for them within kRemainderTtl.
inline constexpr std::string_view kShardsOpenHeader = "Hp-Shards-Open";
inline constexpr std::string_view kRemainderHeader = "Hp-Rest";
inline constexpr Millis kRemainderTtl{100};

// In every answer to a peer: how long this instance had the query.
inline constexpr std::string_view kProcessingTimeHeader = "Hp-Took-Ms";

// In every answer to a peer: the fraction of time its loop is busy.
inline constexpr std::string_view kUtilisationHeader = "Hp-Busy";

// Records the latency of a hop to a peer, excluding the peer's own processing
// time, from the peer's answer.
void RecordHopLatency(const HttpReply& reply, Millis sent_at,
                      engine::LagMeter* lag);

// Formats and parses comma-separated indices; nullopt if malformed.
std::string FormatIndices(const std::vector<size_t>& indices);
std::optional<std::vector<size_t>> ParseIndices(std::string_view text);

// Status of a peer with another version of the configuration: all parts of an
// answer, and all answers of one instance, must come from one version.
inline constexpr int kVersionMismatchStatus = 409;
// Status of a peer that cannot reach enough servers, before any has run the
// query, or that is stopping. The forwarding instance then sends the query
// itself and so finds out whether it is cut off too. From the peer's refusals
// alone it would keep accepting callers that the balancer could send elsewhere.
inline constexpr int kServersUnreachableStatus = 424;
// In that answer: the peer's data centre is cut off from the others.
inline constexpr std::string_view kCutOffHeader = "Hp-Cut-Off";

class PeerSender {
 public:
  using OnEnd = std::function<void(ForwardResult, HttpReply)>;

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

  // Forwards a query. `on_end` is called once, unless the returned function is
  // called first to cancel it (the caller has disconnected); the peer learns of
  // that by the closed connection. That function returns whether the peer may
  // have the query. `purpose` counts the bytes if the peer is in another data
  // centre.
  std::function<bool()> Send(const engine::Peer& peer, RemotePurpose purpose,
                             std::string text, bool is_head, const Times& times,
                             OnEnd on_end);

 private:
  struct OpenQuery;
  bool IsInBackoff(const InstanceId& peer) const;
  // The busy fraction a sender reported recently; 0 if there is no recent
  // report.
  double UtilisationOf(const InstanceId& peer) const;
  void RecordUtilisation(const InstanceId& peer, const HttpReply& reply);
  bool AcceptsParts(const engine::Peer& peer,
                    const DataCentreId& data_centre) const;
  void SendOnChannel(const std::shared_ptr<OpenQuery>& query);
  void ScheduleSilenceChecks(const std::shared_ptr<OpenQuery>& query,
                             Millis due);
  void StartBackoff(const InstanceId& peer);
  void Finish(const std::shared_ptr<OpenQuery>& query, ForwardResult result,
              HttpReply reply);

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
