// What other instances are told of requests under which servers end.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "ending_servers_fixture.h"
#include "hibiscuspick/edge/quarantine_wire.h"

namespace hibiscuspick::edge {
namespace {

// The greatest number of ended servers in a message.
size_t MostReportedEnds(RawServer* peer) {
  size_t n = 0;
  for (const auto& request : peer->requests()) {
    const auto message =
        ParseQuarantine(request.substr(request.find("\r\n\r\n") + 4));
    if (!message || message->reports.empty()) continue;
    n = std::max(n, message->reports.front().ends.size());
  }
  return n;
}

// Failure: while messages to a peer are in flight, further reports are dropped.
BOOST_AUTO_TEST_CASE(SlowPeersGetTheLastReport) {
  const EndingServersOptions options{.stagger_ms = 2};
  EndingServers servers(options);
  RawServer peer([](auto&) {
    return ScriptedReply{.text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                         .wait_ms = 50};
  });
  engine::Peer entry = servers.first().peer();
  entry.id = InstanceId("slow");
  entry.query_address.port = peer.port();
  servers.first().OnLoop(
      [&] { servers.first().server().SetInstances({entry}); });
  servers.Send(0, "GET /g/fatal");
  BOOST_TEST(servers.EndedCount() == options.shards);
  BOOST_TEST(
      Eventually([&] { return MostReportedEnds(&peer) == options.shards; }));
}

}  // namespace
}  // namespace hibiscuspick::edge
