#include "hibiscuspick/engine/server_belief.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::engine {
namespace {

// Weight of one reply in the relative latency: a tenfold slowdown shows after
// two replies, and one slow reply is forgotten after ten.
constexpr double kReplyWeight = 0.25;

// Weight of one outcome in the failure rate.
constexpr double kOutcomeWeight = 0.3;

// Longer intervals are idle times, which say nothing about how often the server
// is used.
constexpr Millis kLongestGap{3000};

// A reply is capped at twice the current relative latency plus this: a single
// one that hit a pause says little about the next, several slow ones in a row
// do.
constexpr double kSurprise = 2;

// With two attempts in service and one waiting an attempt takes 1.5 times the
// median. Above three times the median a target of seven times the median is at
// risk.
constexpr double kEasyLatency = 2;
constexpr double kHardLatency = 3;
constexpr double kLimitStep = 0.1;
constexpr double kLimitFactor = 0.7;
constexpr Millis kLimitPause{60};

// Rounds halves up. Also absorbs the rounding error of sums of steps.
constexpr double kRounding = 0.5;

// Slowdown of a server that has just started.
constexpr double kWarmupFactor = 1.6;

double FailingNow(const ServerBelief& server, const ChoicePolicy& policy,
                  Millis now) {
  const double age = (now - server.failing_at).count;
  const Millis by_gaps = Min(server.met_every * policy.failing_half_gaps,
                             policy.longest_failing_half_life);
  const Millis half_life = Max(policy.failing_half_life, by_gaps);
  return server.failing * std::exp2(-age / half_life.count);
}

void NoteOutcome(ServerBelief* server, bool failed, const ChoicePolicy& policy,
                 Millis now) {
  const double before = FailingNow(*server, policy, now);
  const Millis gap = Min(now - server->failing_at, kLongestGap);
  server->met_every =
      server->met_every + (gap - server->met_every) * kOutcomeWeight;
  server->failing = before + kOutcomeWeight * ((failed ? 1 : 0) - before);
  server->failing_at = now;
}

// The relative latency learned from replies, after decay.
double SlownessLeft(const ServerBelief& server, const ChoicePolicy& policy,
                    Millis now) {
  const double age = (now - server.slowness_at).count;
  const double left = std::exp2(-age / policy.slowness_half_life.count);
  return 1 + (server.slowness - 1) * left;
}

void Forget(ServerBelief* server, AttemptId attempt) {
  std::erase_if(server->open,
                [&](const OpenAttempt& it) { return it.id == attempt; });
}

}  // namespace

bool IsSuspected(const ServerBelief& server, Millis now) {
  return std::any_of(server.open.begin(), server.open.end(), [&](auto& it) {
    return now >= it.overdue_at && it.sent >= server.replied_sent;
  });
}

double SlownessNow(const ServerBelief& server, const ChoicePolicy& policy,
                   Millis now) {
  const double warmup = now < server.warm_at ? kWarmupFactor : 1;
  if (!policy.learned_slowness) return warmup;
  return SlownessLeft(server, policy, now) * warmup;
}

bool IsWithinReach(const ServerBelief& server) {
  return !server.removed && !server.draining && !server.unreachable;
}

bool TakesAttempt(const ServerBelief& server, const ChoicePolicy& policy,
                  Millis now) {
  const bool is_full_while_cold =
      policy.when_cold && now < server.warm_at &&
      !HasColdRoom(server.sent_lately, *policy.when_cold, now);
  return IsWithinReach(server) && now >= server.avoided_until &&
         !is_full_while_cold && server.open.size() < OpenLimit(server, policy);
}

size_t OpenLimit(const ServerBelief& server, const ChoicePolicy& policy) {
  const double bounded =
      std::clamp(server.limit, 1.0, static_cast<double>(policy.most_open));
  return static_cast<size_t>(bounded + kRounding);
}

void AdaptLimit(ServerBelief* server, double latency_factor,
                const ChoicePolicy& policy, Millis now) {
  if (!policy.adapted_limit) return;
  if (latency_factor < kEasyLatency) {
    server->limit = std::min(server->limit + kLimitStep,
                             static_cast<double>(policy.most_open));
    return;
  }
  // Lowered once per round of attempts: all attempts in flight were sent under
  // the same limit and show the same.
  if (latency_factor < kHardLatency || now < server->limit_lowered) return;
  server->limit = std::max(1.0, server->limit * kLimitFactor);
  server->limit_lowered = now + kLimitPause;
}

Millis ExpectedCost(const ServerBelief& server, const ChoicePolicy& policy,
                    Millis usual, Millis now) {
  const double waiting = 1 + static_cast<double>(server.open.size());
  Millis cost = usual * (waiting * SlownessNow(server, policy, now));
  if (server.entry.data_centre != policy.own_data_centre) {
    cost += policy.remote_cost;
  }
  cost += usual * (policy.failure_cost * FailingNow(server, policy, now));
  if (policy.pause_cycle != nullptr) {
    cost += ExpectedPause(server.pauses, *policy.pause_cycle, usual, now);
  }
  if (policy.pause_belief && IsSuspected(server, now)) {
    cost += policy.suspected_cost;
  }
  return cost;
}

std::optional<size_t> ChooseServer(std::span<const ServerBelief* const> servers,
                                   const ChoicePolicy& policy, Millis usual,
                                   Millis now) {
  std::optional<size_t> best;
  Millis least = kNever;
  for (size_t i = 0; i < servers.size(); ++i) {
    if (!TakesAttempt(*servers[i], policy, now)) continue;
    const Millis cost = ExpectedCost(*servers[i], policy, usual, now);
    if (cost >= least) continue;
    least = cost;
    best = i;
  }
  return best;
}

void NoteSent(ServerBelief* server, OpenAttempt attempt) {
  server->open.push_back(attempt);
}

void NoteEnded(ServerBelief* server, AttemptId attempt) {
  Forget(server, attempt);
}

void NoteReply(ServerBelief* server, AttemptId attempt, Millis latency,
               Millis usual, const ChoicePolicy& policy, Millis now) {
  for (const auto& it : server->open) {
    if (it.id == attempt) {
      server->replied_sent = Max(server->replied_sent, it.sent);
    }
  }
  Forget(server, attempt);
  NoteOutcome(server, false, policy, now);
  server->failures_in_row = 0;
  const double factor = latency.count / std::max(usual.count, 0.1);
  AdaptLimit(server, factor, policy, now);
  const double before = SlownessLeft(*server, policy, now);
  const double counted = std::min(factor, 2 * before + kSurprise);
  server->slowness = before + kReplyWeight * (counted - before);
  server->slowness_at = now;
}

void NoteFailure(ServerBelief* server, AttemptId attempt,
                 const ChoicePolicy& policy, Millis now) {
  Forget(server, attempt);
  NoteOutcome(server, true, policy, now);
  const int doublings = std::min(server->failures_in_row, 10);
  ++server->failures_in_row;
  const Millis pause = Min(policy.first_avoidance * std::exp2(doublings),
                           policy.longest_avoidance);
  server->avoided_until = Max(server->avoided_until, now + pause);
}

}  // namespace hibiscuspick::engine
