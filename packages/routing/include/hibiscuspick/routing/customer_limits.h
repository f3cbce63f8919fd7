// Rate and concurrency limits per customer on this instance. No I/O or locks:
// the caller synchronizes access.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::routing {

// Limits of one customer. A rate or concurrency of 0 admits no request; the
// defaults admit all.
struct CustomerRules {
  double requests_per_second = std::numeric_limits<double>::infinity();
  // Capacity of the token bucket, in requests; at least one.
  double burst = 1;
  uint32_t concurrency = std::numeric_limits<uint32_t>::max();
};

struct CustomerUsage {
  double tokens = 0;
  Millis refilled_at;
  uint32_t running = 0;
};

// Customer names come from a request header, so the table is bounded. When it
// is full, idle customers with a full bucket are evicted, which loses no state;
// if it is still full, further customers share one overflow entry.
struct CustomerLimits {
  size_t max_customers = 10000;
  std::unordered_map<CustomerId, CustomerUsage> customers;
  Millis last_sweep;
};

// Admits a request, which must be paired with Release, or returns the time
// after which a retry may be admitted.
struct Admission {
  bool admitted = false;
  // The entry to release: the customer, or the overflow entry.
  CustomerId entry;
  Millis retry_after;
};
Admission Admit(CustomerLimits* limits, const CustomerId& customer,
                const CustomerRules& rules, Millis now);

void Release(CustomerLimits* limits, const CustomerId& entry);

}  // namespace hibiscuspick::routing
