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
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/prober.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/engine/cold_start.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::edge {

// Parameters of a forwarded query that are sent along with the caller's
// headers.
struct HandedQuery {
  uint64_t config_version = 0;
  HandedClocks clocks;
  // Indices, within the route, of the shards to query; empty for all.
  std::vector<size_t> shards;
  // Set if this query asks for the parts that were still open in an earlier
  // answer: the token of that answer, and how many of the parts are needed.
  struct Rest {
    std::string token;
    size_t wanted = 0;
  };
  Rest rest;
};

// Encodes the parameters into headers, and extracts them again; nullopt if they
// are missing or malformed.
void AddHanded(const HandedQuery& query, std::vector<Header>* headers);
std::optional<HandedQuery> TakeHanded(std::vector<Header>* headers);

// In the answer to a query for some shards: indices of the shards whose results
// are included, in the order of their stamps.
inline constexpr std::string_view kShardsInHeader = "Hp-Shards-In";
// In every answer to such a query: indices of the missing shards that have used
// all attempts the route allows.
inline constexpr std::string_view kShardsSpentHeader = "Hp-Shards-Spent";
// In the first answer: indices of the shards that may still reply, and the
// token with which to ask for them within kRemainderTtl.
inline constexpr std::string_view kShardsOpenHeader = "Hp-Shards-Open";
inline constexpr std::string_view kRestHeader = "Hp-Rest";
inline constexpr Millis kRestPatience{100};

// In every answer to a peer: how long this instance had the query.
inline constexpr std::string_view kTookHeader = "Hp-Took-Ms";

// In every answer to a peer: the fraction of time its loop is busy.
inline constexpr std::string_view kBusyHeader = "Hp-Busy";

// Records the latency of a hop to a peer, excluding the peer's own processing
// time, from the peer's answer.
void NoteHop(const HttpReply& reply, Millis sent_at, engine::LagMeter* lag);

// Formats and parses comma-separated indices; nullopt if malformed.
std::string JoinPlaces(const std::vector<size_t>& places);
std::optional<std::vector<size_t>> SplitPlaces(std::string_view text);

// Status of a peer with another version of the configuration: all parts of an
// answer, and all answers of one instance, must come from one version.
inline constexpr int kOtherVersion = 409;
// Status of a peer that cannot reach enough servers, before any has run the
// query. The forwarding instance then sends the query itself and so finds out
// whether it is cut off too. From the peer's refusals alone it would keep
// accepting callers that the balancer could send elsewhere.
inline constexpr int kOutOfReach = 424;
// In that answer: the peer's data centre is cut off from the others.
inline constexpr std::string_view kCutOffHeader = "Hp-Cut-Off";

class PeerSender {
 public:
  using OnEnd = std::function<void(HandedEnd, HttpReply)>;

  // `prober` must outlive this object; it is notified of replies and failures.
  PeerSender(Loop* loop, Prober* prober) : loop_(loop), prober_(prober) {}
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
  void SetOwnBusy(double share) { own_busy_ = share; }
  double own_busy() const { return own_busy_; }

  // Chooses the peer for a fan-out over shards in these data centres, among
  // those that `homes` allows; nullopt if this instance should run it itself.
  std::optional<engine::Peer> Choose(const std::vector<DataCentreId>& places,
                                     const engine::AllowedDataCentres& homes);
  // This instance's role and rank among the senders; the default if it is not
  // one.
  engine::SenderRank Rank() const;

  // A reachable relay in that data centre, rotating between them; nullptr if
  // there is none.
  const engine::Peer* RelayIn(const DataCentreId& where);
  bool HasRelayIn(const DataCentreId& where) const;
  // Records the fraction of parts requested from that data centre's relays that
  // were missing.
  void NoteLacking(const DataCentreId& where, double share);

  // Time limits of a forwarded query: when the answer is due, after which a
  // peer that answers no query at all gets no further ones, and when the query
  // is abandoned.
  struct Times {
    Millis due;
    Millis timeout;
  };

  // Forwards a query. `on_end` is called once, unless the returned function is
  // called first to cancel it (the caller has disconnected); the peer learns of
  // that by the closed connection.
  std::function<void()> Send(const engine::Peer& peer, std::string text,
                             bool to_head, const Times& times, OnEnd on_end);

 private:
  struct Open;
  bool IsAvoided(const InstanceId& peer) const;
  // The busy fraction a sender reported recently; 0 if there is no recent
  // report.
  double BusyShare(const InstanceId& peer) const;
  void NoteBusy(const InstanceId& peer, const HttpReply& reply);
  bool TakesParts(const engine::Peer& peer, const DataCentreId& where) const;
  void SendOn(const std::shared_ptr<Open>& open);
  void SuspectLater(const std::shared_ptr<Open>& open, Millis due);
  void Avoid(const InstanceId& peer);
  void End(const std::shared_ptr<Open>& open, HandedEnd end, HttpReply reply);

  Loop* const loop_;
  Prober* const prober_;
  std::optional<engine::Peer> own_;
  std::vector<engine::Peer> senders_;
  std::vector<engine::Peer> relays_;
  std::map<InstanceId, std::vector<std::shared_ptr<HttpChannel>>> idle_;
  // Time of each peer's last answer.
  std::map<InstanceId, Millis> heard_;
  // Peers that could not be reached, and until when they get no queries.
  std::map<InstanceId, Millis> avoided_;
  std::map<DataCentreId, engine::RelayHealth> health_;
  struct Busy {
    double share = 0;
    Millis said;
  };
  std::map<InstanceId, Busy> busy_;
  double own_busy_ = 0;
  size_t turn_ = 0;
};

}  // namespace hibiscuspick::edge
