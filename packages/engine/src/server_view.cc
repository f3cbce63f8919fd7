#include "hibiscuspick/engine/server_view.h"

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
constexpr Millis kMaxOutcomeInterval{3000};

// A reply is capped at twice the current relative latency plus this: a single
// one that hit a pause says little about the next, several slow ones in a row
// do.
constexpr double kOutlierMargin = 2;

// With two attempts in service and one waiting an attempt takes 1.5 times the
// median. Above three times the median a target of seven times the median is at
// risk.
constexpr double kLowLatency = 2;
constexpr double kHighLatency = 3;
constexpr double kLimitIncrease = 0.1;
constexpr double kLimitDecreaseFactor = 0.7;
constexpr Millis kLimitDecreaseInterval{60};

// Rounds halves up. Also absorbs the rounding error of sums of steps.
constexpr double kRounding = 0.5;

// Slowdown of a server that has just started.
constexpr double kWarmupFactor = 1.6;

double FailureRate(const ServerView& server, const ChoicePolicy& policy,
                   Millis now) {
  const double age = (now - server.failure_rate_at).count;
  const Millis by_intervals =
      Min(server.outcome_interval * policy.failure_half_life_intervals,
          policy.max_failure_half_life);
  const Millis half_life = Max(policy.failure_half_life, by_intervals);
  return server.failure_rate * std::exp2(-age / half_life.count);
}

void RecordOutcome(ServerView* server, bool failed, const ChoicePolicy& policy,
                   Millis now) {
  const double before = FailureRate(*server, policy, now);
  const Millis interval =
      Min(now - server->failure_rate_at, kMaxOutcomeInterval);
  server->outcome_interval =
      server->outcome_interval +
      (interval - server->outcome_interval) * kOutcomeWeight;
  server->failure_rate = before + kOutcomeWeight * ((failed ? 1 : 0) - before);
  server->failure_rate_at = now;
}

// The relative latency learned from replies, after decay.
double DecayedRelativeLatency(const ServerView& server,
                              const ChoicePolicy& policy, Millis now) {
  const double age = (now - server.relative_latency_at).count;
  const double remaining =
      std::exp2(-age / policy.relative_latency_half_life.count);
  return 1 + (server.relative_latency - 1) * remaining;
}

void RemoveAttempt(ServerView* server, AttemptId attempt) {
  std::erase_if(server->open_attempts,
                [&](const OpenAttempt& it) { return it.id == attempt; });
}

}  // namespace

bool IsPauseSuspected(const ServerView& server, Millis now) {
  return std::any_of(
      server.open_attempts.begin(), server.open_attempts.end(), [&](auto& it) {
        return now >= it.overdue_at && it.sent >= server.last_replied_sent_at;
      });
}

double RelativeLatency(const ServerView& server, const ChoicePolicy& policy,
                       Millis now) {
  const double warmup = now < server.warm_at ? kWarmupFactor : 1;
  if (!policy.use_relative_latency) return warmup;
  return DecayedRelativeLatency(server, policy, now) * warmup;
}

bool IsAvailable(const ServerView& server) {
  return !server.removed && !server.draining && !server.unreachable;
}

bool CanAcceptAttempt(const ServerView& server, const ChoicePolicy& policy,
                      Millis now) {
  const bool is_cold_and_full =
      policy.cold_allowance && now < server.warm_at &&
      !HasColdAllowance(server.recent_sends, *policy.cold_allowance, now);
  return IsAvailable(server) && now >= server.backoff_until &&
         !is_cold_and_full &&
         server.open_attempts.size() < OpenAttemptLimit(server, policy);
}

size_t OpenAttemptLimit(const ServerView& server, const ChoicePolicy& policy) {
  const double bounded =
      std::clamp(server.concurrency_limit, 1.0,
                 static_cast<double>(policy.max_open_attempts));
  return static_cast<size_t>(bounded + kRounding);
}

void AdaptLimit(ServerView* server, double latency_factor,
                const ChoicePolicy& policy, Millis now) {
  if (!policy.adaptive_limit) return;
  if (latency_factor < kLowLatency) {
    server->concurrency_limit =
        std::min(server->concurrency_limit + kLimitIncrease,
                 static_cast<double>(policy.max_open_attempts));
    return;
  }
  // Lowered once per round of attempts: all attempts in flight were sent under
  // the same limit and show the same.
  if (latency_factor < kHighLatency || now < server->next_limit_decrease) {
    return;
  }
  server->concurrency_limit =
      std::max(1.0, server->concurrency_limit * kLimitDecreaseFactor);
  server->next_limit_decrease = now + kLimitDecreaseInterval;
}

Millis ExpectedCost(const ServerView& server, const ChoicePolicy& policy,
                    Millis median_latency, Millis now) {
  const double queued = 1 + static_cast<double>(server.open_attempts.size());
  double latency = RelativeLatency(server, policy, now);
  double failure_rate = FailureRate(server, policy, now);
  double failure_cost = policy.failure_cost;
  if (policy.evidence.active) {
    latency = std::max(latency, OthersLatency(server.evidence,
                                              server.relative_latency_at, now));
    failure_rate =
        std::max(failure_rate,
                 SuspectedFailureRate(server.evidence, policy.evidence, now));
    if (policy.evidence.mass_event) {
      failure_cost = policy.unbudgeted_failure_cost;
    }
  }
  Millis cost = median_latency * (queued * latency);
  if (server.entry.data_centre != policy.own_data_centre) {
    cost += policy.remote_cost;
  }
  cost += median_latency * (failure_cost * failure_rate);
  cost += median_latency *
          (policy.refusal_cost * RefusalRate(server.refusals, now));
  if (policy.pause_cycle != nullptr) {
    cost += ExpectedPauseDelay(server.pauses, *policy.pause_cycle,
                               median_latency, now);
  }
  if (policy.pause_suspicion && IsPauseSuspected(server, now)) {
    cost += policy.suspected_pause_cost;
  }
  return cost;
}

std::optional<size_t> ChooseServer(std::span<const ServerView* const> servers,
                                   const ChoicePolicy& policy,
                                   Millis median_latency, Millis now) {
  std::optional<size_t> best;
  Millis least = kNever;
  for (size_t i = 0; i < servers.size(); ++i) {
    if (!CanAcceptAttempt(*servers[i], policy, now)) continue;
    const Millis cost = ExpectedCost(*servers[i], policy, median_latency, now);
    if (cost >= least) continue;
    least = cost;
    best = i;
  }
  return best;
}

void RecordSent(ServerView* server, OpenAttempt attempt) {
  server->open_attempts.push_back(attempt);
}

void RecordCancelled(ServerView* server, AttemptId attempt) {
  RemoveAttempt(server, attempt);
}

void RecordReply(ServerView* server, AttemptId attempt, Millis latency,
                 Millis median_latency, const ChoicePolicy& policy,
                 Millis now) {
  for (const auto& it : server->open_attempts) {
    if (it.id == attempt) {
      server->last_replied_sent_at = Max(server->last_replied_sent_at, it.sent);
    }
  }
  RemoveAttempt(server, attempt);
  RecordOutcome(server, false, policy, now);
  RecordOutcome(&server->refusals, false, now);
  server->consecutive_failures = 0;
  const double factor = latency.count / std::max(median_latency.count, 0.1);
  AdaptLimit(server, factor, policy, now);
  const double before = DecayedRelativeLatency(*server, policy, now);
  const double counted = std::min(factor, 2 * before + kOutlierMargin);
  server->relative_latency = before + kReplyWeight * (counted - before);
  server->relative_latency_at = now;
}

void RecordRefusal(ServerView* server, AttemptId attempt,
                   const ChoicePolicy& policy, Millis now) {
  if (!policy.refusal_evidence) {
    RecordFailure(server, attempt, policy, now);
    return;
  }
  RemoveAttempt(server, attempt);
  RecordOutcome(&server->refusals, true, now);
  server->backoff_until =
      Max(server->backoff_until, now + RefusalBackoff(server->refusals));
}

void RecordFailure(ServerView* server, AttemptId attempt,
                   const ChoicePolicy& policy, Millis now) {
  RemoveAttempt(server, attempt);
  RecordOutcome(server, true, policy, now);
  const int doublings = std::min(server->consecutive_failures, 10);
  ++server->consecutive_failures;
  const Millis backoff =
      Min(policy.initial_backoff * std::exp2(doublings), policy.max_backoff);
  server->backoff_until = Max(server->backoff_until, now + backoff);
}

}  // namespace hibiscuspick::engine
