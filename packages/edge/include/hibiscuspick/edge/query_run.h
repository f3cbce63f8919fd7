// One request of a caller, from its arrival to its answer: its parts, their
// attempts, hedges and retries, and its clocks.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/edge/backends.h"
#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/wire_names.h"
#include "hibiscuspick/engine/fan_out.h"
#include "hibiscuspick/engine/gather.h"
#include "hibiscuspick/engine/lag_meter.h"
#include "hibiscuspick/engine/peers.h"
#include "hibiscuspick/engine/route_pace.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

class PeerSender;
struct HandedQuery;

// What a request needs of the instance; outlives it.
struct QueryContext {
  Loop* loop = nullptr;
  Backends* backends = nullptr;
  const WireNames* names = nullptr;
  // Taken off the caller's target: the way to the caller and back, and what
  // this instance needs to send the answer.
  Millis answer_margin{9};
  // The same beside the way, where that is known.
  Millis own_margin{4};
  // How much after its clock an answer leaves; taken off the target too.
  engine::LagMeter answer_lag;
  // Peers that ask for parts near them, and what that takes beside their own
  // time. The first guess is a way and a half.
  PeerSender* peers = nullptr;
  engine::LagMeter relay_lag{Millis(5)};
  // Taken off the caller's deadline, for the same reason.
  Millis end_margin{12};
};

// The clocks of a query that a peer has handed over: what is left of them.
struct HandedClocks {
  Millis answer_in;
  Millis end_in;
  bool returning = false;
  // What may pass after that until the peer has the answer, as it has measured;
  // `answer_in` has the usual of these taken off.
  std::optional<engine::LagBounds> lags = std::nullopt;
};

// Why a request got no success.
enum class QueryFault {
  kNone,
  // No server took it: it has not run.
  kNoServer,
  // Waited in vain for room: it has not run.
  kNoRoom,
  // Refused, as its shards' queues are too long: it has not run.
  kOverloaded,
  // Servers failed it; it may have run.
  kServersFailed,
  // The caller's time, or the route's, is up.
  kTimeUp,
  // The instance stops; it may have run.
  kStopping,
};
inline constexpr size_t kQueryFaultCount =
    static_cast<size_t>(QueryFault::kStopping) + 1;
std::string_view FaultName(QueryFault fault);

// How a query ended that was handed to a peer.
enum class HandedEnd {
  // The peer's answer is the caller's.
  kAnswer,
  // The peer hasn't begun: it can't be reached, or has another version.
  kNotBegun,
  // The connection broke after the query was sent.
  kBroken,
};

struct QueryOutcome {
  HttpReply reply;
  QueryFault fault = QueryFault::kNone;
  size_t shards = 0;
  size_t shards_in = 0;
  size_t extras = 0;
  // Shards that were kept back and never asked.
  size_t kept_back = 0;
  bool ran = false;
  // Its parts waited behind those of queries that could still be on time.
  bool behind = false;
  // Places of parts that are still awaited after this answer to a peer, until
  // Resume or DropRest.
  std::vector<size_t> open;
  // After the time at which an answer is worth most.
  bool late = false;
  // Of queries that are late or failed: the first services that lack, each with
  // the server that was asked last; of those refused for overload, the times
  // that decided it.
  std::string lacking;
  Millis took;
};

class QueryRun : public std::enable_shared_from_this<QueryRun> {
 public:
  using OnDone = std::function<void(const QueryOutcome&)>;

  QueryRun(QueryContext* context,
           std::shared_ptr<const engine::TrafficConfig> config,
           const engine::Route* route, engine::RoutePace* pace,
           HttpRequest request);

  // Starts the parts. `services`: the shards, or the one service of a plain
  // request. `on_done` is called once unless the caller leaves.
  void Start(const std::vector<ServiceId>& services, OnDone on_done);

  // What the caller's request leaves of the route's clocks at this moment.
  static HandedClocks ClocksFor(const QueryContext& context,
                                const engine::Route& route,
                                engine::RoutePace* pace,
                                const HttpRequest& request);

  // The query was handed over by a peer. Before Start.
  void set_handed(const HandedClocks& it) { handed_ = it; }

  // Only these shards of the route are asked for, and any of them make an
  // answer. Before Start, with the services of the same shards.
  void set_partial(std::vector<size_t> places) { places_ = std::move(places); }

  // A peer that got an answer, and lacks `wanted` parts, asks for the rest of
  // them: these places. Answered by the first so many that come, and at the end
  // by what is here.
  void Resume(const HandedClocks& clocks, const std::vector<size_t>& places,
              size_t wanted, OnDone on_done);
  // Nobody asks for the rest.
  void DropRest();

  // The caller has left: what runs for it is stopped.
  void Cancel();
  // The instance stops: answers with what is here.
  void GiveUp();

 private:
  // What an attempt is, for the budget of extra ones.
  enum class Extra {
    kNone,
    // A repeat, or a second attempt without which the query may fail.
    kNeeded,
    // A second attempt that makes the answer more complete.
    kOptional,
  };
  struct OpenTry {
    AttemptId id;
    BackendServerId server;
    Millis since;
  };
  struct Part {
    ServiceId service;
    std::vector<OpenTry> open;
    // Servers it may have run on.
    std::vector<BackendServerId> ran_on;
    int refusals = 0;
    std::optional<WaitKey> waiting;
    bool in = false;
    bool failed = false;
    // A peer got it in an earlier answer, or doesn't want it.
    bool settled = false;
    // Kept back until others are late.
    bool deferred = false;
    // A peer asks for it.
    bool relayed = false;
    HttpReply reply;
    // The last answer of a server that was no success.
    std::optional<HttpReply> failure;

    bool IsOver() const { return in || failed || settled; }
  };

  const settings::Mechanisms& Uses() const {
    return context_->backends->policy().mechanisms;
  }
  void ReadClocks();
  void StartPart(size_t i);
  // False if the query was answered at once.
  bool StartParts();
  // Hands parts that are far to peers near them; gives the others.
  std::vector<size_t> RelayParts(const std::vector<size_t>& asked);
  bool SendRelay(const engine::RelayGroup& group);
  // Sends a question about parts of this query, whose answer is due in `due`.
  void AskPeer(const engine::Peer& peer, HandedQuery query, Millis due,
               const std::function<void(HandedEnd, const HttpReply&)>& on_end);
  void OnRelayed(const engine::RelayGroup& group, const engine::Peer& peer,
                 HandedEnd end, const HttpReply& reply);
  // What a peer said of these shards: takes what is in, keeps what may come,
  // and asks for the others here. `ran`: the peer may have sent them to
  // servers.
  void TakeFromPeer(const std::vector<size_t>& shards, const engine::Peer& peer,
                    HandedEnd end, const HttpReply& reply, bool ran);
  bool TakeRelayed(const std::vector<size_t>& shards, const HttpReply& reply);
  // Parts that peers still await.
  struct Rest {
    engine::Peer peer;
    std::string token;
    std::vector<size_t> shards;
  };
  void KeepRest(const std::vector<size_t>& shards, const engine::Peer& peer,
                const HttpReply& reply);
  void AskForRests();
  void AskForRest(const Rest& rest, size_t wanted);
  std::vector<size_t> OpenPlaces() const;
  std::vector<size_t> SpentPlaces() const;
  void NoteSpent(const HttpReply& reply);
  QueryOutcome OutcomeOf(HttpReply reply, QueryFault fault) const;
  void WaitForRoom(size_t i, bool extra);
  bool TryPart(size_t i, Extra extra);
  AttemptOrder OrderFor(size_t i);
  // The caller's request as it is passed on, without what is said anew.
  HttpRequest Forwarded() const;
  std::string TextFor(const BackendServerId& server) const;
  bool IsOurs(const HttpReply& reply) const;
  void OnAttempt(size_t i, AttemptResult result);
  bool IsGood(const HttpReply& reply) const;
  // Takes the server's word on how much longer it is cold.
  void NoteWarmup(const AttemptResult& result);
  void OnFailed(size_t i, const AttemptResult& result);
  void RetryPart(size_t i, bool ran);
  void HedgeParts();
  bool MayHedge(const Part& part) const;
  // Whether the route allows that one more server runs it.
  bool HasAttemptLeft(const Part& part) const;
  Millis NextHedge() const;
  void Check();
  void StartKeptBack();
  void ArmTimer();
  void Answer();
  HttpReply GatherReply() const;
  HttpReply OwnReply(int status, QueryFault fault) const;
  void Fail(QueryFault fault);
  Millis BackAfterNoServer() const;
  void Finish(HttpReply reply, QueryFault fault);
  std::string LackingText() const;
  std::string RefusalText() const;
  void StopParts(bool caller_left);
  bool MayHaveRun() const;
  size_t FailedParts() const;
  size_t NeededOfAll() const;
  engine::GatherProgress Progress() const;

  QueryContext* const context_;
  const std::shared_ptr<const engine::TrafficConfig> config_;
  const engine::Route* const route_;
  engine::RoutePace* const pace_;
  HttpRequest request_;
  std::string request_id_;
  // Whose budget of extra attempts it draws on: the shards of one fan-out
  // share one.
  ServiceId budget_of_;
  std::vector<Header> forwarded_;
  OnDone on_done_;
  std::optional<HandedClocks> handed_;
  // The places in the route of a partial query's shards; empty for a whole one.
  std::vector<size_t> places_;
  // Records that peers have merged already.
  std::vector<std::string> merged_;
  // Ends the questions to peers.
  std::vector<std::function<void()>> relays_;
  std::vector<Rest> rests_;
  // Has answered a peer, and awaits its word on the parts that are open.
  bool resting_ = false;
  // How many of those the peer lacks; 0 before it asked.
  size_t wanted_ = 0;
  std::vector<Part> parts_;
  engine::GatherClocks clocks_;
  // Since when it is asked for; see Resume.
  Millis began_;
  Loop::TimerId timer_ = 0;
  size_t extras_ = 0;
  bool returning_ = false;
  bool behind_ = false;
  // The answer clock is what the query is looked at for.
  bool by_clock_ = false;
  Millis retry_after_{50};
  // What a refusal for overload rests on.
  engine::ShardOutlook refused_by_;
  bool done_ = false;
};

}  // namespace hibiscuspick::edge
