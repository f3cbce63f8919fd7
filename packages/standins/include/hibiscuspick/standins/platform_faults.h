// What the platform stand-in does wrong on demand, and its count of calls.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::standins {

// In an outage a call is refused with 503, or gets no answer until it ends.
enum class Outage { kNone, kRefused, kSilent };

enum class PlatformCall { kGet, kList, kWatch, kPut, kInstances };

inline constexpr size_t kCallKinds = 5;
inline constexpr std::array<std::string_view, kCallKinds> kCallNames = {
    "get", "list", "watch", "put", "instances"};

struct PlatformFaults {
  Outage outage = Outage::kNone;
  // Added to each call before it takes effect.
  Millis delay;
  // PUTs still to come that take effect and are not answered.
  uint64_t lose_put_replies = 0;
  // Calls per second that are taken, 0 for no limit; beyond it 503.
  uint64_t max_reads_per_second = 0;
  uint64_t max_writes_per_second = 0;
};

// Calls since the start, and within the current second for the limits.
struct CallCounts {
  std::array<uint64_t, kCallKinds> by_kind{};
  uint64_t conflicts = 0;
  uint64_t refused = 0;
  uint64_t lost_replies = 0;
  int64_t second = -1;
  uint64_t reads_in_second = 0;
  uint64_t writes_in_second = 0;
};

// Counts a call; false if it is over the rate of its second.
bool CountCall(CallCounts& counts, const PlatformFaults& faults,
               PlatformCall call, Millis now);

// Whether the reply of the PUT that has just taken effect is to be lost.
bool TakeLostReply(PlatformFaults& faults, CallCounts& counts);

}  // namespace hibiscuspick::standins
