#include "hibiscuspick/engine/refusal.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

RefusalInputs InputsOf(RefusalCause cause) {
  return {.cause = cause,
          .account = "",
          .now = Millis(1000),
          .target = Millis(1800),
          .deadline = Millis(2500),
          .capacity_in = Millis(120),
          .service_time = Millis(90),
          .interval = Millis(10)};
}

struct CauseRow {
  const char* name;
  RefusalCause cause;
  double first;
  double second;
};

std::ostream& operator<<(std::ostream& out, const CauseRow& row) {
  return out << row.name;
}

const CauseRow kCauses[] = {
    {"queues", RefusalCause::kQueues, 120, 140},
    {"shed", RefusalCause::kShed, 120, 140},
    {"allowance", RefusalCause::kAllowance, 120, 120},
    {"no server", RefusalCause::kNoServer, 120, 120},
    {"partitioned", RefusalCause::kPartitioned, 2000, 2000},
    {"no room", RefusalCause::kNoRoom, 50, 50},
    {"stopping", RefusalCause::kStopping, 50, 50},
};

// Failure: two callers refused at once return at once, or a caller returns
// before there is a chance that it is served.
BOOST_DATA_TEST_CASE(RetryAfterDependsOnCause, bdata::make(kCauses), row) {
  RetryBookings bookings;
  const auto inputs = InputsOf(row.cause);
  BOOST_TEST(DecideRetryAfter(inputs, &bookings).count == row.first);
  BOOST_TEST(DecideRetryAfter(inputs, &bookings).count == row.second);
  // Without bookings all get the same.
  const Millis unbooked = DecideRetryAfter(inputs, nullptr);
  BOOST_TEST(unbooked.count == row.first);
}

// Failure: a retry takes a place at which it can't meet its target, or for
// which its caller doesn't wait, from one that could use it.
BOOST_AUTO_TEST_CASE(UselessPlacesAreNotBooked) {
  RetryBookings bookings;
  auto inputs = InputsOf(RefusalCause::kQueues);
  inputs.deadline = Millis(1300);
  BOOST_TEST(DecideRetryAfter(inputs, &bookings).count == 120);
  inputs = InputsOf(RefusalCause::kQueues);
  inputs.target = Millis(1200);
  BOOST_TEST(DecideRetryAfter(inputs, &bookings).count == 120);
  BOOST_TEST(bookings.next_free().count == 0);
}

// Failure: after a power loss all instances promise to be ready in 50 ms, and
// the callers' only retry is refused too.
BOOST_AUTO_TEST_CASE(RetryAfterGrowsWhileNotReady) {
  BOOST_TEST(RetryAfterNotReady(Millis(0)).count == 50);
  BOOST_TEST(RetryAfterNotReady(Millis(400)).count == 400);
  BOOST_TEST(RetryAfterNotReady(Millis(60000)).count == 1000);
  BOOST_TEST(InSeconds(Millis(400)) == "0.400");
}

}  // namespace
}  // namespace hibiscuspick::engine
