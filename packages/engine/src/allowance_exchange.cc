// The exchange of tokens between the counting instances of different data
// centres, see allowance_pool.h.
#include <algorithm>
#include <utility>

#include "allowance_pool_internal.h"
#include "decaying_rate.h"

namespace hibiscuspick::engine {
namespace {

// Demand is served from the pool for this long while tokens are on their way.
constexpr Millis kAheadTime{250};
// A pool keeps tokens for this time of its own demand when others ask. Longer
// would leave tokens unused where demand has moved away.
constexpr Millis kKeptTime{100};
// A pool without a request for so long keeps nothing for itself and asks for
// nothing.
constexpr Millis kIdleTime{1000};
// Intervals between messages: when requests wait, and otherwise.
constexpr Millis kUrgentInterval{20};
constexpr Millis kExchangeInterval{100};
// After the others had too few tokens no request waits for them for this time.
constexpr Millis kDryTime{300};
// They are asked again after kExchangeInterval, or later each time if they had
// nearly nothing.
constexpr Millis kMaxAskInterval{300};
constexpr double kNothing = 0.05;
// A data centre that gave this part of what it was asked for may have more.
constexpr double kFullYield = 0.95;
// With less of the tokens asked for than this, the others are asked later.
constexpr double kMinYield = 0.25;
constexpr double kYieldWeight = 0.5;
// A data centre that gave nothing is asked for a little still, since it may
// have tokens again.
constexpr double kMinWeight = 0.05;
// Fewer tokens aren't worth a message.
constexpr double kMinNeed = 0.02;
constexpr Millis kFirstBackoff{500};
constexpr int kMaxBackoffDoublings = 3;
constexpr Millis kMaxAskAgain{120};
constexpr double kRoundTripWeight = 0.2;

bool IsIdle(const AllowancePool& pool, Millis now) {
  return now - pool.demand_at > kIdleTime;
}

double Demand(const AllowancePool& pool, Millis now) {
  return DecayedRate(pool.demand_per_second, pool.demand_at, now,
                     kDemandTimeConstant);
}

// The tokens that the pool should ask for.
double Need(const AllowancePool& pool, Millis now) {
  if (IsIdle(pool, now)) return 0;
  const double rate = std::min(Demand(pool, now), pool.limits.rate_per_second);
  const double ahead = rate * kAheadTime.count / 1000;
  const double most = std::max(1.0, pool.share.capacity);
  if (pool.waiting > 0) {
    return std::max(pool.waiting, std::min(most, pool.waiting + ahead)) -
           pool.tokens;
  }
  if (pool.tokens >= std::min(most, 1 + ahead)) return 0;
  return std::min(most, 1 + 2 * ahead) - pool.tokens;
}

struct Target {
  DataCentreId data_centre;
  const InstanceId* instance;
  double weight;
};

// The counting instances of the account in the other data centres.
std::vector<Target> Targets(AllowancePools* pools, const AllowancePool& pool,
                            const ClientAccountId& account, Millis now) {
  std::vector<Target> targets;
  double sum = 0;
  for (const auto& [data_centre, candidates] : pools->context.candidates) {
    if (data_centre == pools->context.data_centre) continue;
    const auto* chosen = ChooseCountingInstance(candidates, account);
    if (chosen == nullptr) continue;
    if (pools->exchange_peers[*chosen].retry_at > now) continue;
    const auto yield = pool.yields.find(data_centre);
    const double weight =
        kMinWeight + (yield == pool.yields.end() ? 1 : yield->second);
    targets.push_back({data_centre, chosen, weight});
    sum += weight;
  }
  for (auto& it : targets) it.weight /= sum;
  return targets;
}

void EndRound(AllowancePool* pool, Millis now) {
  if (--pool->round_in_flight > 0) return;
  pool->round_in_flight = 0;
  pool->waiting = 0;
  const bool has_nothing = pool->round_given < kNothing * pool->round_asked;
  pool->ask_interval = has_nothing
                           ? Min(pool->ask_interval * 2, kMaxAskInterval)
                           : kExchangeInterval;
  pool->ask_from = now;
  if (!pool->round_has_full) pool->dry_until = now + kDryTime;
  if (pool->round_given < kMinYield * pool->round_asked) {
    pool->ask_from = now + pool->ask_interval;
    pool->yields.clear();
  }
}

// Records the end of one message; `grants` is null if it failed.
void EndExchange(AllowancePools* pools, uint64_t sequence,
                 const std::vector<TokenGrant>* grants, Millis now) {
  const auto exchange = pools->exchanges.find(sequence);
  if (exchange == pools->exchanges.end()) return;
  auto& peer = pools->exchange_peers[exchange->second.message.to];
  if (grants == nullptr) {
    const int doublings = std::min(peer.failures, kMaxBackoffDoublings);
    peer.retry_at = now + kFirstBackoff * (1 << doublings);
    ++peer.failures;
  } else {
    const Millis took = now - exchange->second.sent_at;
    peer.round_trip =
        peer.round_trip + (took - peer.round_trip) * kRoundTripWeight;
    peer.failures = 0;
  }
  for (const auto& asked : exchange->second.message.request.accounts) {
    const auto pool = pools->pools.find(asked.account);
    if (pool == pools->pools.end()) continue;
    double given = 0;
    if (grants != nullptr) {
      for (const auto& it : *grants) {
        if (it.account == asked.account) given += it.tokens;
      }
    }
    pool->second.round_given += given;
    pool->second.round_has_full =
        pool->second.round_has_full || given >= kFullYield * asked.wanted;
    auto& yield =
        pool->second.yields.try_emplace(exchange->second.data_centre, 1)
            .first->second;
    yield += kYieldWeight * (given / asked.wanted - yield);
    EndRound(&pool->second, now);
  }
  pools->exchanges.erase(exchange);
}

void AddReceived(AllowancePools* pools, const TokenGrant& grant, Millis now) {
  const auto entry = pools->pools.find(grant.account);
  if (entry == pools->pools.end() || grant.tokens <= 0) return;
  auto& pool = entry->second;
  AddToRate(&pool.received_per_second, &pool.received_at, grant.tokens, now,
            kReceivedTimeConstant);
  pool.tokens += grant.tokens;
  if (pool.tokens > pool.share.capacity) pool.excess_until = now + kIdleTime;
}

// Removes accounts that need nothing from others any more.
void DropSatisfied(AllowancePools* pools, Millis now) {
  std::erase_if(pools->short_accounts, [&](const ClientAccountId& it) {
    const auto pool = pools->pools.find(it);
    if (pool == pools->pools.end()) return true;
    const bool is_done =
        pool->second.round_in_flight == 0 &&
        (now < pool->second.ask_from || Need(pool->second, now) < kMinNeed);
    if (is_done) {
      pool->second.is_short = false;
      pool->second.waiting = 0;
    }
    return is_done;
  });
}

// Adds the account's part of a new round to the messages by receiver.
void AddRound(AllowancePools* pools, const ClientAccountId& account, Millis now,
              std::map<InstanceId, AllowancePools::Exchange>* messages) {
  auto& pool = pools->pools[account];
  const auto targets = Targets(pools, pool, account, now);
  if (targets.empty()) {
    pool.dry_until = pool.ask_from = now + kDryTime;
    return;
  }
  const double need = Need(pool, now);
  pool.round_in_flight = static_cast<int>(targets.size());
  pool.round_asked = need;
  pool.round_given = 0;
  pool.round_has_full = false;
  for (const auto& it : targets) {
    auto& exchange = (*messages)[*it.instance];
    exchange.data_centre = it.data_centre;
    TokenRequest request;
    request.account = account;
    request.wanted = need * it.weight;
    exchange.message.request.accounts.push_back(std::move(request));
  }
}

}  // namespace

double ExpectedUse(const AllowancePool& pool, Millis now) {
  if (IsIdle(pool, now)) return 0;
  const double rate = std::min(Demand(pool, now), pool.limits.rate_per_second);
  return rate * kKeptTime.count / 1000;
}

Millis WaitForExchange(AllowancePools* pools, const ClientAccountId& account,
                       AllowancePool* pool, double count, Millis now) {
  if (!pools->context.exchange) return Millis(0);
  if (now < Max(pool->dry_until, pool->ask_from)) return Millis(0);
  Millis round_trip{0};
  for (const auto& it : Targets(pools, *pool, account, now)) {
    round_trip =
        Max(round_trip, pools->exchange_peers[*it.instance].round_trip);
  }
  if (round_trip <= Millis(0)) return Millis(0);
  pool->waiting += count;
  const Millis until_sent =
      Max(Millis(0), pools->exchanged_at + kUrgentInterval - now);
  return Min(until_sent + round_trip + Millis(1), kMaxAskAgain);
}

void NoteShortage(AllowancePools* pools, const ClientAccountId& account,
                  AllowancePool* pool, Millis now) {
  if (!pools->context.exchange || pool->is_short) return;
  if (now < pool->ask_from || Need(*pool, now) < kMinNeed) return;
  pool->is_short = true;
  pools->short_accounts.push_back(account);
}

ExchangeMessages TakeExchangeMessages(AllowancePools* pools, Millis now) {
  std::vector<uint64_t> timed_out;
  for (const auto& [sequence, it] : pools->exchanges) {
    if (now >= it.sent_at + kExchangeTimeout) timed_out.push_back(sequence);
  }
  for (const uint64_t it : timed_out) EndExchange(pools, it, nullptr, now);
  DropSatisfied(pools, now);

  ExchangeMessages result;
  bool is_urgent = false;
  bool is_due = false;
  for (const auto& it : pools->short_accounts) {
    const auto& pool = pools->pools[it];
    if (pool.round_in_flight > 0) continue;
    is_due = true;
    is_urgent = is_urgent || pool.waiting > 0;
  }
  const Millis send_at =
      pools->exchanged_at + (is_urgent ? kUrgentInterval : kExchangeInterval);
  if (is_due && now >= send_at) {
    std::map<InstanceId, AllowancePools::Exchange> messages;
    for (const auto& it : pools->short_accounts) {
      if (pools->pools[it].round_in_flight > 0) continue;
      AddRound(pools, it, now, &messages);
    }
    for (auto& [to, exchange] : messages) {
      auto& request = exchange.message.request;
      exchange.message.to = to;
      request.kind = AllowanceMessageKind::kExchange;
      request.from = pools->context.own;
      request.data_centre = pools->context.data_centre;
      request.process = pools->context.process;
      request.sequence = pools->next_sequence++;
      request.config_version = pools->context.config_version;
      exchange.sent_at = now;
      result.messages.push_back(exchange.message);
      pools->exchanges.emplace(request.sequence, exchange);
    }
    if (!messages.empty()) pools->exchanged_at = now;
    DropSatisfied(pools, now);
  } else if (is_due) {
    result.next_at = send_at;
  }
  for (const auto& [sequence, it] : pools->exchanges) {
    result.next_at = Min(result.next_at, it.sent_at + kExchangeTimeout);
  }
  return result;
}

void HandleExchangeReply(AllowancePools* pools, const AllowanceMessage& sent,
                         const AllowanceReply& reply, Millis now) {
  for (const auto& it : reply.accounts) AddReceived(pools, it, now);
  EndExchange(pools, sent.request.sequence, &reply.accounts, now);
}

void HandleExchangeFailure(AllowancePools* pools, const AllowanceMessage& sent,
                           Millis now) {
  EndExchange(pools, sent.request.sequence, nullptr, now);
}

}  // namespace hibiscuspick::engine
