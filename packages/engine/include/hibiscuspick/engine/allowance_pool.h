// The counting side of allowances: one token pool for each account that this
// instance counts. A pool refills in proportion to the shares lent to it, so
// that pools that can't reach each other never grant more than the bound
// together. See docs/design/hard-load.md, part 2.
//
// How to use it (the edge):
//   - SetPoolContext whenever the configuration, the settings or the instance
//     list changes, and at least once a second;
//   - HandleAllowanceRequest for each message of either kind; its reply is sent
//     at once;
//   - TakeExchangeMessages after each call and at its `next_at`; then
//     HandleExchangeReply or HandleExchangeFailure for each of its messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/allowance_messages.h"
#include "hibiscuspick/engine/client_accounts.h"
#include "hibiscuspick/engine/counting_instance.h"

namespace hibiscuspick::engine {

// A loan ends this long after the clock reading that it echoes.
inline constexpr Millis kLoanTime{1250};

// A refused request gets a place in the refill if it is due within this time.
// Callers return only if that is at most a third of the time they have left.
inline constexpr Millis kPlaceHorizon{2000};

// An exchange without a reply has failed after this time.
inline constexpr Millis kExchangeTimeout{250};

// The parts of the tolerance that pay for rate and burst of pools that can't
// reach each other, for tokens held beyond the burst, and for the start of a
// pool. Of the remaining fifth, half pays for a second restart of all pools
// within a window, half for leases and for tokens moved between data centres.
inline constexpr double kShareTolerance = 0.4;
inline constexpr double kCapacityTolerance = 0.3;
inline constexpr double kStartTolerance = 0.1;

// The parts of the bound on an account's requests that the pools divide.
struct AllowanceLimits {
  double rate_per_second = 0;
  // At least one token.
  double burst = 0;
  // The tolerance: what the bound allows above rate x window + burst.
  double tolerance = 0;
  // m: the factor on rate and burst that kShareTolerance pays for.
  double share_factor = 1;
  auto operator<=>(const AllowanceLimits&) const = default;
};
AllowanceLimits MakeAllowanceLimits(const AccountAllowance& allowance,
                                    const AllowanceBounds& bounds);

// What is lent to a pool, and the tokens that it may therefore hold.
struct PoolShare {
  // The sum of the lent shares, from 0 to 1.
  double lent = 0;
  double refill_per_second = 0;
  double capacity = 0;
};
PoolShare MakePoolShare(const AllowanceLimits& limits, double lent);

struct AllowancePool {
  AllowanceLimits limits;
  PoolShare share;
  double tokens = 0;
  Millis refilled_at{0};
  // The largest lent share for which start tokens were given.
  double started_share = 0;
  // Tokens above the capacity came from other data centres for requests that
  // wait, and are dropped then.
  Millis excess_until{-1e9};
  // Requests per second of this data centre's instances, as a decaying average,
  // and the time of the last one.
  double demand_per_second = 0;
  Millis demand_at{-1e9};
  // Tokens per second that came from other data centres, likewise.
  double received_per_second = 0;
  Millis received_at{-1e9};
  // When the places of refused requests are due, in order; the last one given.
  std::vector<Millis> places;
  Millis last_place{-1e9};
  // Refusals beyond kPlaceHorizon, which get no place.
  uint64_t without_place = 0;

  // Requests that wait for tokens of other data centres.
  double waiting = 0;
  // Whether the account is in AllowancePools::short_accounts.
  bool is_short = false;
  // The current round of messages to the other data centres: those without a
  // reply, tokens asked for, tokens that came, and whether any data centre gave
  // all that it was asked for.
  int round_in_flight = 0;
  double round_asked = 0;
  double round_given = 0;
  bool round_has_full = false;
  // The part of the tokens asked for that each data centre gave lately.
  std::map<DataCentreId, double> yields;
  // The other data centres had too few tokens: until then no request waits for
  // them.
  Millis dry_until{-1e9};
  // They aren't asked before, and then at this interval while they have none.
  Millis ask_from{-1e9};
  Millis ask_interval{100};
};

// The current loan of one instance.
struct HeldLoan {
  // Of the lender.
  uint64_t process = 0;
  uint64_t sequence = 0;
  Millis ends_at;
  uint32_t instances = 0;
  std::vector<std::vector<InstanceId>> candidate_lists;
};

struct AllowancePoolContext {
  InstanceId own;
  DataCentreId data_centre;
  // Random for each process; not 0.
  uint64_t process = 0;
  uint64_t config_version = 0;
  AllowanceBounds bounds;
  // The number of instances in the own list, this one included.
  size_t instances = 1;
  // Those of the other data centres are asked for tokens.
  CandidatesByDataCentre candidates;
  // The accounts of the configuration version; kept alive by the pools.
  std::shared_ptr<const ClientAccounts> accounts;
  // Feature switch: pools of different data centres exchange tokens.
  bool exchange = true;
};

// What is lent with the same candidate lists.
struct LoanGroup {
  // The sum of the shares.
  double lent = 0;
  // The accounts for which the lists choose this instance.
  std::vector<ClientAccountId> accounts;
};

struct AllowancePools {
  AllowancePoolContext context;
  // The accounts of the configuration; those without a limit have rate 0.
  std::unordered_map<ClientAccountId, AllowanceLimits> limits;
  std::map<InstanceId, HeldLoan> loans;
  // No loan ends before.
  Millis next_loan_end{kNever};
  std::map<std::vector<std::vector<InstanceId>>, LoanGroup> groups;
  std::unordered_map<ClientAccountId, AllowancePool> pools;

  // A counting instance of another data centre.
  struct ExchangePeer {
    // Usual time from a message to its reply.
    Millis round_trip{5};
    // It isn't asked until then, since it has failed so often in a row.
    Millis retry_at{-1e9};
    int failures = 0;
  };
  std::map<InstanceId, ExchangePeer> exchange_peers;
  // The messages without a reply, by sequence number.
  struct Exchange {
    Millis sent_at;
    AllowanceMessage message;
    DataCentreId data_centre;
  };
  std::map<uint64_t, Exchange> exchanges;
  Millis exchanged_at{-1e9};
  // The accounts that are short of tokens.
  std::vector<ClientAccountId> short_accounts;
  uint64_t next_sequence = 1;
};

// Sets the configuration, the settings and the instances. Tokens above a lower
// capacity are dropped at once; a higher rate applies from now on.
void SetPoolContext(AllowancePools* pools, AllowancePoolContext context,
                    Millis now);

// Ends the loans of earlier runs of the instance, of which `process` is the
// present one: that may lend the same share to another instance.
void EndEarlierLoans(AllowancePools* pools, const InstanceId& lender,
                     uint64_t process, Millis now);

// Answers a message of either kind. Renews the sender's loan, takes back unused
// tokens and deducts the granted ones, so that a lost reply loses tokens and
// never duplicates them.
AllowanceReply HandleAllowanceRequest(AllowancePools* pools,
                                      const AllowanceRequest& request,
                                      Millis now);

// Messages to counting instances of other data centres, and when to call this
// again at the latest (kNever if only after the next request).
struct ExchangeMessages {
  std::vector<AllowanceMessage> messages;
  Millis next_at{kNever};
};
ExchangeMessages TakeExchangeMessages(AllowancePools* pools, Millis now);

// The reply to a message of TakeExchangeMessages. `sent`: that message. Replies
// that come after kExchangeTimeout are used too.
void HandleExchangeReply(AllowancePools* pools, const AllowanceMessage& sent,
                         const AllowanceReply& reply, Millis now);
// The message failed. Time-outs are noticed by TakeExchangeMessages itself.
void HandleExchangeFailure(AllowancePools* pools, const AllowanceMessage& sent,
                           Millis now);

// What operators see of one account at this instance.
struct PoolStatus {
  ClientAccountId account;
  double tokens = 0;
  double lent = 0;
  double refill_per_second = 0;
  double capacity = 0;
  double demand_per_second = 0;
  size_t places = 0;
};
std::vector<PoolStatus> PoolStatuses(const AllowancePools& pools);

}  // namespace hibiscuspick::engine
