#include "hibiscuspick/engine/store_retry.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kFirstRetry{100};
constexpr Millis kLongestUnreachable{400};
constexpr Millis kLongestRefused{1000};
constexpr double kMostSpread = 1.5;
constexpr int kMostDoublings = 8;

}  // namespace

Millis RetryPause(StoreFailure what, int failures, double spread) {
  const int doublings = std::clamp(failures - 1, 0, kMostDoublings);
  const Millis longest =
      what == StoreFailure::kRefused ? kLongestRefused : kLongestUnreachable;
  return Min(kFirstRetry * std::exp2(doublings), longest) * spread;
}

Millis LongestReturn() {
  const Millis hang = Max(kFirstWatch + kWatchSlack, kListTimeout);
  const Millis unreachable =
      Max(hang, kStoreConnect) + kLongestUnreachable * kMostSpread;
  return Max(unreachable, kLongestRefused * kMostSpread);
}

}  // namespace hibiscuspick::engine
