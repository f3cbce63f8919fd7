#include "hibiscuspick/engine/allowance_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "allowance_pool_internal.h"
#include "decaying_rate.h"

namespace hibiscuspick::engine {
namespace {

// How long a place is kept for a caller that was told to return then: the time
// it takes to return, with some delay.
constexpr Millis kPlaceHold{500};
// Places that are due within this time are reserved already.
constexpr Millis kPlaceLead{30};
// Tokens that are reserved for others make the time until the next one 0.
constexpr Millis kMinRetryAfter{5};
// A retry waits for a token that comes within this time, unless many callers
// return: they would wait for each other's tokens.
constexpr Millis kRetryWait{20};
// Instances refuse by themselves for at most this time, since places that
// nobody takes become free.
constexpr Millis kMaxRefuseTime{250};
// The part of the capacity that places reserve, and that may fill up while
// instances refuse by themselves. A token kept for a caller that returns
// refuses a new request that would have been served at once.
constexpr double kReservedPart = 0.1;
// Sums of fractions are slightly below the integer that they stand for.
constexpr double kRounding = 1e-6;

double WholeTokens(double tokens) {
  return std::max(0.0, std::floor(tokens + kRounding));
}

// The tokens that are kept for callers that are expected to return now or
// shortly. Not all that the pool can hold: most of the refill would be lost if
// none of them returned.
double ReservedTokens(const AllowancePool& pool, Millis now) {
  const auto end = std::upper_bound(pool.places.begin(), pool.places.end(),
                                    now + kPlaceLead);
  return std::min(static_cast<double>(end - pool.places.begin()),
                  kReservedPart * std::max(0.0, pool.share.capacity - 1));
}

// Tokens per second that the pool gets, from its refill and from other data
// centres.
double ExpectedRefill(const AllowancePool& pool, Millis now) {
  constexpr double kMinRefill = 1e-3;
  const double received = DecayedRate(
      pool.received_per_second, pool.received_at, now, kReceivedTimeConstant);
  return std::clamp(pool.share.refill_per_second + received, kMinRefill,
                    std::max(kMinRefill, pool.limits.rate_per_second));
}

// Refills up to `now` and drops places that nobody took.
void Settle(AllowancePool* pool, Millis now) {
  const Millis elapsed = Max(now - pool->refilled_at, Millis(0));
  const double capacity = pool->share.capacity;
  if (now >= pool->excess_until) {
    pool->tokens = std::min(pool->tokens, capacity);
  }
  if (pool->tokens < capacity) {
    const double refill = pool->share.refill_per_second * elapsed.count / 1000;
    pool->tokens = std::min(capacity, pool->tokens + refill);
  }
  pool->refilled_at = Max(pool->refilled_at, now);
  const auto kept = std::lower_bound(pool->places.begin(), pool->places.end(),
                                     now - kPlaceHold);
  pool->places.erase(pool->places.begin(), kept);
}

// Sets the limits and the lent share of a settled pool.
void SetShare(AllowancePool* pool, const AllowanceLimits& limits, double lent) {
  if (pool->limits == limits && pool->share.lent == lent) return;
  pool->limits = limits;
  pool->share = MakePoolShare(limits, lent);
  if (pool->share.lent > pool->started_share) {
    pool->tokens += kStartTolerance * limits.tolerance *
                    (pool->share.lent - pool->started_share);
    pool->started_share = pool->share.lent;
  }
  pool->tokens = std::min(pool->tokens, pool->share.capacity);
}

bool ChoosesOwn(const AllowancePools& pools,
                const std::vector<std::vector<InstanceId>>& lists,
                const ClientAccountId& account) {
  return std::all_of(lists.begin(), lists.end(), [&](const auto& it) {
    const auto* chosen = ChooseCountingInstance(it, account);
    return chosen != nullptr && *chosen == pools.context.own;
  });
}

// Recomputes what is lent to each pool after loans or the context changed.
void UpdateShares(AllowancePools* pools, Millis now) {
  for (auto& [lists, group] : pools->groups) group.lent = 0;
  pools->next_loan_end = kNever;
  for (const auto& [lender, loan] : pools->loans) {
    pools->next_loan_end = Min(pools->next_loan_end, loan.ends_at);
    const auto [group, is_new] =
        pools->groups.try_emplace(loan.candidate_lists);
    if (is_new) {
      for (const auto& [account, limits] : pools->limits) {
        if (limits.rate_per_second <= 0) continue;
        if (!ChoosesOwn(*pools, loan.candidate_lists, account)) continue;
        group->second.accounts.push_back(account);
      }
    }
    const auto instances =
        std::max<size_t>({loan.instances, pools->context.instances, 1});
    group->second.lent += 1 / static_cast<double>(instances);
  }
  std::erase_if(pools->groups, [](auto& it) { return it.second.lent <= 0; });

  std::unordered_map<ClientAccountId, double> lent;
  for (const auto& [lists, group] : pools->groups) {
    for (const auto& it : group.accounts) {
      lent[it] += group.lent;
      auto& pool = pools->pools[it];
      if (pool.limits.rate_per_second <= 0) pool.refilled_at = now;
    }
  }
  for (auto& [account, pool] : pools->pools) {
    Settle(&pool, now);
    const auto share = lent.find(account);
    SetShare(&pool, pools->limits[account],
             share == lent.end() ? 0 : std::min(1.0, share->second));
  }
}

// Ends loans at their time, so that a pool doesn't refill by a loan for longer.
void EndLoans(AllowancePools* pools, Millis now) {
  while (pools->next_loan_end <= now) {
    const Millis end = pools->next_loan_end;
    std::erase_if(pools->loans,
                  [&](auto& it) { return it.second.ends_at <= end; });
    UpdateShares(pools, end);
  }
}

void RenewLoan(AllowancePools* pools, const AllowanceRequest& request,
               Millis now) {
  const auto held = pools->loans.find(request.from);
  const bool is_held = held != pools->loans.end();
  if (is_held && held->second.process == request.process &&
      held->second.sequence >= request.sequence) {
    return;
  }
  const auto& loan = request.loan;
  if (loan.instances == 0 || loan.candidate_lists.empty()) {
    if (!is_held) return;
    pools->loans.erase(held);
    UpdateShares(pools, now);
    return;
  }
  const Millis ends_at = loan.echo.at + kLoanTime;
  const bool is_valid = loan.echo.process == pools->context.process &&
                        loan.echo.at <= now && now < ends_at;
  if (!is_valid) return;
  const bool is_same = is_held && held->second.instances == loan.instances &&
                       held->second.candidate_lists == loan.candidate_lists;
  HeldLoan renewed;
  renewed.process = request.process;
  renewed.sequence = request.sequence;
  renewed.ends_at = ends_at;
  renewed.instances = loan.instances;
  renewed.candidate_lists = loan.candidate_lists;
  pools->loans[request.from] = std::move(renewed);
  if (!is_same) {
    UpdateShares(pools, now);
    return;
  }
  pools->next_loan_end = kNever;
  for (const auto& [lender, it] : pools->loans) {
    pools->next_loan_end = Min(pools->next_loan_end, it.ends_at);
  }
}

// Gives consecutive places in the refill to `count` refused requests, and fills
// in when they should return.
void GivePlaces(AllowancePool* pool, double count, Millis now,
                TokenGrant* grant) {
  const double refill = ExpectedRefill(*pool, now);
  const Millis spacing{1000 / refill};
  const auto taken = static_cast<double>(pool->places.size());
  const Millis until_token = spacing * std::max(0.0, 1 + taken - pool->tokens);
  Millis due =
      Max(pool->last_place + spacing, now + Max(until_token, kMinRetryAfter));
  grant->retry_spacing = spacing;
  if (due > now + kPlaceHorizon) {
    // Too late for most callers. The times are spread over the refill, so that
    // those that return don't come together.
    const double slots =
        std::max(1.0, std::floor(kPlaceHorizon.count / spacing.count));
    const double slot =
        std::fmod(static_cast<double>(pool->without_place), slots);
    grant->retry_after = Max(kPlaceHorizon, until_token) + spacing * slot;
    pool->without_place += static_cast<uint64_t>(count);
    return;
  }
  grant->retry_after = due - now;
  for (double i = 0; i < count && due <= now + kPlaceHorizon; ++i) {
    pool->places.push_back(due);
    pool->last_place = due;
    due += spacing;
  }
}

// Until when, and how, instances refuse new requests by themselves.
void SetLocalRefusal(const AllowancePools& pools, const AllowancePool& pool,
                     Millis now, TokenGrant* grant) {
  const double refill = ExpectedRefill(pool, now);
  const Millis until_free =
      pool.places.empty()
          ? Millis(std::max(0.0, 1 - pool.tokens) * 1000 / refill)
          : pool.places.back() - now;
  const double free_capacity = std::max(0.0, pool.share.capacity - pool.tokens);
  const Millis until_half_full{kReservedPart * free_capacity * 1000 / refill};
  grant->refuse_for =
      Max(Millis(0), Min(Min(until_free, until_half_full), kMaxRefuseTime));
  const auto lenders =
      static_cast<double>(std::max<size_t>(pools.loans.size(), 1));
  grant->refused_spacing = Millis(1000 / refill) * lenders;
}

// Decides on the requests that got no token: they wait or are refused.
void Refuse(AllowancePools* pools, AllowancePool* pool,
            const TokenRequest& request, double refused, Millis now,
            TokenGrant* grant) {
  const Millis wait =
      WaitForExchange(pools, request.account, pool, refused, now);
  if (wait > Millis(0)) {
    grant->ask_again = wait;
  } else if (request.for_retries > grant->tokens &&
             pool->places.size() <
                 2 * static_cast<size_t>(request.for_retries)) {
    const double missing = request.for_retries - grant->tokens - pool->tokens;
    const Millis until_token =
        Millis(missing * 1000 / ExpectedRefill(*pool, now));
    if (until_token <= kRetryWait) {
      grant->ask_again = Max(until_token, Millis(1));
    }
  }
  if (grant->ask_again > Millis(0)) {
    // For those that have waited too long already.
    GivePlaces(pool, 0, now, grant);
    return;
  }
  GivePlaces(pool, refused, now, grant);
  SetLocalRefusal(*pools, *pool, now, grant);
}

// Answers for one account. False if this instance can't tell: it doesn't know
// the account, or no share of it was lent to it and no tokens come from other
// data centres.
bool GrantTokens(AllowancePools* pools, const TokenRequest& request, Millis now,
                 TokenGrant* grant) {
  const auto limits = pools->limits.find(request.account);
  if (limits == pools->limits.end()) return false;
  grant->account = request.account;
  if (limits->second.rate_per_second <= 0) {
    grant->tokens = request.wanted;
    return true;
  }
  auto [entry, is_new] = pools->pools.try_emplace(request.account);
  auto* pool = &entry->second;
  if (is_new) {
    pool->refilled_at = now;
    SetShare(pool, limits->second, 0);
  }
  Settle(pool, now);
  if (request.returned > 0) {
    const double sum = pool->tokens + request.returned;
    pool->tokens = std::max(pool->tokens, std::min(sum, pool->share.capacity));
  }
  if (request.arrivals > 0) {
    AddToRate(&pool->demand_per_second, &pool->demand_at, request.arrivals, now,
              kDemandTimeConstant);
  }
  const double needed = std::max(0.0, request.wanted - request.ahead);
  const double retries = std::min(request.for_retries, needed);
  const double for_retries = std::min(retries, WholeTokens(pool->tokens));
  pool->tokens -= for_retries;
  const auto taken =
      std::min(static_cast<size_t>(for_retries), pool->places.size());
  pool->places.erase(pool->places.begin(),
                     pool->places.begin() + static_cast<ptrdiff_t>(taken));
  const double free = WholeTokens(pool->tokens - ReservedTokens(*pool, now));
  const double for_new = std::min(needed - retries, free);
  const double ahead =
      pool->places.empty()
          ? std::min(request.ahead, std::floor((free - for_new) / 2))
          : 0;
  pool->tokens -= for_new + ahead;
  grant->tokens = for_retries + for_new + ahead;
  const double refused = needed - for_retries - for_new;
  if (refused > 0) Refuse(pools, pool, request, refused, now, grant);
  NoteShortage(pools, request.account, pool, now);
  const bool has_answer =
      refused <= 0 || pool->share.lent > 0 || grant->ask_again > Millis(0);
  return has_answer || grant->tokens > 0;
}

// Gives tokens to another data centre: what exceeds the own expected use.
TokenGrant GiveTokens(AllowancePools* pools, const TokenRequest& request,
                      Millis now) {
  TokenGrant grant;
  grant.account = request.account;
  const auto entry = pools->pools.find(request.account);
  if (entry == pools->pools.end()) return grant;
  auto* pool = &entry->second;
  Settle(pool, now);
  const auto places = static_cast<double>(pool->places.size());
  const double kept = ExpectedUse(*pool, now) + places;
  grant.tokens = std::clamp(pool->tokens - kept, 0.0, request.wanted);
  pool->tokens -= grant.tokens;
  return grant;
}

}  // namespace

AllowanceLimits MakeAllowanceLimits(const AccountAllowance& allowance,
                                    const AllowanceBounds& bounds) {
  AllowanceLimits limits;
  if (!allowance.IsLimited() || bounds.window <= Millis(0)) return limits;
  // With a burst below one token no request would ever get one. The tolerance
  // pays for the difference.
  const double burst = std::max(1.0, allowance.burst);
  const double refill = allowance.rate_per_second * bounds.window.count / 1000;
  const double bound =
      (refill + allowance.burst) * (1 + bounds.overage) + bounds.slack;
  limits.rate_per_second = allowance.rate_per_second;
  limits.burst = burst;
  limits.tolerance = std::max(0.0, bound - refill - burst);
  limits.share_factor =
      1 + kShareTolerance * limits.tolerance / (refill + burst);
  return limits;
}

PoolShare MakePoolShare(const AllowanceLimits& limits, double lent) {
  PoolShare share;
  share.lent = lent;
  const double part = std::min(1.0, limits.share_factor * lent);
  share.refill_per_second = limits.rate_per_second * part;
  share.capacity =
      limits.burst * part + kCapacityTolerance * limits.tolerance * lent;
  return share;
}

void SetPoolContext(AllowancePools* pools, AllowancePoolContext context,
                    Millis now) {
  EndLoans(pools, now);
  const bool new_limits = context.accounts != pools->context.accounts ||
                          context.bounds != pools->context.bounds;
  const bool new_own = context.own != pools->context.own;
  const bool new_shares =
      new_limits || new_own || context.instances != pools->context.instances;
  pools->context = std::move(context);
  if (!new_shares) return;
  // The accounts of a group are those for which its lists choose this instance.
  if (new_own) pools->groups.clear();
  if (new_limits) {
    pools->limits.clear();
    if (pools->context.accounts) {
      for (const auto& it : pools->context.accounts->accounts) {
        pools->limits[it.id] =
            MakeAllowanceLimits(it.allowance, pools->context.bounds);
      }
    }
    std::erase_if(pools->pools, [&](auto& it) {
      const auto limits = pools->limits.find(it.first);
      return limits == pools->limits.end() ||
             limits->second.rate_per_second <= 0;
    });
    pools->groups.clear();
  }
  UpdateShares(pools, now);
}

void EndEarlierLoans(AllowancePools* pools, const InstanceId& lender,
                     uint64_t process, Millis now) {
  EndLoans(pools, now);
  const auto held = pools->loans.find(lender);
  if (held == pools->loans.end() || held->second.process == process) return;
  pools->loans.erase(held);
  UpdateShares(pools, now);
}

AllowanceReply HandleAllowanceRequest(AllowancePools* pools,
                                      const AllowanceRequest& request,
                                      Millis now) {
  EndLoans(pools, now);
  AllowanceReply reply;
  reply.clock = {pools->context.process, now};
  const bool is_exchange = request.kind == AllowanceMessageKind::kExchange;
  if (!is_exchange && request.data_centre == pools->context.data_centre) {
    RenewLoan(pools, request, now);
  }
  for (const auto& it : request.accounts) {
    if (is_exchange) {
      reply.accounts.push_back(GiveTokens(pools, it, now));
      continue;
    }
    TokenGrant grant;
    if (GrantTokens(pools, it, now, &grant)) reply.accounts.push_back(grant);
  }
  return reply;
}

std::vector<PoolStatus> PoolStatuses(const AllowancePools& pools) {
  std::vector<PoolStatus> statuses;
  for (const auto& [account, pool] : pools.pools) {
    PoolStatus status;
    status.account = account;
    status.tokens = pool.tokens;
    status.lent = pool.share.lent;
    status.refill_per_second = pool.share.refill_per_second;
    status.capacity = pool.share.capacity;
    status.demand_per_second = pool.demand_per_second;
    status.places = pool.places.size();
    statuses.push_back(status);
  }
  return statuses;
}

}  // namespace hibiscuspick::engine
