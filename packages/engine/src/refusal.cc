#include "hibiscuspick/engine/refusal.h"

#include <spdlog/fmt/fmt.h>

namespace hibiscuspick::engine {
namespace {

constexpr double kMillisPerSecond = 1000;

// The time in which the load balancer can send a retry to another instance, and
// the time within which a start ends unless the store and all peers are down.
constexpr Millis kMinNotReady{50};
constexpr Millis kMaxNotReady{1000};

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

std::string InSeconds(Millis it) {
  return fmt::format("{:.3f}", it.count / kMillisPerSecond);
}

}  // namespace hibiscuspick::engine
