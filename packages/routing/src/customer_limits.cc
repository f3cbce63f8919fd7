#include "hibiscuspick/routing/customer_limits.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::routing {
namespace {

// Minimum interval between sweeps of a full table. Without it, each new name in
// a flood would cost a sweep.
constexpr Millis kSweepInterval{1000};

// The overflow entry. No customer can have this name, since names in requests
// are printable.
constexpr char kOverflowName[] = "\x01overflow";

constexpr Millis kDefaultRetryAfter{1000};

double BurstOf(const CustomerRules& rules) {
  return std::max(1.0, rules.burst);
}

void Refill(CustomerUsage* usage, const CustomerRules& rules, Millis now) {
  const double earned =
      (now - usage->refilled_at).count / 1000 * rules.requests_per_second;
  usage->tokens =
      std::min(BurstOf(rules), usage->tokens + std::max(0.0, earned));
  usage->refilled_at = now;
}

// Evicts customers that have been idle long enough to have a full bucket. The
// time is computed with the rules of the current customer; if another one's
// rules differ, it gains at most one burst.
void Sweep(CustomerLimits* limits, const CustomerRules& rules, Millis now) {
  if (limits->last_sweep.count > 0 &&
      now - limits->last_sweep < kSweepInterval) {
    return;
  }
  limits->last_sweep = now;
  const double rate = std::max(rules.requests_per_second, 0.001);
  const Millis idle_time{BurstOf(rules) / rate * 1000};
  std::erase_if(limits->customers, [&](const auto& it) {
    return it.second.running == 0 && now - it.second.refilled_at >= idle_time;
  });
}

CustomerUsage* UsageOf(CustomerLimits* limits, CustomerId* entry,
                       const CustomerRules& rules, Millis now) {
  const auto it = limits->customers.find(*entry);
  if (it != limits->customers.end()) return &it->second;
  if (limits->customers.size() >= limits->max_customers) {
    Sweep(limits, rules, now);
  }
  if (limits->customers.size() >= limits->max_customers) {
    *entry = CustomerId(kOverflowName);
  }
  const auto [inserted, added] = limits->customers.try_emplace(*entry);
  if (added) inserted->second = CustomerUsage{BurstOf(rules), now, 0};
  return &inserted->second;
}

}  // namespace

Admission Admit(CustomerLimits* limits, const CustomerId& customer,
                const CustomerRules& rules, Millis now) {
  Admission admission{false, customer, Millis(0)};
  CustomerUsage* usage = UsageOf(limits, &admission.entry, rules, now);
  if (usage->running >= rules.concurrency || rules.requests_per_second <= 0) {
    admission.retry_after = kDefaultRetryAfter;
    return admission;
  }
  if (std::isfinite(rules.requests_per_second)) {
    Refill(usage, rules, now);
    if (usage->tokens < 1) {
      const double missing = 1 - usage->tokens;
      admission.retry_after =
          Millis(missing / rules.requests_per_second * 1000);
      return admission;
    }
    usage->tokens -= 1;
  }
  ++usage->running;
  admission.admitted = true;
  return admission;
}

void Release(CustomerLimits* limits, const CustomerId& entry) {
  const auto it = limits->customers.find(entry);
  if (it != limits->customers.end() && it->second.running > 0) {
    --it->second.running;
  }
}

}  // namespace hibiscuspick::routing
