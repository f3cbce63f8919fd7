// What instances tell each other about the allowances of client accounts: an
// instance lends its share to a counting instance and asks it for tokens, each
// of which lets one request run. See docs/design/hard-load.md, part 2.
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
};

// Asks for tokens of one account.
struct TokenRequest {
  ClientAccountId account;
  double wanted = 0;
  // How many of the wanted ones are for callers that return after a refusal.
  double for_retries = 0;
  // Unused tokens that are given back.
  double returned = 0;
};

// The tokens of one account. If fewer than wanted: when the first of the
// requests without a token should return, and how much later each further one.
struct TokenGrant {
  ClientAccountId account;
  double tokens = 0;
  Millis retry_after{0};
  Millis retry_spacing{0};
};

// A message to a counting instance. From an instance of its own data centre it
// also renews the loan of that instance's share.
struct AllowanceRequest {
  InstanceId from;
  DataCentreId data_centre;
  uint64_t config_version = 0;
  std::vector<TokenRequest> accounts;
};

struct AllowanceReply {
  std::vector<TokenGrant> accounts;
};

}  // namespace hibiscuspick::engine
