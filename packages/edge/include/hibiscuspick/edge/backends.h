// Connection pools to the backend servers, the attempts in flight on them and
// the queues of parts that wait for a free slot. Used by one thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log_sink.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/prober.h"
#include "hibiscuspick/engine/cold_start.h"
#include "hibiscuspick/engine/extra_attempt_budget.h"
#include "hibiscuspick/engine/fan_out.h"
#include "hibiscuspick/engine/request_quarantine.h"
#include "hibiscuspick/engine/server_evidence.h"
#include "hibiscuspick/engine/server_view.h"
#include "hibiscuspick/settings/mechanisms.h"

namespace hibiscuspick::edge {

enum class AttemptEnd {
  // A complete reply to this request arrived.
  kReply,
  // No connection could be made, or it broke before anything was sent.
  kNotSent,
  // The request was sent, but the connection broke or the reply is no answer
  // to it.
  kBroken,
  // AttemptSpec::may_send withdrew it before anything was sent.
  kWithdrawn,
};

struct AttemptResult {
  AttemptId id;
  BackendServerId server;
  // Estimates of the server instance that ran the attempt. Another server may
  // meanwhile be listed under the same id; this result must not be charged to
  // it.
  std::shared_ptr<engine::ServerView> view;
  AttemptEnd end = AttemptEnd::kNotSent;
  // The connection it was sent on, if any.
  ChannelId channel;
  HttpReply reply;
  // Measured from the moment the request was sent.
  Millis latency;
};

// What became of a server after an attempt's connection to it was lost.
enum class ServerFate { kRunning, kEnded, kUnknown };
struct ServerCheck {
  ServerFate fate = ServerFate::kUnknown;
  // No other request of this instance lost a connection to it at that time.
  bool alone = false;
};

struct AttemptSpec {
  // Owned by what the callbacks keep alive.
  std::string_view request_id;
  ServiceId service;
  // The service whose budget of extra attempts pays for a second attempt.
  ServiceId budget_service;
  // Typical latency of an attempt on this route, and the age at which an
  // unanswered attempt makes its server suspect.
  Millis median_latency;
  Millis overdue_after;
  // Servers that must not get this attempt.
  std::vector<BackendServerId> excluded;
  // Servers that have refused the part.
  std::vector<BackendServerId> refused_by;
  // Data centres the route is restricted to; null for all. Owned by the route,
  // which outlives the attempt.
  const engine::AllowedDataCentres* allowed_data_centres = nullptr;
  // Skips servers that are suspected of a pause.
  bool skip_suspected = false;
  // Connections on which the request was refused. A late copy of that refusal
  // could be taken as the reply to this attempt.
  std::vector<ChannelId> refused_on;
  // Returns the serialised request for the given server.
  std::function<std::string(const BackendServerId&)> serialize_for;
  bool is_head = false;
  // The request must not run twice, so it is sent only on connections that are
  // unlikely to have been closed by the server.
  bool not_idempotent = false;
  // Owned by what the callbacks keep alive.
  const WireNames* names = nullptr;
  // Asked once the connection stands, if one had to be made; may be null.
  std::function<bool(AttemptId)> may_send;
  // Called before `on_end`, and also for an abandoned attempt, if the
  // connection is lost after the request was sent; may be null.
  std::function<void(const AttemptResult&)> on_connection_lost;
  std::function<void(AttemptResult)> on_end;
};

// This instance's share of the load that the servers of a service accept.
struct ServiceShare {
  // Maximum connections to each server.
  int connections = 2;
  // Share of the slack in the service's budget of extra attempts.
  double slack = 0;
  // Maximum requests to a cold server within engine::kColdWindow; unset for no
  // limit.
  std::optional<int> cold_allowance;
  // How long a server that may be cold, but does not report it, is treated as
  // cold.
  Millis warmup;
};

struct BackendsPolicy {
  engine::ChoicePolicy choice;
  // Response header that carries a server's load report; empty if there is
  // none.
  std::string load_header;
  settings::Mechanisms mechanisms;
  // Parameters of the budget of extra attempts; the slack is set for each
  // service.
  engine::ExtraAttemptLimits extra_attempt_limits;
  Millis connect_timeout{300};
  // Interval between connection attempts to an unreachable server.
  Millis probe_interval{300};
  size_t max_reply_bytes = 8 << 20;
};

// An attempt that is in flight.
struct StartedAttempt {
  AttemptId id;
  BackendServerId server;
};

// Sort key of a waiting part: overdue or deprioritized parts come last, then
// earlier due times first, then higher priority (lower number), then arrival
// order.
using QueueKey = std::tuple<bool, double, int, uint64_t>;

struct QueuedPart {
  int priority = 0;
  Millis due;
  // Not expected to finish by `due`, so it waits after the parts that are.
  bool deprioritized = false;
  // Called with the new key when the part is moved within the queue.
  std::function<void(const QueueKey&)> on_key_changed;
  // Tries to start the part. Returns true if it was started or is no longer
  // needed, which removes it from the queue.
  std::function<bool()> try_start;
};

class Backends {
 public:
  // `prober` must outlive this object; it is notified of every contact with a
  // server. `part_bytes` counts the bytes of attempts at servers in other data
  // centres.
  Backends(Loop* loop, BackendsPolicy policy, Prober* prober,
           const ByteCounters* part_bytes);
  ~Backends();

  void SetServers(const std::vector<engine::ServerEntry>& entries);
  // Excludes the servers in these data centres from attempts and probes.
  // Attempts already in flight there may finish.
  void SetEvacuated(std::set<DataCentreId> data_centres);
  const std::set<DataCentreId>& evacuated() const { return evacuated_; }
  // Whether all servers of the service that are neither removed nor draining
  // are in evacuated data centres.
  bool IsEvacuated(const ServiceId& service) const;
  void SetShare(const ServiceId& service, const ServiceShare& share);

  // The data centre of the server that TryStart would choose now; nullopt if no
  // server can take an attempt. The spec needs no callbacks.
  std::optional<DataCentreId> DataCentreOfChoice(const AttemptSpec& spec);
  // Starts an attempt on the best server; nullopt if no server can take one
  // now.
  std::optional<StartedAttempt> TryStart(AttemptSpec spec);

  // Drops an attempt whose result is no longer needed; `on_end` will not be
  // called. With `stop_server` the connection is closed so that the server
  // stops working on it. Otherwise the attempt may finish within a short grace
  // period, which keeps the connection, unless other parts wait for the server.
  void Abandon(AttemptId id, bool stop_server);

  // Queues a part until a server of the service has a free slot.
  QueueKey Enqueue(const ServiceId& service, QueuedPart part);
  void RemoveQueued(const ServiceId& service, const QueueKey& key);

  // Whether the service's budget allows one more extra attempt while the share
  // `reserve` of the budget stays available for others.
  bool HasExtraAttempt(const ServiceId& service, double reserve);
  void TakeExtraAttempt(const ServiceId& service);
  // Keeps one extra attempt of the budget for a part that may not be sent yet;
  // false if there is none. Until ReleaseExtraAttempt.
  bool ReserveExtraAttempt(const ServiceId& service);
  void ReleaseExtraAttempt(const ServiceId& service);
  void CountRequest(const ServiceId& service);
  const BackendsPolicy& policy() const { return policy_; }
  size_t open_attempts() const { return attempts_.size(); }
  bool HasAvailableServer(
      const ServiceId& service,
      const engine::AllowedDataCentres& allowed_data_centres,
      const std::vector<BackendServerId>& excluded = {}) const;
  // Estimates queueing and service time of a part due at `due`; nullopt if none
  // of the service's servers is reachable.
  std::optional<engine::ShardEstimate> EstimateShard(
      const ServiceId& service, Millis median_latency, Millis due,
      const engine::AllowedDataCentres& allowed_data_centres) const;
  // Incremented whenever the result of DataCentresOf may have changed.
  uint64_t generation() const { return generation_; }
  // The data centres that have servers of nearly all of the services.
  std::vector<DataCentreId> DataCentresOf(
      const std::vector<ServiceId>& services,
      const engine::AllowedDataCentres& allowed_data_centres) const;
  // The data centres with at least one server of the service that is reachable
  // and not suspected of a pause.
  std::vector<DataCentreId> DataCentresOfService(
      const ServiceId& service,
      const engine::AllowedDataCentres& allowed_data_centres) const;
  // Addresses of servers in a data centre that may be reachable, rotated on
  // each call so that the first is not always the same.
  std::vector<Address> ServerAddressesIn(const DataCentreId& data_centre);
  // Whether this instance's data centre is cut off: no other data centre is
  // reachable, or all attempts at servers elsewhere have failed for a while.
  bool IsCutOff() const;
  // Records a report from this data centre's sender that the data centre is cut
  // off. The report is trusted for kCutOffReportTtl or until another data
  // centre is reached. An instance that forwards its queries makes few attempts
  // of its own, and without the report would refuse many callers before it
  // noticed the cut.
  void RecordCutOffReport() {
    if (policy_.mechanisms.cut_off_notices) cut_off_reported_at_ = loop_->now();
  }
  bool IsReportedCutOff() const;

  // Handles a reply 421 Misdirected Request: another server now has this
  // address.
  void RecordMisdirected(const AttemptResult& result);
  void RecordFailure(const AttemptResult& result);
  // Records that the server did not run the request.
  void RecordRefusal(const AttemptResult& result);
  void RecordReply(const AttemptResult& result, Millis median_latency);
  // Records the remaining warm-up time that the server reported.
  void RecordWarmup(const AttemptResult& result, Millis left);

  // Finds out by a connection whether the server of an attempt whose connection
  // was lost still runs. `request_id` tells requests apart. `done` is called
  // later, within engine::kServerCheckTimeout.
  void CheckServer(const AttemptResult& result, const std::string& request_id,
                   std::function<void(const ServerCheck&)> done);
  // Finds out by connections whether any of a few servers has ended that are
  // not among `ends`, but of the same services or in the same data centres.
  void CheckBystanders(const std::vector<engine::ServerEnd>& ends,
                       std::function<void(bool)> done);

  // Whether evidence about servers is recorded and used: only while it is
  // exchanged with another sender.
  void SetEvidenceActive(bool active) { evidence_active_ = active; }
  // The shards of one fan-out, whose servers have a common prior.
  // `budget_service` is the one whose budget pays for its extra attempts.
  void SetShardSet(const ServiceId& budget_service,
                   const std::vector<ServiceId>& shards);
  // Records a whole fan-out that has ended: how many parts it lacked decides
  // whether the next one can spare a part to probe a bad server.
  void RecordFanOut(const ServiceId& budget_service, size_t parts,
                    size_t received, size_t needed);
  // Own outcomes that others do not know yet, without origin.
  std::vector<engine::EvidenceReport> TakeEvidence();
  // All that is known, for a sender that has just started.
  std::vector<engine::EvidenceReport> AllEvidence();
  void MergeEvidence(const std::vector<engine::EvidenceReport>& reports);

 private:
  struct Server;
  struct ServiceState;
  struct Attempt;
  struct EvidenceGroup;

  ServiceState& StateOf(const ServiceId& service);
  engine::ExtraAttemptLimits LimitsOf(const ServiceState& state) const;
  // `may_probe`: the attempt will be sent, so that it may find out whether a
  // server that was bad is well again.
  Server* ChooseServer(const AttemptSpec& spec, bool may_probe);
  // Counts the bytes of the channel if its server is in another data centre.
  void CountRemoteBytes(HttpChannel* channel, const Server& server) const;
  std::shared_ptr<HttpChannel> TakeIdleChannel(Server* server,
                                               const AttemptSpec& spec);
  void ConnectFor(const std::shared_ptr<Server>& server, AttemptId id);
  void SendOnChannel(const std::shared_ptr<HttpChannel>& channel, AttemptId id);
  void OnReply(AttemptId id, ExchangeEnd end, HttpReply reply);
  void LogOversizedReply(const Attempt& attempt);
  void LogDefect(const Attempt& attempt);
  void RejectUnnamedReplies();
  void EndAttempt(AttemptId id, AttemptEnd end, HttpReply reply,
                  bool connection_lost = false);
  static AttemptResult ResultOf(AttemptId id, const Attempt& attempt,
                                AttemptEnd end, Millis now);
  void FinishServerCheck(const std::shared_ptr<Server>& server,
                         ServerFate fate);
  std::vector<std::shared_ptr<Server>> ChooseBystanders(
      const std::vector<engine::ServerEnd>& ends);
  void KeepChannel(const std::shared_ptr<Server>& server,
                   const std::shared_ptr<HttpChannel>& channel);
  bool IsEvacuated(const Server& server) const;
  bool IsAvailable(const Server& server) const;
  // Whether the server is reachable and in a data centre that the route allows.
  bool MayServe(const Server& server,
                const engine::AllowedDataCentres& allowed_data_centres) const;
  // Treats a server that became reachable again as cold until it reports
  // otherwise.
  void AssumeCold(Server* server);
  void RecordContact(Server* server);
  void CountRemoteFailure(const Server& server);
  void ScheduleProbe(const std::shared_ptr<Server>& server);
  void CheckSilentServers();
  void SuspectIfSilent(const std::shared_ptr<Server>& server, Millis since);
  std::shared_ptr<Server> AddServer(const engine::ServerEntry& entry);
  void RemoveServer(const std::shared_ptr<Server>& server);
  void CloseIdleChannels(const std::shared_ptr<Server>& server);
  void EraseIfUnused(const std::shared_ptr<Server>& server);
  engine::EvidencePrior PriorOf(const ServiceState& state);
  Server* ChooseProbe(const AttemptSpec& spec,
                      const std::vector<Server*>& servers,
                      const engine::ChoicePolicy& choice);
  void RecordEvidence(const AttemptResult& result,
                      engine::EvidenceOutcome outcome, double latency_factor);
  void RecordFailureEvidence(const AttemptResult& result);
  void RecordIfOverdue(const Attempt& attempt);
  bool IsPathSuspected(const Server& server) const;
  void LogBeliefs();
  void JoinPauseCycle(ServiceState* state, const ServiceId& budget_service);
  void ScheduleDispatch(const ServiceId& service);
  void DispatchQueue(ServiceState* state);
  void DeprioritizeOverdue(ServiceState* state);

  static constexpr Millis kCutOffReportTtl{4000};

  Loop* const loop_;
  const BackendsPolicy policy_;
  Prober* const prober_;
  const ByteCounters* const part_bytes_;
  // When the sender of this data centre last reported that it is cut off.
  std::optional<Millis> cut_off_reported_at_;
  std::set<DataCentreId> evacuated_;
  uint64_t generation_ = 0;
  std::unordered_map<BackendServerId, std::shared_ptr<Server>> servers_;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceState>> services_;
  std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts_;
  // Keyed by the service whose budget pays for the extra attempts of a fan-out.
  std::unordered_map<ServiceId, std::shared_ptr<engine::PauseCycle>>
      pause_cycles_;
  bool evidence_active_ = false;
  // Keyed by the service whose budget pays for the extra attempts of a fan-out.
  std::unordered_map<ServiceId, std::shared_ptr<EvidenceGroup>>
      evidence_groups_;
  // Servers by engine::EvidenceKey, of the server list with this generation.
  std::unordered_map<uint64_t, std::weak_ptr<Server>> servers_by_key_;
  uint64_t keys_generation_ = 0;
  Random evidence_random_{static_cast<uint64_t>(SteadyNow().count * 1000)};
  LineBudget belief_lines_{5, 50, 50};
  LineBudget oversized_lines_{5, 50, 50};
  LineBudget defect_lines_{5, 50, 50};
  ReplyMemory reply_memory_{kMaxReplyMemory};
  // Time of the last contact with a server in another data centre, and the
  // number of failed attempts at such servers since.
  Millis last_remote_contact_;
  int remote_failures_ = 0;
  Loop::TimerId silence_timer_ = 0;
  uint64_t last_attempt_id_ = 0;
  uint64_t last_queue_number_ = 0;
  size_t address_rotation_ = 0;
};

}  // namespace hibiscuspick::edge
