// Hands queries to the peers that send fan-outs, and takes their answers.
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

// What a handed query carries beside the caller's own headers.
struct HandedQuery {
  uint64_t config_version = 0;
  HandedClocks clocks;
  // The places of the shards in the route that are asked for; all if empty.
  std::vector<size_t> shards;
  // Set if these are what lacked in an earlier answer: what that called the
  // rest, and how many of them are wanted.
  struct Rest {
    std::string token;
    size_t wanted = 0;
  };
  Rest rest;
};

// Puts it into the headers, and takes it out of them again; nothing if it isn't
// there or can't be read.
void AddHanded(const HandedQuery& query, std::vector<Header>* headers);
std::optional<HandedQuery> TakeHanded(std::vector<Header>* headers);

// In the answer to a query for some shards: the places of those that are in, in
// the order of their receipts.
inline constexpr std::string_view kShardsInHeader = "Hp-Shards-In";
// In every answer to such a query: the places of those that lack and were sent
// to as many servers as the route allows.
inline constexpr std::string_view kShardsSpentHeader = "Hp-Shards-Spent";
// In the first: the places of those that may still come, and the name by which
// to ask for them within kRestPatience.
inline constexpr std::string_view kShardsOpenHeader = "Hp-Shards-Open";
inline constexpr std::string_view kRestHeader = "Hp-Rest";
inline constexpr Millis kRestPatience{100};

// In every answer to a peer: how long the peer had the query.
inline constexpr std::string_view kTookHeader = "Hp-Took-Ms";

// In every answer to a peer: the share of its time that the peer is at work.
inline constexpr std::string_view kBusyHeader = "Hp-Busy";

// Takes what a hop cost beside the peer's own time from the peer's answer.
void NoteHop(const HttpReply& reply, Millis sent_at, engine::LagMeter* lag);

// Numbers separated by commas; nothing if the text is anything else.
std::string JoinPlaces(const std::vector<size_t>& places);
std::optional<std::vector<size_t>> SplitPlaces(std::string_view text);

// A peer that has another version of the configuration answers this: the parts
// of an answer and the answers of one instance follow one version.
inline constexpr int kOtherVersion = 409;
// A peer that can't reach enough servers answers this, before any has run. The
// asker sends the query itself then, and learns whether it is cut off as well:
// from the peer's refusals alone it would go on taking callers that the
// balancer could send elsewhere.
inline constexpr int kOutOfReach = 424;
// In that answer: the peer's data centre is cut off from the others.
inline constexpr std::string_view kCutOffHeader = "Hp-Cut-Off";

class PeerSender {
 public:
  using OnEnd = std::function<void(HandedEnd, HttpReply)>;

  // `prober` outlives it, and is told who answers and who doesn't.
  PeerSender(Loop* loop, Prober* prober) : loop_(loop), prober_(prober) {}
  ~PeerSender();
  PeerSender(const PeerSender&) = delete;
  PeerSender& operator=(const PeerSender&) = delete;

  // `relays`: those that ask for parts near them.
  void SetPeers(const engine::Peer& own,
                const std::vector<engine::Peer>& senders,
                const std::vector<engine::Peer>& relays);
  const std::vector<engine::Peer>& senders() const { return senders_; }
  // The share of its time that this instance is at work.
  void SetOwnBusy(double share) { own_busy_ = share; }
  double own_busy() const { return own_busy_; }

  // The peer that a query over shards in these data centres goes to, of those
  // that `homes` allow; nothing if this instance sends it itself.
  std::optional<engine::Peer> Choose(const std::vector<DataCentreId>& places,
                                     const engine::Homes& homes);
  // Its role among those that send fan-outs, and its place there; one that
  // isn't among them has no place.
  engine::GroupRank Rank() const;

  // A peer in that data centre that takes parts of queries, another one each
  // time; nullptr if none is within reach.
  const engine::Peer* RelayIn(const DataCentreId& where);
  bool HasRelayIn(const DataCentreId& where) const;
  // Of the parts asked for in that data centre this share lacked.
  void NoteLacking(const DataCentreId& where, double share);

  // How long a peer may have a query: when its answer is due, after which a
  // peer that says nothing to anyone gets no further ones, and when it is given
  // up.
  struct Times {
    Millis due;
    Millis timeout;
  };

  // Hands it over. `on_end` is called once, unless the returned function is
  // called first: the caller has left, and the peer is told by the end of the
  // connection.
  std::function<void()> Send(const engine::Peer& peer, std::string text,
                             bool to_head, const Times& times, OnEnd on_end);

 private:
  struct Open;
  bool IsAvoided(const InstanceId& peer) const;
  // What a sender has said of late; one that said nothing isn't known to be.
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
  // When a peer last answered.
  std::map<InstanceId, Millis> heard_;
  // Peers that could not be reached, until when they get nothing.
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
