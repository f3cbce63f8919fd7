// One caller's request from arrival to answer: its parts, their attempts,
// hedges and retries, and its deadlines.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hibiscuspick/edge/backends.h"
#include "hibiscuspick/edge/forwarding_wire.h"
#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/wire_names.h"
#include "hibiscuspick/engine/client_accounts.h"
#include "hibiscuspick/engine/fan_out.h"
#include "hibiscuspick/engine/gather.h"
#include "hibiscuspick/engine/lag_meter.h"
#include "hibiscuspick/engine/peers.h"
#include "hibiscuspick/engine/request_quarantine.h"
#include "hibiscuspick/engine/retry_bookings.h"
#include "hibiscuspick/engine/route_latency.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

class PeerSender;
class RequestQuarantine;

// Shared state of the instance that requests use; outlives them.
struct QueryContext {
  Loop* loop = nullptr;
  Backends* backends = nullptr;
  const WireNames* names = nullptr;
  // Subtracted from the caller's target: network time to the caller and back,
  // and the time this instance takes to send the answer.
  Millis answer_margin{9};
  // Used instead where the network time is known: only the time this instance
  // takes.
  Millis processing_margin{4};
  // How long after its due time an answer leaves; subtracted from the target
  // too.
  engine::LagMeter answer_lag;
  // Peers that query the shards in their own data centre, and the latency of
  // that hop without the peer's processing time. The initial value is one and a
  // half times the one-way network latency.
  PeerSender* peers = nullptr;
  engine::LagMeter relay_lag{Millis(5)};
  RequestQuarantine* quarantine = nullptr;
  // Places of the refused requests of each service.
  std::unordered_map<ServiceId, engine::RetryBookings> retry_bookings;
  // Subtracted from the caller's deadline, for the same reason as
  // answer_margin.
  Millis deadline_margin{12};
};

// The deadlines after `waited`.
ForwardedDeadlines After(ForwardedDeadlines deadlines, Millis waited);

// Why a request did not succeed.
enum class QueryFault {
  kNone,
  // No server was available; the request has not run.
  kNoServer,
  // Only servers that refused the request were available; it has not run.
  kShed,
  // No slot became free in time; the request has not run.
  kNoRoom,
  // Refused by admission control, since its shards' queues are too long; the
  // request has not run.
  kOverloaded,
  // Servers failed; the request may have run.
  kServersFailed,
  // Servers ended under the request, so that it is sent to no further one.
  kServersEnded,
  // Servers ended under the same request before; this one has not run.
  kQuarantined,
  // The caller's deadline or the route's timeout has passed.
  kTimeUp,
  // The instance is shutting down; the request may have run.
  kStopping,
};
inline constexpr size_t kQueryFaultCount =
    static_cast<size_t>(QueryFault::kStopping) + 1;
std::string_view FaultName(QueryFault fault);

// How a forwarded query ended.
enum class ForwardResult {
  // The peer answered; its answer is passed to the caller.
  kAnswered,
  // The peer did not start the query: it is unreachable or has another
  // configuration version.
  kNotStarted,
  // The connection broke after the query was sent.
  kBroken,
};

struct QueryOutcome {
  HttpReply reply;
  QueryFault fault = QueryFault::kNone;
  size_t shards = 0;
  size_t shards_received = 0;
  size_t extra_attempts = 0;
  // Deferred shards that were never queried.
  size_t shards_deferred = 0;
  bool may_have_run = false;
  // Its parts were queued after those of queries that could still be on time.
  bool deprioritized = false;
  // For a peer: the states of the shards that it asked for.
  ShardStates shard_states;
  // Indices of shards that are still awaited after this answer to a peer, until
  // Resume or DropRemainder.
  std::vector<size_t> open_shards;
  // The answer came after the route's target.
  bool late = false;
  // For late or failed queries: the first missing services, each with the
  // server that was tried last. For queries refused by admission control: the
  // estimates that decided it.
  std::string missing_detail;
  Millis latency;
};

class QueryRun : public std::enable_shared_from_this<QueryRun> {
 public:
  using OnDone = std::function<void(const QueryOutcome&)>;

  QueryRun(QueryContext* context,
           std::shared_ptr<const engine::TrafficConfig> config,
           const engine::Route* route, engine::RouteLatency* route_latency,
           HttpRequest request);

  // Starts the parts. `services` are the shards, or the one service of a plain
  // request. `on_done` is called once unless the caller disconnects.
  void Start(const std::vector<ServiceId>& services, OnDone on_done);

  // Time left of the route's and the caller's deadlines for this request, as of
  // now.
  static ForwardedDeadlines DeadlinesFor(const QueryContext& context,
                                         const engine::Route& route,
                                         engine::RouteLatency* route_latency,
                                         const HttpRequest& request);

  // Sets the deadlines of a query forwarded by a peer. Before Start.
  void set_forwarded(const ForwardedDeadlines& it) {
    forwarded_deadlines_ = it;
  }

  // Restricts the query to these shards of the route; any number of them makes
  // an answer. Before Start, with the services of the same shards.
  void set_shard_indices(std::vector<size_t> shard_indices) {
    shard_indices_ = std::move(shard_indices);
  }

  // Continues a query after its first answer to a peer, which still needs
  // `needed` of the parts in `shard_indices`. Answers when that many have
  // arrived, or at the deadline with those that have.
  void Resume(const ForwardedDeadlines& deadlines,
              const std::vector<size_t>& shard_indices, size_t needed,
              OnDone on_done);
  // Stops the open parts: the peer did not ask for them.
  void DropRemainder();

  const engine::RequestFingerprint& fingerprint() const { return fingerprint_; }

  // Whether no server and no peer may have run any part so far.
  bool HasCertainlyNotRun() const;

  // Stops all parts because the caller has disconnected.
  void Cancel();
  // Answers immediately with the parts received, since the instance is shutting
  // down.
  void AnswerNow();

 private:
  // How an attempt is charged to the budget of extra attempts.
  enum class ExtraAttempt {
    kNone,
    // A retry, or a hedge without which the query may fail.
    kUrgent,
    // A hedge that would only raise the answer's coverage.
    kOptional,
  };
  struct OpenAttempt {
    AttemptId id;
    BackendServerId server;
    Millis started_at;
    // Sent to find out whether a server survives the request.
    bool is_canary = false;
  };
  struct HeldPart {
    bool may_have_run = false;
    // An extra attempt is reserved for it.
    bool reserved = false;
  };
  struct Part {
    ServiceId service;
    std::vector<OpenAttempt> open;
    // Servers on which the part may have run.
    std::vector<BackendServerId> may_have_run_on;
    int refusals = 0;
    std::vector<BackendServerId> refused_by;
    // The connections of these refusals.
    std::vector<ChannelId> refused_on;
    std::optional<QueueKey> queue_key;
    bool received = false;
    bool failed = false;
    // The peer received it in an earlier answer or does not need it.
    bool excluded = false;
    // Not queried until other parts are late.
    bool deferred = false;
    // A peer queries this shard.
    bool relayed = false;
    // Set while it waits until it is known whether the request may be sent to
    // another server.
    std::optional<HeldPart> held;
    // A connection was lost with an attempt on it, and its server has ended.
    bool connection_lost = false;
    bool server_ended = false;
    HttpReply reply;
    // The last unsuccessful reply of a server.
    std::optional<HttpReply> failure;

    bool IsOver() const { return received || failed || excluded; }
  };

  const settings::Mechanisms& mechanisms() const {
    return context_->backends->policy().mechanisms;
  }
  // The data centres that the route and the account allow.
  const engine::AllowedDataCentres& allowed_data_centres() const {
    return account_ != nullptr && account_->allowed_data_centres
               ? common_data_centres_
               : route_->allowed_data_centres;
  }
  void SetDeadlines();
  void StartPart(size_t i);
  // Returns false if the query was answered immediately.
  bool StartParts();
  // Forwards parts in other data centres to relays there; returns the remaining
  // parts.
  std::vector<size_t> RelayParts(const std::vector<size_t>& parts);
  bool IsBetterElsewhere(size_t i) const;
  bool SendRelay(const engine::RelayGroup& group);
  // Sends a request for parts of this query to a peer; the answer is due in
  // `due`.
  void SendToPeer(
      const engine::Peer& peer, ForwardedQuery query, Millis due,
      const std::function<void(ForwardResult, const PeerAnswer&)>& on_end);
  void OnRelayAnswer(const engine::RelayGroup& group, const engine::Peer& peer,
                     ForwardResult result, const PeerAnswer& answer);
  // Handles a peer's answer for these shards: takes the results received, keeps
  // track of those that may still come, and queries the others from here.
  // `may_have_run`: the peer may have sent them to servers, except those that
  // its answer names as not run.
  void HandlePeerAnswer(const std::vector<size_t>& shards,
                        const engine::Peer& peer, ForwardResult result,
                        const PeerAnswer& answer, bool may_have_run);
  bool TakePeerResults(const std::vector<size_t>& shards,
                       const PeerAnswer& answer);
  // Parts that a peer still awaits.
  struct PeerRemainder {
    engine::Peer peer;
    std::string token;
    std::vector<size_t> shards;
  };
  void AddRemainder(const std::vector<size_t>& shards, const engine::Peer& peer,
                    const PeerAnswer& answer);
  void RequestRemainders();
  void RequestRemainder(const PeerRemainder& remainder, size_t needed);
  std::vector<size_t> OpenShards() const;
  std::vector<size_t> ExhaustedShards() const;
  void RecordExhausted(const ShardStates& states);
  // What a peer must know of the shards. `stopped`: no part is continued after
  // this answer; `has_results`: it contains the results received.
  ShardStates ShardStatesNow(bool stopped, bool has_results) const;
  // Takes back from the parts what a peer's answer says has not run.
  void RecordNotRun(const std::vector<size_t>& shards,
                    const PeerAnswer& answer);
  QueryOutcome OutcomeOf(HttpReply reply, QueryFault fault) const;
  void EnqueuePart(size_t i, bool extra);
  bool TryStartPart(size_t i, ExtraAttempt extra);
  AttemptSpec AttemptSpecFor(size_t i);
  // State for the decision whether the request may be sent to another server,
  // without the attempt `except`.
  engine::SendState SendStateNow(AttemptId except = {}) const;
  // Whether the part may be sent to another server now. If not, it is held, or
  // fails if it never may.
  bool MaySend(size_t i, bool may_have_run);
  bool MayHedgeNow() const;
  void HoldPart(Part* part, bool may_have_run);
  // Returns whether servers may have run the part.
  bool ReleasePart(Part* part);
  void ReleaseHeldParts();
  bool IsCanary(const Part& part) const;
  // Refuses the request if it is quarantined; false if it was answered.
  bool AdmitUnlessQuarantined();
  // Puts parts at services of which servers ended first.
  void SortCanaries(std::vector<size_t>* parts) const;
  void OnConnectionLost(size_t i, const AttemptResult& result);
  void OnServerChecked(size_t i, const engine::ServerEnd& end,
                       const BackendServerId& server, bool is_canary,
                       const ServerCheck& check);
  // Records that a server completed the part.
  void OnServerSurvived(size_t i, bool is_canary);
  void RecordServed();
  void AddPeerEnds(const std::vector<size_t>& shards, const PeerAnswer& answer);
  void AddOwnEnd(const engine::ServerEnd& end);
  void DecideQuarantine();
  bool IsServerCheckPending() const;
  // The caller's request without the headers that are set anew for each server.
  HttpRequest UpstreamRequest() const;
  std::string SerializeFor(const BackendServerId& server) const;
  void OnAttempt(size_t i, AttemptResult result);
  // Records the remaining warm-up time that the server reported, if any.
  void RecordWarmup(const AttemptResult& result);
  bool IsRefusal(const AttemptResult& result) const;
  void OnFailedAttempt(size_t i, const AttemptResult& result);
  void RetryPart(size_t i, bool may_have_run);
  bool MayWait(const Part& part, bool is_extra) const;
  void HedgeParts();
  bool MayHedge(const Part& part) const;
  // Whether the route allows an attempt at one more server.
  bool HasAttemptLeft(const Part& part) const;
  Millis NextHedgeTime() const;
  void Advance();
  void StartDeferredParts();
  void ArmTimer();
  void Answer();
  HttpReply MergedReply() const;
  HttpReply ErrorReply(int status, QueryFault fault) const;
  void Fail(QueryFault fault);
  Millis RetryAfter(QueryFault fault) const;
  // Why a request fails that no server can be tried for any more.
  QueryFault FaultOfFailedParts() const;
  void Finish(HttpReply reply, QueryFault fault);
  std::string DescribeMissing() const;
  std::string DescribeCapacity() const;
  void StopParts(bool caller_left);
  bool MayHaveRun() const;
  size_t FailedPartCount() const;
  size_t NeededPartCount() const;
  engine::GatherProgress Progress() const;

  QueryContext* const context_;
  const std::shared_ptr<const engine::TrafficConfig> config_;
  const engine::Route* const route_;
  engine::RouteLatency* const route_latency_;
  HttpRequest request_;
  std::string request_id_;
  // The caller's account; nullptr if it has none. Part of `config_`.
  const engine::ClientAccount* account_ = nullptr;
  // Set if the account is restricted to some data centres.
  engine::AllowedDataCentres common_data_centres_;
  // The service whose budget of extra attempts this query uses; shared by all
  // shards of a fan-out.
  ServiceId budget_service_;
  std::vector<Header> upstream_headers_;
  OnDone on_done_;
  std::optional<ForwardedDeadlines> forwarded_deadlines_;
  // Indices within the route of a partial query's shards; empty for a whole
  // query.
  std::vector<size_t> shard_indices_;
  // Result records that peers have already merged.
  std::vector<std::string> merged_bodies_;
  // Functions that cancel the requests to peers.
  std::vector<std::function<void()>> cancel_relays_;
  std::vector<PeerRemainder> remainders_;
  // Has answered a peer and waits for it to ask for the open parts.
  bool awaiting_resume_ = false;
  // How many of the open parts the peer needs; 0 before it asked.
  size_t needed_by_peer_ = 0;
  std::vector<Part> parts_;
  engine::GatherDeadlines deadlines_;
  // Start of the query, or of its continuation by Resume.
  Millis started_at_;
  Loop::TimerId timer_ = 0;
  size_t extra_attempts_ = 0;
  bool is_retry_ = false;
  bool deprioritized_ = false;
  // Set while the timer of the answer time is handled.
  bool at_answer_timer_ = false;
  Millis retry_after_{50};
  // The estimate on which an admission refusal is based.
  engine::ShardEstimate refusal_estimate_;
  bool done_ = false;
  engine::RequestFingerprint fingerprint_;
  // Servers that ended under this attempt, by engine::EvidenceKey.
  std::vector<uint64_t> ended_servers_;
  // Lost connections whose servers are being checked.
  size_t unconfirmed_ends_ = 0;
  // Could be failed but for what its attempts in progress will show.
  bool awaiting_checks_ = false;
  size_t survivors_ = 0;
  size_t canary_window_ = 1;
  bool repeat_ended_ = false;
};

}  // namespace hibiscuspick::edge
