// The traffic thread's whole: callers' requests in, readiness, and the view of
// configuration and servers that requests are served by.
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
#include "hibiscuspick/edge/backends.h"
#include "hibiscuspick/edge/early_requests.h"
#include "hibiscuspick/edge/http_session.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_metrics.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/edge/request_log.h"
#include "hibiscuspick/edge/wire_names.h"
#include "hibiscuspick/engine/route_pace.h"
#include "hibiscuspick/engine/sender_shares.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

struct TrafficSettings {
  Address callers;
  // Where the balancer asks whether this instance is ready, and the path; the
  // metrics are there too.
  Address readiness;
  std::string readiness_path;
  // Where peers hand queries to.
  Address queries;
  WireNames names;
  BackendsPolicy backends;
  // The slack in each service's budget of extra attempts, for all instances.
  double extra_slack = 0;
  // What a cold server gets beyond its service's bound.
  engine::ColdLimits cold;
  // Instances until the number is known.
  size_t instances = 8;
  Millis answer_margin{9};
  Millis end_margin{12};
  // A planned stop: until `stop_refuse` new requests are served as ever, since
  // the balancer still sends them; by `stop_answer` every request has its
  // answer; at `stop_end` the process ends.
  Millis stop_refuse{3000};
  Millis stop_answer{5300};
  Millis stop_end{5600};
};

class TrafficServer {
 public:
  TrafficServer(Loop* loop, TrafficSettings settings);

  Result<Done> Listen();

  // Where others of the process count too.
  metrics::Registry* registry() { return metrics_.registry(); }

  // The view in force from now on; from the loop's thread. A configuration
  // with a lower version than the one held is passed over.
  void SetConfig(std::shared_ptr<const engine::TrafficConfig> config);
  void SetServers(const std::vector<engine::ServerEntry>& entries);
  // Servers in these data centres get nothing from now on. Before the first
  // SetServers, with which requests begin to be served.
  void SetEvacuated(const std::set<DataCentreId>& places);
  // This instance among all, of which some send fan-outs for the others, and
  // some, or the same, ask for parts near them.
  struct Place {
    size_t instances = 1;
    // Of these before it in an order that all agree on.
    size_t rank = 0;
  };
  void SetPeers(const engine::Peer& own,
                const std::vector<engine::Peer>& senders,
                const std::vector<engine::Peer>& relays,
                const Place& own_place);
  // Some instances of each other data centre, by which it is found out whether
  // that can be reached.
  void SetProbed(const std::vector<engine::Peer>& peers);

  // Told when this instance finds its data centre cut off and of no use to
  // callers, and when it hears another one again.
  void set_on_cut_off(std::function<void(bool)> it) {
    on_cut_off_ = std::move(it);
  }
  // Another instance of the data centre has found so, and perhaps of routes for
  // which no caller has come here yet. Whether the others can be reached is
  // looked into, not believed: it may be that one alone that is cut off.
  void LookIfCutOff();

  // Not ready from now on; `done` is called when nothing is in hand any more
  // or the time is up.
  void Stop(const std::function<void()>& done);

 private:
  SessionPolicy CallersPolicy();
  SessionPolicy ReadinessPolicy();
  bool IsReady();
  // Whether the data centre is cut off and the routes that callers ask for need
  // more shards than are within reach: another data centre serves them better.
  bool IsUseless();
  SessionPolicy QueriesPolicy();
  void OnRequest(const std::shared_ptr<HttpSession>& session,
                 HttpRequest request);
  // A query that a peer hands over.
  void OnHanded(const std::shared_ptr<HttpSession>& session,
                HttpRequest request);
  // Stops what runs for whoever is at the other end, once that has left.
  void CancelIfGone(const std::shared_ptr<HttpSession>& session,
                    const std::shared_ptr<QueryRun>& query);
  void OnRestAsked(const std::shared_ptr<HttpSession>& session,
                   const HandedQuery& handed);
  // Answers a peer, which may ask for what is still open.
  void AnswerPeer(const std::shared_ptr<HttpSession>& session,
                  const QueryOutcome& outcome,
                  const std::shared_ptr<QueryRun>& query,
                  const std::string& request_id);
  // nullptr if no route of the configuration in force is asked for.
  const engine::Route* RouteOf(const HttpRequest& request) const;
  // A caller's request that no peer serves; refused without a route.
  void ServeHere(const std::shared_ptr<HttpSession>& session,
                 HttpRequest request, const engine::Route* route);
  void Serve(const std::shared_ptr<HttpSession>& session, HttpRequest request,
             const engine::Route& route,
             const std::optional<HandedQuery>& handed);
  bool HandOver(const std::shared_ptr<HttpSession>& session,
                const HttpRequest& request, const engine::Route& route);
  void OnPeerAnswer(const std::shared_ptr<HttpSession>& session,
                    HttpRequest request, HandedEnd end, const HttpReply& reply);
  void ShareOut();
  std::vector<ServiceId> ServicesFor(const engine::Route& route);
  engine::RoutePace* PaceOf(const engine::Route& route);
  // The data centres that have servers of nearly all shards of the route.
  const std::vector<DataCentreId>& PlacesOf(const engine::Route& route);
  void Refuse(HttpSession* session, const HttpRequest& request, int status,
              std::string_view why);
  void MeasureDelay();
  void AddGauges();
  void AnswerWhatIsLeft();
  void StopStep(const std::function<void()>& done);

  Loop* const loop_;
  const TrafficSettings settings_;
  Prober prober_;
  Backends backends_;
  QueryContext context_;
  HttpListener callers_;
  HttpListener readiness_;
  HttpListener queries_;
  PeerSender peers_;
  QueryMetrics metrics_;
  Place place_;
  // What handing a query over costs in time, beside the peer's own, within the
  // data centre and to another. The first guess is a way and a half.
  engine::LagMeter near_lag_{Millis(4)};
  engine::LagMeter far_lag_{Millis(7)};
  std::shared_ptr<const engine::TrafficConfig> config_;
  bool has_servers_ = false;
  bool stopping_ = false;
  bool useless_ = false;
  // When a peer said last that the data centre is cut off and of no use.
  std::optional<Millis> told_useless_;
  std::function<void(bool)> on_cut_off_;
  Millis stop_began_;
  EarlyRequests early_;
  RequestLog request_log_;
  std::map<RouteId, std::unique_ptr<engine::RoutePace>> paces_;
  std::map<RouteId, engine::SplitState> splits_;
  // Worked out once for each list of servers: an instance of an eighth of a
  // core looks at hundreds of them for each query else.
  struct RoutePlaces {
    uint64_t generation = 0;
    std::vector<DataCentreId> places;
  };
  std::map<RouteId, RoutePlaces> places_;
  std::unordered_set<std::shared_ptr<QueryRun>> running_;
  // Queries that were answered to a peer with parts still open, by the name
  // that the answer gave.
  std::unordered_map<std::string, std::shared_ptr<QueryRun>> rests_;
  uint64_t last_rest_ = 0;
  // Queries that a peer has.
  struct HandedOut {
    std::shared_ptr<HttpSession> session;
    HttpRequest request;
    std::function<void()> give_up;
  };
  std::unordered_map<HttpSession*, HandedOut> handed_out_;
};

}  // namespace hibiscuspick::edge
