#include "hibiscuspick/engine/refusal.h"

#include <spdlog/fmt/fmt.h>

namespace hibiscuspick::engine {
namespace {

constexpr double kMillisPerSecond = 1000;

// The time in which the load balancer can send a retry to another instance, and
// the time within which a start ends unless the store and all peers are down.
constexpr Millis kMinNotReady{50};
constexpr Millis kMaxNotReady{1000};

// Where another instance may serve the retry: the time in which the load
// balancer can send it there.
constexpr Millis kElsewhere{50};

// A data centre that is cut off cannot serve callers until the load balancer
// has moved them elsewhere, which takes two health checks one second apart.
// Callers told to return after 50 ms were refused again and gave up. An
// operator ends an evacuation, which takes seconds at least.
constexpr Millis kPartitionedRetryAfter{2000};

// Callers wait for a retry up to this share of their time left.
constexpr double kMaxWaitShare = 1.0 / 3;

// A place later than this share of the time to the target leaves too little for
// the queue that the retry still meets.
constexpr double kBookedTargetShare = 0.5;

// With a target of fewer service times, booked retries made new requests late
// in simulations of bursts.
constexpr double kMinTargetServices = 6;

// New requests use the expected capacity too: retries are given half of it.
constexpr double kRetryIntervals = 2;

Millis BookedRetryAfter(const RefusalInputs& it, RetryBookings* bookings) {
  const Millis to_target = it.target - it.now;
  const bool has_time = to_target >= it.service_time * kMinTargetServices;
  if (bookings == nullptr || !has_time || it.interval <= Millis(0)) {
    return it.capacity_in;
  }
  const Millis wait = Min(to_target * kBookedTargetShare,
                          (it.deadline - it.now) * kMaxWaitShare);
  const auto place =
      bookings->Book({it.account, it.now, it.now + it.capacity_in,
                      it.now + wait, it.interval * kRetryIntervals});
  return place ? *place - it.now : it.capacity_in;
}

}  // namespace

bool PromisesNotRun(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

Millis RetryAfterNotReady(Millis listening_for) {
  return Min(Max(listening_for, kMinNotReady), kMaxNotReady);
}

Millis DecideRetryAfter(const RefusalInputs& it, RetryBookings* bookings) {
  switch (it.cause) {
    case RefusalCause::kQueues:
    case RefusalCause::kShed:
      return BookedRetryAfter(it, bookings);
    case RefusalCause::kAllowance:
    case RefusalCause::kNoServer:
      return it.capacity_in;
    case RefusalCause::kPartitioned:
      return kPartitionedRetryAfter;
    case RefusalCause::kNoRoom:
    case RefusalCause::kStopping:
      return kElsewhere;
  }
  return kElsewhere;
}

std::string InSeconds(Millis it) {
  return fmt::format("{:.3f}", it.count / kMillisPerSecond);
}

}  // namespace hibiscuspick::engine
