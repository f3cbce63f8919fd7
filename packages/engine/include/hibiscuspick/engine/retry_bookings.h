// Books places for the retries of refused requests in the capacity that is
// expected, so that callers told to retry do not all return at once.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

class RetryBookings {
 public:
  struct Wish {
    // Empty where callers have no accounts.
    std::string account;
    Millis now;
    // When capacity is expected, and until when the caller waits.
    Millis earliest;
    Millis latest;
    // Time between two requests that the expected capacity serves.
    Millis interval;
  };

  // Books the next place; nothing if there is none until `latest`. Places are
  // given in the order of the calls. Accounts take turns: one with several
  // places leaves those between to the others. A caller that does not wait for
  // its place loses it and delays no other.
  std::optional<Millis> Book(const Wish& wish);

  // The time from which capacity is free.
  Millis next_free() const { return next_free_; }

 private:
  void Prune(Millis now);

  Millis next_free_{0};
  // Free places before `next_free_`.
  std::set<Millis> spare_;
  // Each account's last place; only places in the future are kept.
  std::unordered_map<std::string, Millis> last_places_;
  uint64_t places_ = 0;
};

}  // namespace hibiscuspick::engine
