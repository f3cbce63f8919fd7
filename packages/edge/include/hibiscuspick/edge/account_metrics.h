// Metrics of client accounts as Prometheus text: the accounts with the highest
// load by name, all others as one.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::edge {

// What happened to a request of an account.
enum class AccountEvent {
  // It took a token, or its account has no limit.
  kAdmitted,
  // It was refused since the account's allowance is used up.
  kAboveAllowance,
  // It was refused since no counting instance answered.
  kAllowanceUnknown,
  // It was refused after admission and has not run.
  kNoCapacity,
  // Its answer came after the route's target.
  kLate,
};
inline constexpr size_t kAccountEventCount =
    static_cast<size_t>(AccountEvent::kLate) + 1;

class AccountMetrics {
 public:
  using TokensHeld = std::function<double(const ClientAccountId&)>;

  // Counts an event of a configured account.
  void Count(const ClientAccountId& account, AccountEvent event, Millis now);

  // The text; `tokens_held` returns the tokens in an account's lease.
  std::string Text(const TokensHeld& tokens_held) const;

 private:
  using EventCounts = std::array<uint64_t, kAccountEventCount>;
  struct Account {
    // Requests, with weights that decay by half in each ranking interval.
    double load = 0;
    bool is_named = false;
    // Events while it was named; a counter must not decrease, so that events
    // from before are not moved here from the others' counts.
    EventCounts counts{};
  };
  void Rank(Millis now);

  std::unordered_map<ClientAccountId, Account> accounts_;
  EventCounts other_counts_{};
  size_t named_count_ = 0;
  Millis ranked_at_{0};
};

}  // namespace hibiscuspick::edge
