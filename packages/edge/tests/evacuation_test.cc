#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "traffic_fixture.h"

namespace hibiscuspick::edge {
namespace {

RawServer::Script Replies() {
  return [](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "stamp", "here")};
  };
}

RawServer::Script NeverReplies() {
  return [](const std::string&) {
    return ScriptedReply{.text = "", .silent = true};
  };
}

// A plain route to one service with one server in `local` and one in `remote`.
class EvacuationFixture : public TrafficFixture {
 public:
  EvacuationFixture(const RawServer::Script& local,
                    const RawServer::Script& remote) {
    auto& route = AddRoute("/p/");
    route.split = {{ServiceId("s"), 1}};
    route.idempotency = engine::Idempotency::kIdempotent;
    AddServer("s", local);
    AddServer("s", remote);
    entries()[1].data_centre = DataCentreId("there");
    Publish();
  }
  void Evacuate(const std::set<DataCentreId>& data_centres) {
    OnLoop([&] { server().SetEvacuated(data_centres); });
  }
  size_t RequestsAt(size_t i) { return servers()[i]->requests().size(); }
};

const DataCentreId kLocal("dc");
const DataCentreId kRemote("there");

// Failure: servers of an evacuated data centre still get requests, or get none
// after the evacuation has ended.
BOOST_AUTO_TEST_CASE(EvacuatedServersGetNoRequests) {
  EvacuationFixture pair(Replies(), Replies());
  pair.SendRequest("GET /p/x");
  BOOST_TEST(pair.RequestsAt(0) == 1);
  pair.Evacuate({kLocal});
  for (int n = 0; n < 10; ++n) {
    BOOST_TEST(pair.SendRequest("GET /p/x").starts_with("HTTP/1.1 200 "));
  }
  BOOST_TEST(pair.RequestsAt(0) == 1);
  BOOST_TEST(pair.RequestsAt(1) == 10);
  pair.Evacuate({kRemote});
  BOOST_TEST(pair.SendRequest("GET /p/x").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(pair.RequestsAt(0) == 2);
  pair.Evacuate({});
  BOOST_TEST(pair.SendRequest("GET /p/x").starts_with("HTTP/1.1 200 "));
}

// Failure: a retry is sent to an evacuated server.
BOOST_AUTO_TEST_CASE(RetriesAvoidEvacuatedServers) {
  EvacuationFixture pair(
      [](auto&) { return ScriptedReply{.text = "", .resets = true}; },
      Replies());
  pair.Evacuate({kRemote});
  for (int n = 0; n < 4; ++n) pair.SendRequest("GET /p/x");
  BOOST_TEST(pair.RequestsAt(1) == 0);
}

// Failure: a hedge is sent to an evacuated server.
BOOST_AUTO_TEST_CASE(HedgesAvoidEvacuatedServers) {
  EvacuationFixture pair(NeverReplies(), Replies());
  pair.Evacuate({kRemote});
  RawClient client(pair.port());
  client.Send(EvacuationFixture::RequestText("GET /p/x"));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  BOOST_TEST(pair.RequestsAt(0) == 1);
  BOOST_TEST(pair.RequestsAt(1) == 0);
}

// Failure: callers of a service whose servers are all evacuated wait in vain,
// or are told to retry before the evacuation can have ended.
BOOST_AUTO_TEST_CASE(FullyEvacuatedServicesRefuseImmediately) {
  EvacuationFixture pair(Replies(), Replies());
  pair.Evacuate({kLocal, kRemote});
  const Millis began = SteadyNow();
  const auto answer = pair.SendRequest("GET /p/x");
  BOOST_TEST((SteadyNow() - began).count < 300);
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(std::strtod(HeaderValue(answer, "Retry-After").c_str(), nullptr) >=
             1);
}

// Failure: a request is queued when its service is evacuated, and stays queued
// until its deadline.
BOOST_AUTO_TEST_CASE(QueuedRequestsAreRefusedOnEvacuation) {
  EvacuationFixture pair(NeverReplies(), NeverReplies());
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int n = 0; n < 12; ++n) {
    clients.push_back(std::make_unique<RawClient>(pair.port()));
    clients.back()->Send(EvacuationFixture::RequestText("POST /p/x"));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const size_t sent = pair.RequestsAt(0) + pair.RequestsAt(1);
  BOOST_TEST_REQUIRE(sent < clients.size());
  const Millis began = SteadyNow();
  pair.Evacuate({kLocal, kRemote});
  const auto answer = clients.back()->Receive("\r\n\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST((SteadyNow() - began).count < 300);
  BOOST_TEST(pair.RequestsAt(0) + pair.RequestsAt(1) == sent);
}

// Failure: an unreachable server is probed while it is evacuated, or is not
// probed after the evacuation has ended.
BOOST_AUTO_TEST_CASE(UnreachableServersAreProbedAfterEvacuation) {
  EvacuationFixture pair(Replies(), Replies());
  const uint16_t port = FreePort();
  pair.entries()[0].address.port = port;
  pair.Publish(2);
  pair.SendRequest("GET /p/x");
  pair.Evacuate({kLocal});
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  const int listener = ListenAt(port);
  pollfd wait{listener, POLLIN, 0};
  BOOST_TEST(poll(&wait, 1, 700) == 0);
  pair.Evacuate({});
  BOOST_TEST(poll(&wait, 1, 2000) == 1);
  close(listener);
}

}  // namespace
}  // namespace hibiscuspick::edge
