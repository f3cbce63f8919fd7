// The backend servers' connections and the attempts on them. One thread's.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/edge/http_channel.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/prober.h"
#include "hibiscuspick/engine/cold_start.h"
#include "hibiscuspick/engine/extra_budget.h"
#include "hibiscuspick/engine/fan_out.h"
#include "hibiscuspick/engine/server_belief.h"
#include "hibiscuspick/settings/mechanisms.h"

namespace hibiscuspick::edge {

enum class AttemptEnd {
  // A whole reply to this request.
  kReply,
  // No byte was sent: no connection could be had.
  kNotSent,
  // Sent, and broke off or was answered with what is no reply.
  kBroken,
};

struct AttemptResult {
  AttemptId id;
  BackendServerId server;
  // Of the very server that had the attempt. Under the same id another may be
  // listed meanwhile, of which this result tells nothing.
  std::shared_ptr<engine::ServerBelief> belief;
  AttemptEnd end = AttemptEnd::kNotSent;
  HttpReply reply;
  // From the moment it was sent.
  Millis latency;
};

struct AttemptOrder {
  ServiceId service;
  // Whose budget would pay for a second attempt.
  ServiceId budget_of;
  // What an attempt of this route usually takes, and after what time a server's
  // silence is a reason for suspicion.
  Millis usual;
  Millis overdue_after;
  // Servers that must not get it.
  std::vector<BackendServerId> excluded;
  // Of the route, which outlives it; all data centres if not set.
  const engine::Homes* homes = nullptr;
  // Only a server that isn't suspected of standing still.
  bool only_unsuspected = false;
  // The request as it is sent to that server.
  std::function<std::string(const BackendServerId&)> text_for;
  bool to_head = false;
  // May not be sent where it is unsure that it arrives.
  bool once = false;
  HttpChannel::IsOurs is_ours;
  std::function<void(AttemptResult)> on_end;
};

// This instance's part of what the servers of a service take.
struct ServiceShare {
  // Connections to each of them.
  int connections = 2;
  // Of the slack in the service's budget of extra attempts.
  double slack = 0;
  // Requests to a cold one within engine::kColdWindow; nothing for no bound.
  std::optional<int> when_cold;
  // How long one is taken to be cold that may be and doesn't say.
  Millis warmup;
};

struct BackendsPolicy {
  engine::ChoicePolicy choice;
  // The header in which servers tell their load; none if empty.
  std::string load_header;
  settings::Mechanisms mechanisms;
  // Of the budget of extra attempts; its slack is each service's own.
  engine::ExtraLimits extra;
  Millis connect_timeout{300};
  // How often a server that can't be reached is tried again.
  Millis probe_interval{300};
  size_t reply_bytes = 8 << 20;
};

// An attempt on its way.
struct StartedAttempt {
  AttemptId id;
  BackendServerId server;
};

// Those that may still be on time come before those that are late already; then
// by due instant, then by rank.
using WaitKey = std::tuple<bool, double, int, uint64_t>;

struct Waiting {
  int priority = 0;
  Millis due;
  // Isn't expected by then, and waits behind those that are.
  bool behind = false;
  // Told when its place changes.
  std::function<void(const WaitKey&)> key_changed;
  // Tries to start; true if it did or no longer wants to.
  std::function<bool()> start;
};

class Backends {
 public:
  // `prober` outlives it, and is told of every server that is heard.
  Backends(Loop* loop, BackendsPolicy policy, Prober* prober);
  ~Backends();

  void SetServers(const std::vector<engine::ServerEntry>& entries);
  // Servers in these data centres get no attempts and no probes. Attempts that
  // they have already may end there.
  void SetEvacuated(std::set<DataCentreId> places);
  const std::set<DataCentreId>& evacuated() const { return evacuated_; }
  // Whether all servers of the service that stay are in evacuated data centres.
  bool IsEvacuated(const ServiceId& service) const;
  void SetShare(const ServiceId& service, const ServiceShare& share);

  // Starts an attempt at the best server; nothing if none takes one now.
  std::optional<StartedAttempt> TryStart(AttemptOrder order);

  // Nobody wants the result any more: no call follows. `stop_server`: the
  // server must not go on with it; otherwise it may end within a short time,
  // which keeps the connection, unless others wait for the server.
  void Abandon(AttemptId id, bool stop_server);

  // Waits for room at the service's servers, in order of priority and due
  // instant.
  WaitKey Enqueue(const ServiceId& service, Waiting waiting);
  void Withdraw(const ServiceId& service, const WaitKey& key);

  // Whether the service's budget has room for one more extra attempt, with the
  // share `reserve` of it left for others.
  bool HasExtra(const ServiceId& service, double reserve);
  void TakeExtra(const ServiceId& service);
  void CountRequest(const ServiceId& service);
  const BackendsPolicy& policy() const { return policy_; }
  size_t open_attempts() const { return attempts_.size(); }
  bool HasServerInReach(const ServiceId& service,
                        const engine::Homes& homes) const;
  // What a part due at that instant would meet at the service; nothing if none
  // of its servers can be reached.
  std::optional<engine::ShardOutlook> Outlook(const ServiceId& service,
                                              Millis usual, Millis due,
                                              const engine::Homes& homes) const;
  // Rises with each change of what PlacesOf gives.
  uint64_t generation() const { return generation_; }
  // The data centres that have servers of nearly all of the services.
  std::vector<DataCentreId> PlacesOf(const std::vector<ServiceId>& services,
                                     const engine::Homes& homes) const;
  // The data centres that have a server of it which can be reached and isn't
  // suspected of standing still.
  std::vector<DataCentreId> PlacesOfService(const ServiceId& service,
                                            const engine::Homes& homes) const;
  // Addresses of servers in a data centre that may be in reach, other ones each
  // time.
  std::vector<Address> AddressesIn(const DataCentreId& where);
  // Whether no other data centre can be reached, or every try at servers there
  // has failed for a while: the instance's data centre is cut off.
  bool IsCutOff() const;
  // The sender of this data centre says that it is cut off. Believed until a
  // server elsewhere is heard, or for kToldCutOff: an instance that hands its
  // queries over finds out for itself only after many of its callers have been
  // refused.
  void NoteToldCutOff() {
    if (policy_.mechanisms.told_cut_off) told_cut_off_ = loop_->now();
  }
  bool IsToldCutOff() const;

  // A server said that its address is now another's.
  void NoteForeign(const AttemptResult& result);
  void NoteFailure(const AttemptResult& result);
  void NoteReply(const AttemptResult& result, Millis usual);
  // The server said how much longer it is cold.
  void NoteWarmup(const AttemptResult& result, Millis left);

 private:
  struct Server;
  struct ServiceState;
  struct Attempt;

  ServiceState& StateOf(const ServiceId& service);
  engine::ExtraLimits LimitsOf(const ServiceState& state) const;
  Server* Choose(const AttemptOrder& order);
  std::shared_ptr<HttpChannel> TakeIdle(Server* server, bool once);
  void OpenFor(const std::shared_ptr<Server>& server, AttemptId id);
  void SendOn(const std::shared_ptr<HttpChannel>& channel, AttemptId id);
  void OnReply(AttemptId id, ExchangeEnd end, HttpReply reply);
  void EndAttempt(AttemptId id, AttemptEnd end, HttpReply reply);
  void KeepChannel(const std::shared_ptr<Server>& server,
                   const std::shared_ptr<HttpChannel>& channel);
  bool IsEvacuated(const Server& server) const;
  bool IsInReach(const Server& server) const;
  // Within reach, and where the route's requests may go.
  bool MayServe(const Server& server, const engine::Homes& homes) const;
  // It is back, and may be cold without having said so yet.
  void TakeForCold(Server* server);
  void RecordContact(Server* server);
  void NoteUnheard(const Server& server);
  void Probe(const std::shared_ptr<Server>& server);
  void LookForSilence();
  void DoubtSilent(const std::shared_ptr<Server>& server, Millis since);
  std::shared_ptr<Server> AddServer(const engine::ServerEntry& entry);
  void RemoveServer(const std::shared_ptr<Server>& server);
  void Retire(const std::shared_ptr<Server>& server);
  void Forget(const std::shared_ptr<Server>& server);
  void JoinPauseCycle(ServiceState* state, const ServiceId& kind);
  void PumpSoon(const ServiceId& service);
  void Pump(ServiceState* state);
  void DemoteLate(ServiceState* state);

  static constexpr Millis kToldCutOff{4000};

  Loop* const loop_;
  const BackendsPolicy policy_;
  Prober* const prober_;
  // When the sender of this data centre last said that it is cut off.
  std::optional<Millis> told_cut_off_;
  std::set<DataCentreId> evacuated_;
  uint64_t generation_ = 0;
  std::unordered_map<BackendServerId, std::shared_ptr<Server>> servers_;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceState>> services_;
  std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts_;
  // By the service that pays for second attempts at all of a kind.
  std::unordered_map<ServiceId, std::shared_ptr<engine::PauseCycle>>
      pause_cycles_;
  // When a server of another data centre was last heard, and how many tries at
  // such servers have failed since.
  Millis remote_heard_;
  int remote_failures_ = 0;
  Loop::TimerId sweep_ = 0;
  uint64_t last_attempt_ = 0;
  uint64_t last_wait_ = 0;
  size_t probed_ = 0;
};

}  // namespace hibiscuspick::edge
