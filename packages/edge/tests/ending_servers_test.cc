// Requests under which servers end, and others that are affected by it.
#include <boost/test/unit_test.hpp>

#include "ending_servers_fixture.h"

namespace hibiscuspick::edge {
namespace {

// The number of servers that may end under a request before it is sent to no
// further one.
constexpr size_t kMaxEnds = 3;

constexpr const char* kFatalPlain = "GET /p/fatal";
constexpr const char* kFatalFanOut = "GET /g/fatal";

bool IsServed(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 200 ");
}

// Failure: each attempt of a request ends a server, up to the route's limit.
BOOST_AUTO_TEST_CASE(PlainRequestIsStoppedAfterThreeServers) {
  EndingServers servers({.attempts = 6});
  const auto answer = servers.Send(0, kFatalPlain);
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(servers.AttemptCount(kFatal) <= kMaxEnds);
}

// Failure: the parts of a fan-out that ends servers are sent to further ones.
BOOST_AUTO_TEST_CASE(FanOutIsNotRepeatedAfterItsServersEnded) {
  const EndingServersOptions options;
  EndingServers servers(options);
  const auto answer = servers.Send(0, kFatalFanOut);
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(servers.AttemptCount(kFatal) <= options.shards);
}

// Failure: a caller's retries with new ids each end further servers.
BOOST_AUTO_TEST_CASE(RetriesOfPlainRequestAreRecognised) {
  EndingServers servers({.instances = 3, .attempts = 2});
  servers.JoinInstances();
  for (size_t i = 0; i < 5; ++i) {
    servers.Send(i % 3, kFatalPlain);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  BOOST_TEST(servers.AttemptCount(kFatal) <= kMaxEnds);
  BOOST_TEST(IsServed(servers.Send(0, "GET /p/x")));
}

// Failure: as above, for the parts of a fan-out.
BOOST_AUTO_TEST_CASE(RetriesOfFanOutAreRecognised) {
  const EndingServersOptions options{.instances = 3};
  EndingServers servers(options);
  servers.JoinInstances();
  for (size_t i = 0; i < 4; ++i) {
    servers.Send(i % 3, kFatalFanOut);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  BOOST_TEST(servers.AttemptCount(kFatal) <= options.shards);
  BOOST_TEST(IsServed(servers.Send(0, "GET /g/x")));
}

}  // namespace
}  // namespace hibiscuspick::edge
