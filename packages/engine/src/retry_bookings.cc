#include "hibiscuspick/engine/retry_bookings.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// With accounts, every this many places one stays free for an account that is
// refused later and has none yet. Otherwise it would wait behind all places of
// an account above its share.
constexpr uint64_t kSparePlaceEvery = 4;

// Bounds of the memory for spare places and accounts: places are booked at most
// some seconds ahead.
constexpr size_t kMaxSparePlaces = 256;
constexpr size_t kMaxAccounts = 1024;

}  // namespace

std::optional<Millis> RetryBookings::Book(const Wish& wish) {
  Prune(wish.now);
  Millis from = Max(wish.earliest, wish.now);
  const auto known = last_places_.find(wish.account);
  const bool has_place = known != last_places_.end();
  const size_t accounts = last_places_.size() + (has_place ? 0 : 1);
  if (has_place) {
    const auto turn = wish.interval * static_cast<double>(accounts);
    from = Max(from, known->second + turn);
  }
  const Millis at_end = Max(from, next_free_);
  const auto spare = spare_.lower_bound(from);
  // A lone account leaves them to those that come later.
  const bool may_use_spare = !has_place || accounts > 1;
  const bool uses_spare =
      may_use_spare && spare != spare_.end() && *spare < at_end;
  const Millis place = uses_spare ? *spare : at_end;
  if (place > wish.latest) return std::nullopt;
  if (uses_spare) {
    spare_.erase(spare);
  } else {
    for (Millis it = Max(next_free_, wish.earliest);
         it + wish.interval <= place && spare_.size() < kMaxSparePlaces &&
         wish.interval > Millis(0);
         it += wish.interval) {
      spare_.insert(it);
    }
    next_free_ = place + wish.interval;
    if (!wish.account.empty() && ++places_ % kSparePlaceEvery == 0) {
      spare_.insert(next_free_);
      next_free_ += wish.interval;
    }
  }
  if (last_places_.size() < kMaxAccounts || has_place) {
    last_places_[wish.account] = place;
  }
  return place;
}

void RetryBookings::Prune(Millis now) {
  spare_.erase(spare_.begin(), spare_.lower_bound(now));
  std::erase_if(last_places_, [now](auto& it) { return it.second <= now; });
}

}  // namespace hibiscuspick::engine
