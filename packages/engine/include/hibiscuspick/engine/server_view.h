// What an instance knows of one backend server, from the directory and from its
// own attempts, and the selection among the servers of a service.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/cold_start.h"
#include "hibiscuspick/engine/pause_cycle.h"
#include "hibiscuspick/engine/refusal_history.h"
#include "hibiscuspick/engine/server_evidence.h"

namespace hibiscuspick::engine {

// A server as listed in the directory. It is identified by its id: its address
// may be given to another server once it is gone.
struct ServerEntry {
  BackendServerId id;
  // A server that restarts keeps its id but none of its state, so that
  // everything learned about it applies to one incarnation. Empty where servers
  // don't report it.
  Incarnation incarnation;
  ServiceId service;
  Address address;
  DataCentreId data_centre;
  int slots = 1;
  bool draining = false;
  // How much longer it is slow after its start.
  Millis warmup_left;
  auto operator<=>(const ServerEntry&) const = default;
};

// An attempt that has no reply yet.
struct OpenAttempt {
  AttemptId id;
  Millis sent;
  // From then on the server is suspected of a pause.
  Millis overdue_at;
};

struct ServerView {
  ServerEntry entry;
  // No longer in the directory; kept until its attempts have ended.
  bool removed = false;
  // The directory or a reply that closes the connection says that the server is
  // draining.
  bool draining = false;
  // A connection attempt failed or timed out; nothing is sent until one
  // succeeds.
  bool unreachable = false;
  // The server has just started and is slower until then.
  Millis warm_at{-1};
  // Only maintained where requests to cold servers are limited.
  RecentSends recent_sends;
  PauseHistory pauses;
  RefusalHistory refusals;
  // Nothing is sent before this, after a refusal or a failure.
  Millis backoff_until;
  int consecutive_failures = 0;
  std::vector<OpenAttempt> open_attempts;
  // Send time of the latest attempt that has got a reply.
  Millis last_replied_sent_at{-1};
  // The number of attempts that this instance keeps open at the server; see
  // AdaptLimit.
  double concurrency_limit = 2;
  // The limit is not lowered again before this.
  Millis next_limit_decrease;
  // Latency as a multiple of the route's median, as a weighted moving average.
  double relative_latency = 1;
  Millis relative_latency_at;
  // Share of attempts that failed, as a weighted moving average.
  double failure_rate = 0;
  Millis failure_rate_at;
  // Average time between two outcomes.
  Millis outcome_interval;
  // Outcomes of all senders; only maintained where they are exchanged.
  ServerEvidence evidence;
};

// For the origin of each value see docs/notes/platform.md.
struct ChoicePolicy {
  DataCentreId own_data_centre;
  // Extra cost of a server in another data centre: the round trip, and the
  // price of the traffic between data centres.
  Millis remote_cost{20};
  // Upper bound of the attempts that this instance keeps open at one server.
  int max_open_attempts = 4;
  // Half-life of the relative latency's deviation from 1.
  Millis relative_latency_half_life{3000};
  // Extra cost of a server with an overdue attempt.
  Millis suspected_pause_cost{150};
  // The half-life of the failure rate is `failure_half_life` or, at a server
  // that this instance uses rarely, this number of average intervals between
  // outcomes, up to `max_failure_half_life`. Otherwise the result of one
  // attempt per second would be forgotten before the next attempt.
  double failure_half_life_intervals = 10;
  Millis max_failure_half_life{15000};
  // Half-life of the failure rate, and the extra cost of a certain failure as a
  // multiple of the median latency: about the time left of a target.
  Millis failure_half_life{4000};
  double failure_cost = 2;
  // The failure cost while the budget allows no second attempt: the part is
  // then lost, and the whole query once it has lost more parts than the minimum
  // coverage allows.
  double unbudgeted_failure_cost = 12;
  // Extra cost of a certain refusal as a multiple of the median latency. A
  // higher one sends everything to the servers that refuse nothing, also when
  // they are overloaded; a lower one uses more of the budget.
  double refusal_cost = 3;
  // Initial backoff after a failure, doubled for each consecutive one.
  Millis initial_backoff{25};
  Millis max_backoff{1000};
  // The requests that this instance may send to a cold server; see
  // ColdAllowance.
  std::optional<int> cold_allowance;
  // The pause cycle of servers of this kind; null if pauses aren't predicted.
  const PauseCycle* pause_cycle = nullptr;
  // How the servers' evidence is used; inactive where none is exchanged.
  EvidencePrior evidence;
  // Feature switches, see settings::Mechanisms.
  bool use_relative_latency = true;
  bool adaptive_limit = true;
  bool pause_suspicion = true;
  bool refusal_evidence = true;
};

// The number of attempts that may be open at the server: the concurrency limit,
// rounded, within the policy's bounds.
size_t OpenAttemptLimit(const ServerView& server, const ChoicePolicy& policy);

// Adapts the concurrency limit to the latency of a reply: raises it below
// kLowLatency times the median and lowers it above kHighLatency times.
// Parts over the limit wait in this instance, ordered by due time, and not in
// the server's queue, where a part of a lost query could stand before one that
// may still be on time.
void AdaptLimit(ServerView* server, double latency_factor,
                const ChoicePolicy& policy, Millis now);

// Whether an attempt is overdue and no attempt sent later has got a reply: the
// server may be paused, and new attempts would wait too.
bool IsPauseSuspected(const ServerView& server, Millis now);

// The current relative latency, after decay, including the effect of a cold
// start.
double RelativeLatency(const ServerView& server, const ChoicePolicy& policy,
                       Millis now);

// Whether the server is listed, isn't draining and accepts connections. It may
// have no room for more attempts.
bool IsAvailable(const ServerView& server);

// Whether an attempt may be sent to the server now.
bool CanAcceptAttempt(const ServerView& server, const ChoicePolicy& policy,
                      Millis now);

// The expected time of an attempt at the server plus its penalties.
// `median_latency` is the route's.
Millis ExpectedCost(const ServerView& server, const ChoicePolicy& policy,
                    Millis median_latency, Millis now);

// The index of the server with the lowest expected cost among those that can
// accept an attempt; nothing if there is none. The first of equal ones is
// chosen, so that callers rotate `servers`.
std::optional<size_t> ChooseServer(std::span<const ServerView* const> servers,
                                   const ChoicePolicy& policy,
                                   Millis median_latency, Millis now);

// Records an attempt that was sent to the server.
void RecordSent(ServerView* server, OpenAttempt attempt);

// Records an attempt that was cancelled and says nothing about the server's
// latency.
void RecordCancelled(ServerView* server, AttemptId attempt);

// Records a complete reply after `latency`. `median_latency` is the route's.
void RecordReply(ServerView* server, AttemptId attempt, Millis latency,
                 Millis median_latency, const ChoicePolicy& policy, Millis now);

// Records an attempt that the server refused to run.
void RecordRefusal(ServerView* server, AttemptId attempt,
                   const ChoicePolicy& policy, Millis now);

// Records an attempt that failed or broke off.
void RecordFailure(ServerView* server, AttemptId attempt,
                   const ChoicePolicy& policy, Millis now);

}  // namespace hibiscuspick::engine
