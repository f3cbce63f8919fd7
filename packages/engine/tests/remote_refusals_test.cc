#include "hibiscuspick/engine/remote_refusals.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace hibiscuspick::engine {
namespace {

TokenGrant Refusal(Millis retry_after, Millis refuse_for, Millis spacing) {
  TokenGrant grant;
  grant.account = ClientAccountId("a");
  grant.retry_after = retry_after;
  grant.refuse_for = refuse_for;
  grant.refused_spacing = spacing;
  return grant;
}

// Failure: callers who were refused at different instances, or one after the
// other, were told to return at the same time.
BOOST_AUTO_TEST_CASE(EachRefusedCallerGetsAnotherPlace) {
  const auto report = Refusal(Millis(100), Millis(50), Millis(40));
  std::vector<double> places;
  for (size_t rank = 0; rank < 4; ++rank) {
    RemoteRefusals refusals;
    RecordRemoteRefusal(&refusals, report, {4, rank}, Millis(0));
    // A second report of the same refusal doesn't start the places again.
    const auto first = RefuseEarly(&refusals, report.account, Millis(10));
    RecordRemoteRefusal(&refusals, report, {4, rank}, Millis(10));
    const auto second = RefuseEarly(&refusals, report.account, Millis(10));
    BOOST_TEST_REQUIRE((first && second));
    BOOST_TEST(first->age.count == 10);
    places.push_back(first->retry_after.count);
    places.push_back(second->retry_after.count);
  }
  std::sort(places.begin(), places.end());
  for (size_t i = 0; i < places.size(); ++i) {
    BOOST_TEST(places[i] == 90 + 10 * static_cast<double>(i));
  }
}

// Failure: an account was refused after the reported time, or another one.
BOOST_AUTO_TEST_CASE(RefusalEndsAtItsTime) {
  RemoteRefusals refusals;
  const auto report = Refusal(Millis(10), Millis(50), Millis(1));
  RecordRemoteRefusal(&refusals, report, {1, 0}, Millis(0));
  BOOST_TEST(!RefuseEarly(&refusals, ClientAccountId("b"), Millis(1)));
  const auto refused = RefuseEarly(&refusals, report.account, Millis(49));
  BOOST_TEST_REQUIRE(refused.has_value());
  // Before that time there is no token.
  BOOST_TEST(refused->retry_after.count == 1);
  BOOST_TEST(!RefuseEarly(&refusals, report.account, Millis(50)));
}

}  // namespace
}  // namespace hibiscuspick::engine
