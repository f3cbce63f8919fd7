#include "hibiscuspick/edge/prober.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "traffic_fixture.h"

namespace hibiscuspick::edge {
namespace {

const DataCentreId kRemote("far");

RawServer::Script Replies(const std::string& body) {
  return [=](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "stamp", body)};
  };
}

engine::Peer PeerAt(uint16_t port) {
  engine::Peer peer;
  peer.id = InstanceId("peer-" + std::to_string(port));
  peer.data_centre = kRemote;
  peer.query_address = {"127.0.0.1", port};
  return peer;
}

// Adds a fan-out over two shards, one local and one remote, both required.
void AddRemoteShard(TrafficFixture* fixture, uint16_t remote_port) {
  auto& route = fixture->AddRoute("/g/");
  route.gather = engine::GatherRule{{ServiceId("a"), ServiceId("b")}, 5, 1.0};
  fixture->AddServer("a", Replies("0123456789abcdef"));
  fixture->AddServer("b", Replies("0123456789abcdef"));
  auto& remote = fixture->entries()[1];
  remote.data_centre = kRemote;
  remote.address.port = remote_port;
}

// Sends requests until the readiness check returns `ready`.
bool BecomesReady(const TrafficFixture& fixture, bool ready) {
  return Eventually([&] {
    fixture.SendRequest("GET /g/x");
    return fixture.GetReadiness().starts_with(ready ? "HTTP/1.1 200 "
                                                    : "HTTP/1.1 503 ");
  });
}

// Failure: a data centre is cut off, and the load balancer keeps sending it
// callers that it can only refuse. It must become not ready, and ready again
// when the other data centre is reachable.
BOOST_AUTO_TEST_CASE(CutOffInstanceBecomesNotReadyAndRecovers) {
  TrafficFixture fixture;
  const uint16_t port = FreePort();
  AddRemoteShard(&fixture, port);
  fixture.OnLoop(
      [&] { fixture.server().SetProbeTargets({PeerAt(FreePort())}); });
  fixture.Publish();
  const Millis began = SteadyNow();
  BOOST_TEST_REQUIRE(BecomesReady(fixture, false));
  // Bound: two readiness checks one second apart must see it within the
  // shortest deadline of two seconds.
  BOOST_TEST((SteadyNow() - began).count < 1000);
  const auto refused = fixture.SendRequest("GET /g/x");
  BOOST_TEST(refused.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(HeaderValue(refused, "Retry-After") == "2.000");
  const auto listener = ListenAt(port);
  BOOST_TEST(BecomesReady(fixture, true));
  close(listener);
}

// Failure: an instance without callers notices a cut only by refusing the first
// caller that the load balancer sends it once the others are not ready. A
// report of another instance makes it probe. If only that other instance is cut
// off, this one stays ready.
BOOST_AUTO_TEST_CASE(CutOffReportsAreVerifiedByProbes) {
  for (const bool cut : {true, false}) {
    TrafficFixture fixture;
    auto remote = std::make_unique<RawServer>(Replies("0123456789abcdef"));
    const uint16_t port = remote->port();
    AddRemoteShard(&fixture, port);
    fixture.OnLoop([&] { fixture.server().SetProbeTargets({PeerAt(port)}); });
    fixture.Publish();
    if (cut) remote.reset();
    const Millis reported_at = SteadyNow();
    fixture.OnLoop([&] { fixture.server().CheckCutOff(); });
    const auto is_ready = [&] {
      return fixture.GetReadiness().starts_with("HTTP/1.1 200 ");
    };
    if (cut) {
      BOOST_TEST(Eventually([&] { return !is_ready(); }));
      BOOST_TEST((SteadyNow() - reported_at).count < 1000);
    }
    while (!cut && SteadyNow() < reported_at + Millis(600))
      BOOST_TEST(is_ready());
  }
}

// Failure: all instances of the other data centre are down, and its healthy
// servers are taken for unreachable. They must get their parts, and this
// instance stays ready.
BOOST_AUTO_TEST_CASE(DataCentreWithoutInstancesStaysReachable) {
  TrafficFixture fixture;
  RawServer remote(Replies("0123456789abcdef"));
  AddRemoteShard(&fixture, remote.port());
  fixture.OnLoop(
      [&] { fixture.server().SetProbeTargets({PeerAt(FreePort())}); });
  fixture.Publish();
  const Millis until = SteadyNow() + Millis(1500);
  while (SteadyNow() < until) {
    BOOST_TEST(fixture.SendRequest("GET /g/x").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.GetReadiness().starts_with("HTTP/1.1 200 "));
  }
}

}  // namespace
}  // namespace hibiscuspick::edge
