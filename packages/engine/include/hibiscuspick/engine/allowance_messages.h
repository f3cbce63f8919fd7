// What instances tell each other about the allowances of client accounts: an
// instance lends its share to a counting instance and asks it for tokens, each
// of which lets one request run; counting instances of different data centres
// pass tokens to each other. See docs/design/hard-load.md, part 2.
#pragma once

#include <cstdint>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// The bound on the requests of an account that run within any window:
// (rate x window + burst) x (1 + overage) + slack. From the settings; a window
// of 0 means that allowances are not enforced.
struct AllowanceBounds {
  Millis window{0};
  double overage = 0;
  double slack = 0;
  auto operator<=>(const AllowanceBounds&) const = default;
};

// A reading of a counting instance's steady clock. A lender returns the last
// one that it got, and the loan ends a fixed time after that reading. A loan
// therefore can't be renewed by a message that was delayed, and no two clocks
// are compared. A process that restarts has another `process`, so that readings
// of its previous run renew nothing.
struct ClockReading {
  uint64_t process = 0;
  Millis at{0};
  auto operator<=>(const ClockReading&) const = default;
};

// The loan of an instance's share of every account for which all of the lists
// choose the receiver (ChooseCountingInstance). Normally there is one list;
// while the lender changes its choice there are also the lists that it used
// before, so that no account's share is lent to two instances. No lists:
// nothing is lent.
struct ShareLoan {
  // The receiver's reading in the last reply from it; `process` 0 if none.
  ClockReading echo;
  // The number of instances in the lender's list of instances.
  uint32_t instances = 0;
  std::vector<std::vector<InstanceId>> candidate_lists;
};

// Asks for tokens of one account.
struct TokenRequest {
  ClientAccountId account;
  // Has fractions between counting instances only.
  double wanted = 0;
  // How many of the wanted ones are for callers that return after a refusal.
  double for_retries = 0;
  // How many of the wanted ones are asked for ahead of demand. They are neither
  // refused nor given a place.
  double ahead = 0;
  // Unused tokens that are given back.
  double returned = 0;
  // Requests of the account that have arrived since the last message, those
  // that the sender refused by itself included.
  double arrivals = 0;
};

// The tokens of one account. If fewer than wanted: when the first of the
// requests without a token should return, and how much later each further one.
struct TokenGrant {
  ClientAccountId account;
  double tokens = 0;
  // If positive, the requests without a token are not refused yet, since tokens
  // may be on the way from other data centres: ask again after this time.
  Millis ask_again{0};
  // Positive if any is refused.
  Millis retry_after{0};
  Millis retry_spacing{0};
  // For so long no new request of the account gets a token; retries may. The
  // receiver refuses new ones by itself, and tells each to return later than
  // the one before by this spacing.
  Millis refuse_for{0};
  Millis refused_spacing{0};
};

enum class AllowanceMessageKind {
  // From an instance that runs requests.
  kLease,
  // From a counting instance of another data centre.
  kExchange,
};

// A message to a counting instance. One of kind kLease from an instance of its
// own data centre also renews the loan of that instance's share.
struct AllowanceRequest {
  AllowanceMessageKind kind = AllowanceMessageKind::kLease;
  InstanceId from;
  DataCentreId data_centre;
  // Random for each process of the sender.
  uint64_t process = 0;
  // Rises with each message from one process to one counting instance.
  uint64_t sequence = 0;
  uint64_t config_version = 0;
  ShareLoan loan;
  std::vector<TokenRequest> accounts;
};

struct AllowanceReply {
  // Of the instance that answers.
  ClockReading clock;
  std::vector<TokenGrant> accounts;
};

// A message to send. If `to` is the own instance, it is handed to the own
// pools without the network.
struct AllowanceMessage {
  InstanceId to;
  AllowanceRequest request;
};

}  // namespace hibiscuspick::engine
