// What an instance believes of one backend server, from the directory and from
// its own attempts, and the choice among the servers of a service.
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

namespace hibiscuspick::engine {

// A server as the directory lists it. An address alone is nobody: it is given
// to another server once its owner is gone.
struct ServerEntry {
  BackendServerId id;
  // A server may start again under its id, and then holds nothing of before:
  // all that is believed of it belongs to one incarnation. None where servers
  // don't say.
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

// An attempt without a reply yet.
struct OpenAttempt {
  AttemptId id;
  Millis sent;
  // After this the server's silence counts against it.
  Millis overdue_at;
};

struct ServerBelief {
  ServerEntry entry;
  // Gone from the directory; kept until its attempts have ended.
  bool removed = false;
  // Said that it is leaving: the directory, or a reply that closes.
  bool draining = false;
  // A connect failed or hung; until one succeeds nothing is sent there.
  bool unreachable = false;
  // It is slower until then, having just started.
  Millis warm_at{-1};
  // Kept where cold servers are bounded.
  SentLately sent_lately;
  PauseHistory pauses;
  // Nothing is sent before this, after a refusal or a failure.
  Millis avoided_until;
  int failures_in_row = 0;
  std::vector<OpenAttempt> open;
  // When the latest attempt that was replied to had been sent.
  Millis replied_sent{-1};
  // How many attempts this instance keeps there at once; see AdaptLimit.
  double limit = 2;
  Millis limit_lowered;
  // Latency in multiples of what is usual for the route, recent replies
  // weighing more.
  double slowness = 1;
  Millis slowness_at;
  // The share of attempts that failed, recent ones weighing more.
  double failing = 0;
  Millis failing_at;
  // How long it usually is from one outcome to the next.
  Millis met_every;
};

// Origin of each figure: docs/notes/platform.md.
struct ChoicePolicy {
  DataCentreId own_data_centre;
  // What a server in another data centre must save to be chosen: the way there
  // and back, and the price of bytes between data centres.
  Millis remote_cost{20};
  // Attempts that this instance keeps open at one server, at most.
  int most_open = 4;
  // How fast a bad record fades: after this time half of it is left.
  Millis slowness_half_life{3000};
  // What a server costs more while an attempt there is overdue.
  Millis suspected_cost{150};
  // A record of failures fades to half in this time, or, where this instance
  // meets the server seldom, after so many usual gaps between two attempts, up
  // to a bound: what one attempt in a second has shown is else forgotten before
  // the next one is made.
  double failing_half_gaps = 10;
  Millis longest_failing_half_life{15000};
  // How fast a record of failures fades, and what a sure failure costs more in
  // multiples of the usual time: about what is left of a target.
  Millis failing_half_life{4000};
  double failure_cost = 2;
  // The same while the budget allows no second attempt: the part is lost then,
  // and the query with it once it has lost more than its least share allows.
  double unpaid_failure_cost = 12;
  // The first pause after a failure, doubled for each in a row.
  Millis first_avoidance{25};
  Millis longest_avoidance{1000};
  // What this instance may send to a cold server; see ColdAllowance.
  std::optional<int> when_cold;
  // The cycle on which servers of this kind pause, if it is looked at.
  const PauseCycle* pause_cycle = nullptr;
  // Switches, see settings::Mechanisms.
  bool learned_slowness = true;
  bool adapted_limit = true;
  bool pause_belief = true;
};

// Attempts that may be open there now: the limit, rounded, within the policy.
size_t OpenLimit(const ServerBelief& server, const ChoicePolicy& policy);

// Follows the latency of a reply: a server that answers in less than
// kEasyLatency times the usual takes more at once, one that takes longer than
// kHardLatency times gets less. What doesn't fit waits here, in order of its
// due instant, and not in the server's queue, where a query that is lost
// already stands before one that could still be on time.
void AdaptLimit(ServerBelief* server, double latency_factor,
                const ChoicePolicy& policy, Millis now);

// Whether an attempt there is overdue and none sent later was replied to: the
// server may stand still, and what is sent there waits as well.
bool IsSuspected(const ServerBelief& server, Millis now);

// The latency factor at this moment, with age taken off.
double SlownessNow(const ServerBelief& server, const ChoicePolicy& policy,
                   Millis now);

// Whether the server is there, stays and can be connected to; it may be full.
bool IsWithinReach(const ServerBelief& server);

// Whether the server may get an attempt now.
bool TakesAttempt(const ServerBelief& server, const ChoicePolicy& policy,
                  Millis now);

// What an attempt there is expected to take; `usual` is the route's median.
Millis ExpectedCost(const ServerBelief& server, const ChoicePolicy& policy,
                    Millis usual, Millis now);

// The place of the server with the least expected cost among those that take
// an attempt; nothing if none does. Ties go to the first, so callers rotate
// `servers`.
std::optional<size_t> ChooseServer(std::span<const ServerBelief* const> servers,
                                   const ChoicePolicy& policy, Millis usual,
                                   Millis now);

void NoteSent(ServerBelief* server, OpenAttempt attempt);

// The attempt ended without a word on the server's speed: cancelled.
void NoteEnded(ServerBelief* server, AttemptId attempt);

// A whole reply after `latency`, where `usual` is the route's median.
void NoteReply(ServerBelief* server, AttemptId attempt, Millis latency,
               Millis usual, const ChoicePolicy& policy, Millis now);

// The attempt failed, was refused or broke off.
void NoteFailure(ServerBelief* server, AttemptId attempt,
                 const ChoicePolicy& policy, Millis now);

}  // namespace hibiscuspick::engine
