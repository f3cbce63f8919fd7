#include "hibiscuspick/routing/customer_limits.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::routing {
namespace {

// Minimum interval between sweeps of a full table. Without it, each new name in
// a flood would cost a sweep.
constexpr Millis kSweepEvery{1000};

// The overflow entry. No customer can have this name, since names in requests
// are printable.
constexpr char kOverflowName[] = "\x01overflow";

constexpr Millis kRetrySoon{1000};

double BurstOf(const CustomerRules& rules) {
  return std::max(1.0, rules.burst);
}

void Fill(CustomerUse* use, const CustomerRules& rules, Millis now) {
  const double earned =
      (now - use->filled).count / 1000 * rules.requests_per_second;
  use->tokens = std::min(BurstOf(rules), use->tokens + std::max(0.0, earned));
  use->filled = now;
}

// Evicts customers that have been idle long enough to have a full bucket. The
// time is computed with the rules of the current customer; if another one's
// rules differ, it gains at most one burst.
void Sweep(CustomerLimits* limits, const CustomerRules& rules, Millis now) {
  if (limits->swept.count > 0 && now - limits->swept < kSweepEvery) return;
  limits->swept = now;
  const double rate = std::max(rules.requests_per_second, 0.001);
  const Millis quiet{BurstOf(rules) / rate * 1000};
  std::erase_if(limits->uses, [&](const auto& it) {
    return it.second.running == 0 && now - it.second.filled >= quiet;
  });
}

CustomerUse* UseOf(CustomerLimits* limits, CustomerId* entry,
                   const CustomerRules& rules, Millis now) {
  const auto it = limits->uses.find(*entry);
  if (it != limits->uses.end()) return &it->second;
  if (limits->uses.size() >= limits->max_customers) Sweep(limits, rules, now);
  if (limits->uses.size() >= limits->max_customers) {
    *entry = CustomerId(kOverflowName);
  }
  const auto [place, added] = limits->uses.try_emplace(*entry);
  if (added) place->second = CustomerUse{BurstOf(rules), now, 0};
  return &place->second;
}

}  // namespace

Admission Admit(CustomerLimits* limits, const CustomerId& customer,
                const CustomerRules& rules, Millis now) {
  Admission admission{false, customer, Millis(0)};
  CustomerUse* use = UseOf(limits, &admission.entry, rules, now);
  if (use->running >= rules.concurrency || rules.requests_per_second <= 0) {
    admission.retry_after = kRetrySoon;
    return admission;
  }
  if (std::isfinite(rules.requests_per_second)) {
    Fill(use, rules, now);
    if (use->tokens < 1) {
      const double missing = 1 - use->tokens;
      admission.retry_after =
          Millis(missing / rules.requests_per_second * 1000);
      return admission;
    }
    use->tokens -= 1;
  }
  ++use->running;
  admission.admitted = true;
  return admission;
}

void Release(CustomerLimits* limits, const CustomerId& entry) {
  const auto it = limits->uses.find(entry);
  if (it != limits->uses.end() && it->second.running > 0) --it->second.running;
}

}  // namespace hibiscuspick::routing
