// The using side of allowances: an instance that runs requests takes tokens
// from its leases and asks the counting instances for more. See
// docs/design/hard-load.md, part 2.
//
// How to use it (the edge):
//   - SetLeaseContext whenever the configuration or the instance list changes;
//   - RequestToken for each request of an account. If it answers kWaiting, the
//     outcome comes later with the same ticket from AdvanceLeases;
//   - ReturnToken if a request with a token was refused or did not run;
//   - AdvanceLeases after each of these calls and at its `next_at`: it returns
//     messages to send and outcomes;
//   - HandleLeaseReply or HandleLeaseFailure for each message. Time-outs are
//     noticed by AdvanceLeases itself; a reply after that is still used.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/allowance_messages.h"
#include "hibiscuspick/engine/client_accounts.h"

namespace hibiscuspick::engine {

// A counting instance that hasn't answered for so long is asked no longer for
// the requests that wait; the next in hash order is, once, then the own share.
inline constexpr Millis kAskTimeout{50};

// A counting instance that hasn't answered for so long isn't chosen.
inline constexpr Millis kSilenceTime{400};

// Loans are renewed at this interval.
inline constexpr Millis kLoanInterval{500};

// Unused tokens are given back after this time.
inline constexpr Millis kLeaseTime{1000};

enum class TokenOutcomeKind {
  // The request may run.
  kGranted,
  // The outcome is not known yet.
  kWaiting,
  // 429 with `retry_after`: the account is above its allowance.
  kAboveAllowance,
  // 503 with `retry_after`: no counting instance answers and the own share has
  // no token, while the allowance may not be used up.
  kNoCountingInstance,
};

struct TokenOutcome {
  TokenOutcomeKind kind = TokenOutcomeKind::kGranted;
  // Set if the request waits or waited; otherwise 0.
  uint64_t ticket = 0;
  Millis retry_after{0};
  // For the log: the age of the lease, or of the refusal that was remembered;
  // 0 if the counting instance was asked for this request.
  Millis age{0};
};

// Tokens that were granted together.
struct TokenLease {
  double tokens = 0;
  Millis granted_at;
};

// A request that waits for a token.
struct WaitingToken {
  uint64_t ticket = 0;
  bool is_retry = false;
  Millis since;
  // The message that asks for its token; 0 if none.
  uint64_t asked_in = 0;
};

struct AccountLeases {
  std::vector<TokenLease> leases;
  // Unused tokens to give back to the counting instance with the next message,
  // and requests that it hasn't been told of.
  double returned = 0;
  double arrivals = 0;
  std::vector<WaitingToken> waiting;
  // Waiting requests are not asked for again before.
  Millis ask_at{-1e9};
  // Counting instances that have not answered for those that wait.
  int unanswered = 0;
  // Requests per second of this account here, as a decaying average.
  double demand_per_second = 0;
  Millis demand_at{-1e9};
  // Until then new requests are refused here. `next_place` is the time that the
  // next of them is told to return at.
  Millis refused_at{-1e9};
  Millis refuse_until{-1e9};
  Millis next_place{0};
  Millis refused_spacing{0};
  // Whether the account is in AllowanceLeases::active.
  bool is_active = false;
};

// One counting instance as this instance sees it.
struct CountingPeer {
  bool in_flight = false;
  uint64_t sequence = 0;
  Millis sent_at{-1e9};
  Millis next_message_at{-1e9};
  // When the first message was sent that has had no reply; -1 if there is none.
  // After kSilenceTime the peer isn't chosen any more.
  Millis silent_since{-1};
  // The clock reading of its last reply and when that reply came.
  ClockReading clock;
  Millis clock_at{-1e9};
  // When the loan to it ends at the latest.
  Millis loan_ends_at{-1e9};
  // The versions of the candidate lists in the last messages, by sequence, and
  // the newest version that it has confirmed.
  std::array<std::pair<uint64_t, uint64_t>, 16> sent_lists{};
  uint64_t confirmed_lists = 0;
};

struct LeaseContext {
  InstanceId own;
  DataCentreId data_centre;
  // Random for each process; not 0.
  uint64_t process = 0;
  uint64_t config_version = 0;
  // The number of instances that allowances are divided by, this one included;
  // 0 while this instance has no share: then nothing is lent.
  size_t instances = 0;
  // The counting candidates of the own data centre, see counting_instance.h.
  std::vector<InstanceId> candidates;
  // False: no account of the configuration has a limit, or allowances are
  // switched off. No messages are sent and every request is granted.
  bool enabled = false;
};

struct AllowanceLeases {
  LeaseContext context;
  std::unordered_map<ClientAccountId, AccountLeases> accounts;
  std::map<InstanceId, CountingPeer> peers;
  // The lists of candidates that loans are given by: the current one last,
  // before it those that an old loan may still follow.
  std::vector<std::vector<InstanceId>> candidate_lists;
  // Rises with each change of `candidate_lists` and of the share.
  uint64_t lists_version = 0;
  // The accounts with waiting requests, leases or tokens to give back.
  std::vector<ClientAccountId> active;
  // When accounts without recent requests were last removed.
  Millis swept_at{0};
  // Outcomes for the next AdvanceLeases.
  std::vector<TokenOutcome> outcomes;
  uint64_t next_ticket = 1;
  uint64_t next_sequence = 1;
};

void SetLeaseContext(AllowanceLeases* leases, LeaseContext context, Millis now);

// Whether no counting instance holds a loan of another share, or by other
// lists, than those of the present context.
bool AreLoansSettled(const AllowanceLeases& leases, Millis now);

// Takes a token for a request of the account. `is_retry`: the caller returns
// after a refusal. An account without a limit is always granted.
TokenOutcome RequestToken(AllowanceLeases* leases,
                          const ClientAccountId& account,
                          const AccountAllowance& allowance, bool is_retry,
                          Millis now);

// Ends the waiting of a request whose caller has gone.
void CancelToken(AllowanceLeases* leases, const ClientAccountId& account,
                 uint64_t ticket);

// Gives back the token of a request that was refused or did not run.
void ReturnToken(AllowanceLeases* leases, const ClientAccountId& account,
                 Millis now);

struct LeaseActions {
  std::vector<AllowanceMessage> messages;
  std::vector<TokenOutcome> outcomes;
  // When to call AdvanceLeases again at the latest.
  Millis next_at{kNever};
};
LeaseActions AdvanceLeases(AllowanceLeases* leases, Millis now);

// The reply to a message of AdvanceLeases. `sent`: that message. Call
// AdvanceLeases afterwards.
void HandleLeaseReply(AllowanceLeases* leases, const AllowanceMessage& sent,
                      const AllowanceReply& reply, Millis now);
void HandleLeaseFailure(AllowanceLeases* leases, const AllowanceMessage& sent,
                        Millis now);

// What operators see of one account at this instance.
struct LeaseStatus {
  ClientAccountId account;
  double tokens = 0;
  size_t waiting = 0;
  Millis refused_for{0};
};
std::vector<LeaseStatus> LeaseStatuses(const AllowanceLeases& leases,
                                       Millis now);

}  // namespace hibiscuspick::engine
