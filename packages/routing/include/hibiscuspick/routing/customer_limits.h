// How much of this instance one customer may use: a rate and a number of
// requests at once. Pure; the shell holds the lock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::routing {

// Of one customer; 0 of either lets none in. Without values, no limit.
struct CustomerRules {
  double requests_per_second = std::numeric_limits<double>::infinity();
  // Requests that may come at once after a quiet time; at least one may.
  double burst = 1;
  uint32_t concurrency = std::numeric_limits<uint32_t>::max();
};

struct CustomerUse {
  double tokens = 0;
  Millis filled;
  uint32_t running = 0;
};

// Names come from a header that anyone can fill, so their number is bounded:
// customers with nothing running and a full bucket are forgotten, which loses
// nothing, and when the table is still full all further names share one entry.
struct CustomerLimits {
  size_t max_customers = 10000;
  std::unordered_map<CustomerId, CustomerUse> uses;
  Millis swept;
};

// Admits a request, to be paired with Release, or gives the time after which a
// retry may be admitted.
struct Admission {
  bool admitted = false;
  // The entry to release: the customer, or the shared one.
  CustomerId entry;
  Millis retry_after;
};
Admission Admit(CustomerLimits* limits, const CustomerId& customer,
                const CustomerRules& rules, Millis now);

void Release(CustomerLimits* limits, const CustomerId& entry);

}  // namespace hibiscuspick::routing
