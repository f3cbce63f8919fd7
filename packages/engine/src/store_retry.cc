#include "hibiscuspick/engine/store_retry.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kInitialRetryDelay{100};
constexpr Millis kMaxUnreachableDelay{400};
constexpr Millis kMaxRefusedDelay{1000};
constexpr double kMaxJitter = 1.5;
constexpr int kMaxDoublings = 8;

}  // namespace

Millis RetryDelay(StoreFailure failure, int failures, double jitter) {
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  const Millis longest = failure == StoreFailure::kRefused
                             ? kMaxRefusedDelay
                             : kMaxUnreachableDelay;
  return Min(kInitialRetryDelay * std::exp2(doublings), longest) * jitter;
}

Millis MaxRecoveryTime() {
  const Millis silent =
      Max(kFirstWatchWait + kWatchTimeoutMargin, kListTimeout);
  const Millis hang = Max(silent, kTransferStallTimeout * 2);
  const Millis unreachable =
      Max(hang, kStoreConnectTimeout) + kMaxUnreachableDelay * kMaxJitter;
  return Max(unreachable, kMaxRefusedDelay * kMaxJitter);
}

}  // namespace hibiscuspick::engine
