#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "api_fixture.h"

namespace hp = hibiscuspick;
using hp::Json;
using hp::operators::Instance;
using hp::platform::FakePlatform;
using hp::platform::PutFault;
using Announced = std::vector<std::string>;

namespace {

constexpr char kDrain[] = "/v1/drains/b1";

}  // namespace

BOOST_AUTO_TEST_CASE(a_drain_is_stored_and_announced_without_a_precondition) {
  FakePlatform platform;
  Instance instance(&platform);
  const auto reply = instance.Send("PUT", kDrain, {{"reason", "disk"}});
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(!reply.body.contains("spread"));
  BOOST_TEST(reply.body["warnings"].size() == 1);
  BOOST_TEST(instance.configuration()->drains.size() == 1);
  BOOST_TEST(instance.Send("PUT", kDrain, Json::object()).status == 200);
  BOOST_TEST(instance.Send("DELETE", kDrain).status == 200);
  BOOST_TEST(instance.configuration()->drains.empty());
  BOOST_TEST(instance.announced == (Announced{"+b1", "+b1", "-b1"}),
             boost::test_tools::per_element());
}

// A server fails while the platform is down too. The order to drain it must
// still reach all instances, and the reply must not claim that it is stored.
BOOST_AUTO_TEST_CASE(
    with_the_platform_down_a_drain_is_announced_but_not_stored) {
  FakePlatform platform;
  Instance instance(&platform);
  platform.failing_reads = -1;
  platform.put_faults = {PutFault::kDown, PutFault::kDown};
  const auto reply = instance.Send("PUT", kDrain, Json::object());
  BOOST_TEST(reply.status == 503);
  BOOST_TEST(reply.body["spread"] == true);
  BOOST_TEST(reply.body["stored"] == false);
  BOOST_TEST(instance.announced == Announced{"+b1"},
             boost::test_tools::per_element());
  // It can also be withdrawn, during the outage or after it.
  BOOST_TEST(instance.Send("DELETE", kDrain).status == 503);
  platform.failing_reads = 0;
  BOOST_TEST(instance.Send("DELETE", kDrain).status == 404);
  BOOST_TEST(instance.announced == (Announced{"+b1", "-b1", "-b1"}),
             boost::test_tools::per_element());
}

// A stored drain stays in force while it can't be deleted: announcing that the
// server accepts work would contradict the configuration.
BOOST_AUTO_TEST_CASE(a_stored_drain_is_not_withdrawn_without_the_platform) {
  FakePlatform platform;
  Instance instance(&platform);
  instance.Send("PUT", kDrain, Json::object());
  platform.put_faults = {PutFault::kDown};
  BOOST_TEST(instance.Send("DELETE", kDrain).status == 503);
  BOOST_TEST(instance.announced == Announced{"+b1"},
             boost::test_tools::per_element());
}

// Two operators drain one server through two instances. Neither has a version
// to name, and neither request may fail because of the other.
BOOST_AUTO_TEST_CASE(concurrent_drains_both_succeed) {
  FakePlatform platform;
  Instance ours(&platform);
  Instance theirs(&platform);
  BOOST_TEST(theirs.Send("PUT", kDrain, Json::object()).status == 200);
  BOOST_TEST(ours.Send("PUT", kDrain, Json::object()).status == 200);
  BOOST_TEST(theirs.Send("DELETE", kDrain).status == 200);
  BOOST_TEST(ours.Send("DELETE", kDrain).status == 404);
}

BOOST_AUTO_TEST_CASE(an_invalid_drain_is_not_announced) {
  FakePlatform platform;
  Instance instance(&platform);
  BOOST_TEST(instance.Send("PUT", kDrain, {{"until", 1}}).status == 422);
  BOOST_TEST(instance.announced.empty());
}
