// Connections that are lost shortly before a request's deadline.
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

using engine::Idempotency;

struct RouteRow {
  const char* what;
  Idempotency idempotency;
  int attempts;
  bool fan_out;
};

std::ostream& operator<<(std::ostream& out, const RouteRow& row) {
  return out << row.what;
}

const RouteRow kRoutes[] = {
    {"may not be repeated", Idempotency::kNotIdempotent, 2, false},
    {"has used its attempts", Idempotency::kIdempotent, 1, false},
    {"fan-out", Idempotency::kIdempotent, 1, true},
};

// Failure: the check of a server outlasts the deadline, and its instance stops.
BOOST_DATA_TEST_CASE(ServerChecksDoNotOutlastTheDeadline, bdata::make(kRoutes),
                     row) {
  constexpr int kTimeoutMs = 300;
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.idempotency = row.idempotency;
  route.attempts = row.attempts;
  route.timeout = Millis(kTimeoutMs);
  if (row.fan_out) {
    route.gather = engine::GatherRule{{ServiceId("s")}, 1, 1};
  } else {
    route.split = {{ServiceId("s"), 1}};
  }
  std::atomic<bool> hangs{false};
  RawServer* server = nullptr;
  server = &fixture.AddServer("s", [&](auto&) {
    hangs = server->HangNewConnections();
    // Less than engine::kServerCheckTimeout before the deadline.
    return ScriptedReply{
        .text = "", .resets = true, .wait_ms = kTimeoutMs - 60};
  });
  fixture.Publish();
  const auto answer = fixture.SendRequest("GET /p/x");
  BOOST_TEST(hangs);
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(fixture.GetReadiness().starts_with("HTTP/1.1 "));
}

}  // namespace
}  // namespace hibiscuspick::edge
