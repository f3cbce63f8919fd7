#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "traffic_fixture.h"

namespace hibiscuspick::edge {
namespace {

RawServer::Script Replies(const std::string& body) {
  return [body](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "stamp-1", body)};
  };
}

// Failure: all instances restart together, and callers reach the first one some
// milliseconds before it has its configuration. If refused, each caller has
// used up its only retry.
BOOST_AUTO_TEST_CASE(RequestsBeforeConfigurationAreServed) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.split = {{ServiceId("s"), 1}};
  auto& server = fixture.AddServer("s", Replies("served"));
  auto answer_future = std::async(
      std::launch::async, [&] { return fixture.SendRequest("GET /p/x"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  fixture.Publish();
  const auto answer = answer_future.get();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST_REQUIRE(server.requests().size() == 1);
  // The time the request was held is deducted from its deadline.
  BOOST_TEST(std::stoi(HeaderValue(server.requests()[0], "Q-Deadline")) < 1960);
}

// Failure: the store is unreachable at the start, and requests are held until
// their callers give up. After the holding time they are refused immediately.
BOOST_AUTO_TEST_CASE(LaterRequestsAreRefusedImmediately) {
  TrafficFixture fixture;
  BOOST_TEST(fixture.SendRequest("GET /p/x").starts_with("HTTP/1.1 503 "));
  const Millis began = SteadyNow();
  BOOST_TEST(fixture.SendRequest("GET /p/x").starts_with("HTTP/1.1 503 "));
  BOOST_TEST((SteadyNow() - began < Millis(200)));
}

// A caller disconnects while its request is held: the request reaches no
// server.
BOOST_AUTO_TEST_CASE(HeldRequestsOfDisconnectedCallersAreDropped) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.split = {{ServiceId("s"), 1}};
  auto& server = fixture.AddServer("s", Replies("served"));
  RawClient client(fixture.port());
  client.Send(TrafficFixture::RequestText("GET /p/x"));
  std::this_thread::sleep_for(std::chrono::milliseconds(40));
  client.Close();
  std::this_thread::sleep_for(std::chrono::milliseconds(40));
  fixture.Publish();
  BOOST_TEST(fixture.SendRequest("GET /p/y").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(server.requests().size() == 1);
}

}  // namespace
}  // namespace hibiscuspick::edge
