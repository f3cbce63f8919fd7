#include "hibiscuspick/engine/retry_bookings.h"

#include <boost/test/unit_test.hpp>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kNow{1000};
constexpr Millis kInterval{10};

RetryBookings::Wish WishOf(const std::string& account, Millis latest) {
  return {account, kNow, kNow + Millis(50), latest, kInterval};
}

// Failure: all callers refused in a burst return in one burst, or the last
// before the first.
BOOST_AUTO_TEST_CASE(RetriesAreSpreadInOrder) {
  RetryBookings bookings;
  for (int i = 0; i < 20; ++i) {
    const auto place = bookings.Book(WishOf("", kNow + Millis(240)));
    BOOST_TEST(place.has_value());
    BOOST_TEST(place->count == 1050 + 10 * i);
  }
  // There is no capacity within the time that the caller waits.
  BOOST_TEST(!bookings.Book(WishOf("", kNow + Millis(240))).has_value());
  BOOST_TEST(bookings.next_free().count == 1250);
}

// Failure: an account that had many requests refused takes all places, and
// another one's request is told to retry after them.
BOOST_AUTO_TEST_CASE(AccountsTakeTurns) {
  RetryBookings bookings;
  const Millis latest = kNow + Millis(5000);
  for (int i = 0; i < 40; ++i) (void)bookings.Book(WishOf("large", latest));
  const auto first = bookings.Book(WishOf("small", latest));
  BOOST_TEST(first->count <= 1050 + 4 * kInterval.count);
  // From then on the large account takes every other place.
  const auto large = bookings.Book(WishOf("large", latest));
  const auto next = bookings.Book(WishOf("large", latest));
  BOOST_TEST((*next - *large).count >= 2 * kInterval.count);
  const auto second = bookings.Book(WishOf("small", latest));
  BOOST_TEST((*second > *first));
  BOOST_TEST((*second < *large));
}

}  // namespace
}  // namespace hibiscuspick::engine
