// Requests, tokens and refusals of allowance_lease.h.
#include <algorithm>
#include <utility>

#include "allowance_lease_internal.h"
#include "decaying_rate.h"

namespace hibiscuspick::engine {
namespace {

// Retry-After without a counting instance: another one is chosen by then, or
// the load balancer sends the retry to an instance that is connected.
constexpr Millis kUnansweredRetryAfter{300};
// A request waits for tokens from other data centres for at most this time.
constexpr Millis kMaxWait{250};

void Activate(AllowanceLeases* leases, const ClientAccountId& account,
              AccountLeases* state) {
  if (state->is_active) return;
  state->is_active = true;
  leases->active.push_back(account);
}

double HeldTokens(const AccountLeases& state) {
  double sum = 0;
  for (const auto& it : state.leases) sum += it.tokens;
  return sum;
}

// Takes a token from the oldest lease; returns the lease's age or nothing.
bool TakeToken(AccountLeases* state, Millis now, Millis* age) {
  if (state->leases.empty()) return false;
  auto& lease = state->leases.front();
  *age = now - lease.granted_at;
  lease.tokens -= 1;
  if (lease.tokens < 1) {
    state->returned += lease.tokens;
    state->leases.erase(state->leases.begin());
  }
  return true;
}

// The Retry-After of a request that is refused without asking.
Millis NextLocalPlace(AccountLeases* state, Millis now) {
  const Millis place = Max(state->next_place, now);
  state->next_place = place + state->refused_spacing;
  return place - now;
}

// Gives lease tokens to requests that wait, retries first.
void ServeWaiting(AllowanceLeases* leases, AccountLeases* state, Millis now) {
  for (const bool retries : {true, false}) {
    for (auto it = state->waiting.begin(); it != state->waiting.end();) {
      Millis age{0};
      if (it->is_retry != retries) {
        ++it;
        continue;
      }
      if (!TakeToken(state, now, &age)) return;
      leases->outcomes.push_back(
          {TokenOutcomeKind::kGranted, it->ticket, Millis(0), age});
      it = state->waiting.erase(it);
    }
  }
}

// Refuses the waiting requests that the message asked for, and new ones that
// came meanwhile.
void RefuseWaiting(AllowanceLeases* leases, AccountLeases* state,
                   const TokenGrant& grant, uint64_t sequence, Millis now) {
  Millis retry_after = grant.retry_after;
  for (auto it = state->waiting.begin(); it != state->waiting.end();) {
    if (it->asked_in != sequence) {
      ++it;
      continue;
    }
    leases->outcomes.push_back({TokenOutcomeKind::kAboveAllowance, it->ticket,
                                retry_after, Millis(0)});
    retry_after += grant.retry_spacing;
    it = state->waiting.erase(it);
  }
  state->refused_at = now;
  state->refuse_until = now + grant.refuse_for;
  state->refused_spacing = grant.refused_spacing;
  state->next_place = now + retry_after;
  if (grant.refuse_for <= Millis(0)) return;
  for (auto it = state->waiting.begin(); it != state->waiting.end();) {
    if (it->is_retry || it->asked_in != 0) {
      ++it;
      continue;
    }
    leases->outcomes.push_back({TokenOutcomeKind::kAboveAllowance, it->ticket,
                                NextLocalPlace(state, now), Millis(0)});
    it = state->waiting.erase(it);
  }
}

// Has the requests asked for again, except those that have waited too long.
void AskAgain(AllowanceLeases* leases, AccountLeases* state,
              const TokenGrant& grant, uint64_t sequence, Millis now) {
  state->ask_at = now + grant.ask_again;
  Millis retry_after = grant.retry_after;
  for (auto it = state->waiting.begin(); it != state->waiting.end();) {
    if (it->asked_in != sequence) {
      ++it;
      continue;
    }
    it->asked_in = 0;
    if (state->ask_at - it->since <= kMaxWait) {
      ++it;
      continue;
    }
    leases->outcomes.push_back({TokenOutcomeKind::kAboveAllowance, it->ticket,
                                retry_after, Millis(0)});
    retry_after += grant.retry_spacing;
    it = state->waiting.erase(it);
  }
}

}  // namespace

void ExpireLeases(AccountLeases* state, Millis now) {
  while (!state->leases.empty() &&
         now >= state->leases.front().granted_at + kLeaseTime) {
    state->returned += state->leases.front().tokens;
    state->leases.erase(state->leases.begin());
  }
}

void RefuseUnanswered(AllowanceLeases* leases, AccountLeases* state) {
  for (const auto& it : state->waiting) {
    leases->outcomes.push_back({TokenOutcomeKind::kNoCountingInstance,
                                it.ticket, kUnansweredRetryAfter, Millis(0)});
  }
  state->waiting.clear();
  state->unanswered = 0;
}

void HandleGrant(AllowanceLeases* leases, const TokenGrant& grant,
                 uint64_t sequence, bool is_own, Millis now) {
  auto& state = leases->accounts[grant.account];
  if (grant.tokens > 0) {
    state.leases.push_back({grant.tokens, now});
    Activate(leases, grant.account, &state);
  }
  ServeWaiting(leases, &state, now);
  const bool was_chosen = state.unanswered == 0 || !is_own;
  if (grant.ask_again > Millis(0)) {
    AskAgain(leases, &state, grant, sequence, now);
  } else if (grant.retry_after <= Millis(0)) {
    // Retries that came after the message took tokens of those it asked for.
    for (auto& it : state.waiting) {
      if (it.asked_in == sequence) it.asked_in = 0;
    }
  } else if (was_chosen) {
    RefuseWaiting(leases, &state, grant, sequence, now);
  } else {
    RefuseUnanswered(leases, &state);
  }
  if (was_chosen || state.waiting.empty()) state.unanswered = 0;
}

TokenOutcome RequestToken(AllowanceLeases* leases,
                          const ClientAccountId& account,
                          const AccountAllowance& allowance, bool is_retry,
                          Millis now) {
  TokenOutcome outcome;
  if (!leases->context.enabled || !allowance.IsLimited()) return outcome;
  auto& state = leases->accounts[account];
  ExpireLeases(&state, now);
  state.arrivals += 1;
  AddToRate(&state.demand_per_second, &state.demand_at, 1, now,
            kLeaseDemandTimeConstant);
  if (TakeToken(&state, now, &outcome.age)) return outcome;
  if (!is_retry && now < state.refuse_until) {
    outcome.kind = TokenOutcomeKind::kAboveAllowance;
    outcome.retry_after = NextLocalPlace(&state, now);
    outcome.age = now - state.refused_at;
    return outcome;
  }
  outcome.kind = TokenOutcomeKind::kWaiting;
  outcome.ticket = leases->next_ticket++;
  state.waiting.push_back({outcome.ticket, is_retry, now, 0});
  Activate(leases, account, &state);
  return outcome;
}

void CancelToken(AllowanceLeases* leases, const ClientAccountId& account,
                 uint64_t ticket) {
  const auto state = leases->accounts.find(account);
  if (state == leases->accounts.end()) return;
  std::erase_if(state->second.waiting,
                [&](auto& it) { return it.ticket == ticket; });
}

void ReturnToken(AllowanceLeases* leases, const ClientAccountId& account,
                 Millis now) {
  if (!leases->context.enabled) return;
  auto& state = leases->accounts[account];
  if (state.waiting.empty()) {
    state.returned += 1;
  } else {
    state.leases.push_back({1, now});
    ServeWaiting(leases, &state, now);
  }
  Activate(leases, account, &state);
}

std::vector<LeaseStatus> LeaseStatuses(const AllowanceLeases& leases,
                                       Millis now) {
  std::vector<LeaseStatus> statuses;
  for (const auto& [account, state] : leases.accounts) {
    LeaseStatus status;
    status.account = account;
    status.tokens = HeldTokens(state);
    status.waiting = state.waiting.size();
    status.refused_for = Max(Millis(0), state.refuse_until - now);
    statuses.push_back(status);
  }
  return statuses;
}

}  // namespace hibiscuspick::engine
