// The server on the traffic thread: accepts callers' requests, reports
// readiness, and holds the configuration and server list that requests are
// served with.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/edge/account_allowances.h"
#include "hibiscuspick/edge/account_metrics.h"
#include "hibiscuspick/edge/backends.h"
#include "hibiscuspick/edge/early_requests.h"
#include "hibiscuspick/edge/evidence_exchange.h"
#include "hibiscuspick/edge/http_session.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_metrics.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/edge/remote_traffic.h"
#include "hibiscuspick/edge/request_log.h"
#include "hibiscuspick/edge/request_quarantine.h"
#include "hibiscuspick/edge/wire_names.h"
#include "hibiscuspick/engine/allowance_messages.h"
#include "hibiscuspick/engine/process_limits.h"
#include "hibiscuspick/engine/route_latency.h"
#include "hibiscuspick/engine/sender_shares.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

struct TrafficSettings {
  Address callers;
  // Address and path of the load balancer's readiness check; /metrics is served
  // there too.
  Address readiness;
  std::string readiness_path;
  // Address for queries forwarded by peers.
  Address peer_queries;
  WireNames names;
  BackendsPolicy backends;
  // What the connections of each address may hold together.
  engine::ListenerLimits listeners;
  // Total slack in each service's budget of extra attempts, over all instances.
  double extra_slack = 0;
  // Limits on requests to a cold server beyond its service's own.
  engine::ColdLimits cold_limits;
  // Bound on the requests of client accounts; not enforced without a window.
  engine::AllowanceBounds allowances;
  // Assumed number of instances until it is known.
  size_t instances = 8;
  // A request whose admission depends on its key is refused while the store has
  // not confirmed the configuration for this long, since the key may have been
  // removed. If not set, keys are looked up in the last known configuration.
  std::optional<Millis> revoke_after;
  Millis answer_margin{9};
  Millis deadline_margin{12};
  // Phases of a graceful shutdown, from its start: until `stop_refuse_after`
  // new requests are served, since the load balancer still sends them; at
  // `stop_answer_after` every request still running is answered; at
  // `stop_exit_after` the process exits.
  Millis stop_refuse_after{3000};
  Millis stop_answer_after{5300};
  Millis stop_exit_after{5600};
};

class TrafficServer {
 public:
  TrafficServer(Loop* loop, TrafficSettings settings);

  Result<Done> Listen();

  // Registry in which other components of the process add their metrics.
  metrics::Registry* registry() { return metrics_.registry(); }
  // For the other loops of the process.
  const ExchangeCounters* exchange_counters() const {
    return &exchange_counters_;
  }
  const RemoteTraffic& remote_traffic() const { return remote_traffic_; }

  // Puts a configuration or server list in force; call on the loop's thread. A
  // configuration with a version lower than the current one is ignored.
  void SetConfig(std::shared_ptr<const engine::TrafficConfig> config);
  void SetServers(const std::vector<engine::ServerEntry>& entries);
  // Excludes servers in these data centres from now on. The first call comes
  // before the first SetServers, after which requests are served.
  void SetEvacuated(const std::set<DataCentreId>& data_centres);
  // Sets the other instances: `senders` run fan-outs for the others, `relays`
  // query shards in their own data centre; the two may overlap. `own_position`
  // is this instance's position among all.
  struct InstancePosition {
    size_t instances = 1;
    // Number of instances before this one in an order that all agree on.
    size_t rank = 0;
    // Whether this instance may use its share of limits; see engine::HasShare.
    bool has_share = true;
  };
  void SetPeers(const engine::Peer& own,
                const std::vector<engine::Peer>& senders,
                const std::vector<engine::Peer>& relays,
                const InstancePosition& own_position);
  // Sets the other instances, which are told of requests under which servers
  // end.
  void SetInstances(const std::vector<engine::Peer>& others) {
    quarantine_.SetPeers(others);
  }
  // Sets the instances that count the requests of client accounts.
  void SetCountingInstances(CountingInstances instances);
  // Tells this run of the instance from earlier ones. May be called by any
  // thread.
  uint64_t process() { return allowances_.server().process(); }
  // The instance has started again: what an earlier run of it has lent ends.
  void EndEarlierLoans(const InstanceId& lender, uint64_t process) {
    allowances_.server().EndEarlierLoans(lender, process);
  }
  // Calls `done` once this instance uses no more than its shares by what was
  // last set, here and at the instances that it lends to.
  void WhenSharesSettled(std::function<void()> done) {
    allowances_.WhenSettled(std::move(done));
  }
  // Calls `done` once no other instance lends its share to this one.
  void WhenNotLent(std::function<void()> done) {
    allowances_.server().WhenNotLent(std::move(done));
  }
  // Some instances of each other data centre, which are probed for its
  // reachability.
  void SetProbeTargets(const std::vector<engine::Peer>& peers);

  // Records that the configuration in force was the store's at `at`. On the
  // loop's thread; needed only with TrafficSettings::revoke_after.
  void RecordConfirmation(Millis at) { confirmed_at_ = at; }

  // Callback invoked with true when this instance finds its data centre cut off
  // and unable to serve callers, and with false when another data centre is
  // reachable again.
  void set_on_cut_off(std::function<void(bool)> it) {
    on_cut_off_ = std::move(it);
  }
  // Handles a report of another instance of this data centre that it is cut off
  // and unable to serve, possibly for routes that no caller has requested here
  // yet. Starts probes rather than trusting the report, since only that
  // instance may be cut off.
  void CheckCutOff();

  // Starts a graceful shutdown: readiness is reported as false; `done` is
  // called when no requests are left or the time is up.
  void Stop(const std::function<void()>& done);

 private:
  // How a request was admitted that Serve has decided on.
  struct Admission {
    // The account that the request is counted for; empty if there is none or
    // the request is a part of a query.
    ClientAccountId account;
    // Whether it has taken one of the account's tokens.
    bool has_token = false;
    // The time left of its deadlines, if it was computed.
    std::optional<ForwardedDeadlines> deadlines;
  };
  SessionPolicy CallersPolicy();
  SessionPolicy ReadinessPolicy();
  bool IsReady();
  // Whether the data centre is cut off and the routes in use need more shards
  // than are available here, so that another data centre serves their callers
  // better.
  bool IsUnableToServe();
  SessionPolicy QueriesPolicy();
  void OnRequest(const std::shared_ptr<HttpSession>& session,
                 HttpRequest request);
  // Refuses a request that can't be handled in only one way.
  bool RefuseAmbiguous(HttpSession* session, const HttpRequest& request);
  // Handles a query forwarded by a peer.
  void OnForwardedQuery(const std::shared_ptr<HttpSession>& session,
                        const HttpRequest& request);
  void RecordFanOut(const RouteId& id, uint64_t version,
                    const QueryOutcome& outcome);
  // Cancels the query if the other side of the session disconnects.
  void CancelOnDisconnect(const std::shared_ptr<HttpSession>& session,
                          const std::shared_ptr<QueryRun>& query,
                          const Admission& admission);
  void OnRemainderRequested(const std::shared_ptr<HttpSession>& session,
                            const ForwardedQuery& forwarded);
  // Answers a peer, with a token for the parts that are still open.
  void AnswerPeer(
      const std::shared_ptr<HttpSession>& session, const QueryOutcome& outcome,
      const std::shared_ptr<QueryRun>& query,
      const std::optional<engine::TokenGrant>& refusal = std::nullopt);
  // The route for the request in the current configuration; nullptr if none.
  const engine::Route* RouteOf(const HttpRequest& request) const;
  // Serves a caller's request on this instance; refuses it if there is no
  // route.
  void ServeLocally(const std::shared_ptr<HttpSession>& session,
                    HttpRequest request, const engine::Route* route);
  // `route` is part of `config`. `deadlines` are those left of a request that
  // has waited; by default they begin now.
  void Serve(const std::shared_ptr<HttpSession>& session,
             const std::shared_ptr<const engine::TrafficConfig>& config,
             HttpRequest request, const engine::Route& route,
             const std::optional<ForwardedQuery>& forwarded,
             const std::optional<ForwardedDeadlines>& deadlines = {});
  // Decides whether the caller may use the route and sets the request's
  // account; refuses the request and returns false otherwise.
  bool AdmitCaller(HttpSession* session, const engine::Route& route,
                   HttpRequest* request);
  // Refuses a request that is quarantined; false if it is to be forwarded or
  // served.
  bool RefuseQuarantined(const std::shared_ptr<HttpSession>& session,
                         const HttpRequest& request,
                         const engine::Route& route);
  // Whether the store has confirmed the keys recently enough; see
  // TrafficSettings::revoke_after.
  bool AreKeysConfirmed() const;
  void Run(const std::shared_ptr<HttpSession>& session,
           const std::shared_ptr<const engine::TrafficConfig>& config,
           HttpRequest request, const engine::Route& route,
           const std::optional<ForwardedQuery>& forwarded,
           const Admission& admission);
  // The account of the request in that configuration; nullptr if it has none.
  static const engine::ClientAccount* AccountOf(
      const engine::TrafficConfig& config, const HttpRequest& request);
  struct TokenWait;
  void OnToken(const std::shared_ptr<TokenWait>& wait,
               const engine::TokenOutcome& outcome);
  // Refuses a new request whose account is known to have no tokens; false if it
  // is to be forwarded or served.
  bool RefuseEarly(const std::shared_ptr<HttpSession>& session,
                   const HttpRequest& request, const engine::Route& route);
  // Answers 429 if the allowance is used up, and 503 otherwise.
  void RefuseForAllowance(const std::shared_ptr<HttpSession>& session,
                          const HttpRequest& request, bool used_up,
                          const engine::EarlyRefusal& refusal,
                          bool is_forwarded);
  // Takes what a sender's answer says about the account's allowance.
  void TakePeerRefusal(const ClientAccountId& account,
                       std::optional<engine::TokenGrant> refusal);
  void CountEnd(const Admission& admission, const QueryRun* query,
                const QueryOutcome& outcome);
  // Gives back the token of a request that has certainly not run.
  void ReturnToken(const Admission& admission, const QueryRun& query);
  void OnAllowanceMessage(const std::shared_ptr<HttpSession>& session,
                          const HttpRequest& request);
  void RefuseTokenWaits();
  bool ForwardToPeer(const std::shared_ptr<HttpSession>& session,
                     const HttpRequest& request, const engine::Route& route);
  struct ForwardedRequest;
  void OnPeerAnswer(ForwardedRequest forwarded, ForwardResult result,
                    const PeerAnswer& answer);
  void DivideLimits();
  std::vector<ServiceId> ServicesFor(const engine::Route& route);
  engine::RouteLatency* RouteLatencyOf(const engine::Route& route);
  // The data centres that have servers of nearly all shards of the route.
  const std::vector<DataCentreId>& DataCentresOf(
      const engine::Route& route, const engine::AllowedDataCentres& allowed);
  // The default Retry-After suffices for the load balancer to send the retry to
  // another instance.
  void Refuse(HttpSession* session, const HttpRequest& request, int status,
              std::string_view reason, Millis retry_after = Millis(50));
  void MeasureLoopLag();
  void AddGauges();
  void AnswerRemaining();
  void ContinueStop(const std::function<void()>& done);

  Loop* const loop_;
  const TrafficSettings settings_;
  QueryMetrics metrics_;
  ExchangeCounters exchange_counters_;
  RemoteTraffic remote_traffic_;
  Prober prober_;
  Backends backends_;
  QueryContext context_;
  HttpListener callers_;
  HttpListener readiness_;
  HttpListener peer_queries_;
  PeerSender peers_;
  AccountAllowances allowances_;
  AccountMetrics account_metrics_;
  EvidenceExchange evidence_;
  RequestQuarantine quarantine_;
  InstancePosition own_position_;
  // Latency of forwarding a query to a peer in this data centre and in another,
  // without the peer's processing time. The initial values are one and a half
  // times the one-way network latency.
  engine::LagMeter local_lag_{Millis(4)};
  engine::LagMeter remote_lag_{Millis(7)};
  std::shared_ptr<const engine::TrafficConfig> config_;
  // When the store last confirmed the configuration in force.
  std::optional<Millis> confirmed_at_;
  bool has_servers_ = false;
  bool stopping_ = false;
  bool unable_to_serve_ = false;
  // When a peer last reported that the data centre is cut off and unable to
  // serve.
  std::optional<Millis> unable_reported_at_;
  std::function<void(bool)> on_cut_off_;
  Millis stop_started_at_;
  Millis listening_since_;
  EarlyRequests early_requests_;
  RequestLog request_log_;
  std::map<RouteId, std::unique_ptr<engine::RouteLatency>> route_latencies_;
  std::map<RouteId, engine::SplitState> splits_;
  // Cached for each server list: computing it scans hundreds of servers, too
  // much per query for an instance with an eighth of a core.
  struct RouteDataCentres {
    uint64_t generation = 0;
    std::vector<DataCentreId> data_centres;
  };
  // The data centres allowed may depend on the account.
  std::map<std::pair<RouteId, engine::AllowedDataCentres>, RouteDataCentres>
      route_data_centres_;
  std::unordered_set<std::shared_ptr<QueryRun>> running_;
  std::unordered_set<std::shared_ptr<TokenWait>> token_waits_;
  // Queries that were answered to a peer with parts still open, by the token in
  // the answer.
  std::unordered_map<std::string, std::shared_ptr<QueryRun>> remainders_;
  uint64_t token_prefix_ = 0;
  uint64_t last_token_number_ = 0;
  // Queries that a peer is running for this instance.
  struct ForwardedRequest {
    std::shared_ptr<HttpSession> session;
    HttpRequest request;
    // The configuration that the request uses, and the route in it.
    std::shared_ptr<const engine::TrafficConfig> config;
    const engine::Route* route = nullptr;
    // The deadlines at the time when it was forwarded.
    ForwardedDeadlines deadlines;
    Millis forwarded_at;
    std::function<bool()> cancel;
  };
  std::unordered_map<HttpSession*, ForwardedRequest> forwarded_requests_;
};

}  // namespace hibiscuspick::edge
