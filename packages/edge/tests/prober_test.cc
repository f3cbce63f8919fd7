#include "hibiscuspick/edge/prober.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "traffic_fixture.h"

namespace hibiscuspick::edge {
namespace {

const DataCentreId kFar("far");

RawServer::Script Answers(const std::string& body) {
  return [=](const std::string& request) {
    return Scripted{.text = GoodAnswer(request, "stamp", body)};
  };
}

engine::Peer PeerAt(uint16_t port) {
  engine::Peer peer;
  peer.id = InstanceId("peer-" + std::to_string(port));
  peer.data_centre = kFar;
  peer.queries = {"127.0.0.1", port};
  return peer;
}

// A fixture whose fan-out needs two shards: one here, one far away.
void AddFarShard(TrafficFixture* fixture, uint16_t far_port) {
  auto& route = fixture->AddRoute("/g/");
  route.gather = engine::GatherRule{{ServiceId("a"), ServiceId("b")}, 5, 1.0};
  fixture->AddServer("a", Answers("0123456789abcdef"));
  fixture->AddServer("b", Answers("0123456789abcdef"));
  auto& far = fixture->entries()[1];
  far.data_centre = kFar;
  far.address.port = far_port;
}

// Asks until the instance answers so to the balancer, or the test hangs.
bool BecomesReady(const TrafficFixture& fixture, bool ready) {
  return Eventually([&] {
    fixture.Ask("GET /g/x");
    return fixture.AskReady().starts_with(ready ? "HTTP/1.1 200 "
                                                : "HTTP/1.1 503 ");
  });
}

// A data centre is cut off from the others. Its callers can't be served there,
// and are refused until the balancer hears of it; when it is reached again they
// are taken back.
BOOST_AUTO_TEST_CASE(ACutIsFoundOutAndItsEndToo) {
  TrafficFixture fixture;
  const uint16_t port = FreePort();
  AddFarShard(&fixture, port);
  fixture.OnLoop([&] { fixture.server().SetProbed({PeerAt(FreePort())}); });
  fixture.Publish();
  const Millis began = SteadyNow();
  BOOST_TEST_REQUIRE(BecomesReady(fixture, false));
  // The aim: two questions of the balancer, a second apart, see it within the
  // shortest deadline of two seconds.
  BOOST_TEST((SteadyNow() - began).count < 1000);
  const auto refused = fixture.Ask("GET /g/x");
  BOOST_TEST(refused.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(HeaderIn(refused, "Retry-After") == "2.000");
  const auto listener = ListenAt(port);
  BOOST_TEST(BecomesReady(fixture, true));
  close(listener);
}

// Another instance of the data centre says that this is cut off. One that had
// no caller yet finds out at once, and not by refusing the first that the
// balancer sends it since the others are not ready; where it was that other one
// alone, callers are served as ever.
BOOST_AUTO_TEST_CASE(WhoIsToldOfACutLooksForItself) {
  for (const bool cut : {true, false}) {
    TrafficFixture fixture;
    auto far = std::make_unique<RawServer>(Answers("0123456789abcdef"));
    const uint16_t port = far->port();
    AddFarShard(&fixture, port);
    fixture.OnLoop([&] { fixture.server().SetProbed({PeerAt(port)}); });
    fixture.Publish();
    if (cut) far.reset();
    const Millis told = SteadyNow();
    fixture.OnLoop([&] { fixture.server().LookIfCutOff(); });
    const auto is_ready = [&] {
      return fixture.AskReady().starts_with("HTTP/1.1 200 ");
    };
    if (cut) {
      BOOST_TEST(Eventually([&] { return !is_ready(); }));
      BOOST_TEST((SteadyNow() - told).count < 1000);
    }
    while (!cut && SteadyNow() < told + Millis(600)) BOOST_TEST(is_ready());
  }
}

// All instances of the other data centre are down, its servers are well. They
// get their parts, and nobody is turned away here.
BOOST_AUTO_TEST_CASE(ADataCentreWithoutInstancesIsNotLost) {
  TrafficFixture fixture;
  RawServer far(Answers("0123456789abcdef"));
  AddFarShard(&fixture, far.port());
  fixture.OnLoop([&] { fixture.server().SetProbed({PeerAt(FreePort())}); });
  fixture.Publish();
  const Millis until = SteadyNow() + Millis(1500);
  while (SteadyNow() < until) {
    BOOST_TEST(fixture.Ask("GET /g/x").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.AskReady().starts_with("HTTP/1.1 200 "));
  }
}

}  // namespace
}  // namespace hibiscuspick::edge
