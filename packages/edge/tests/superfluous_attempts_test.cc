// Attempts whose result is no longer needed when their reply arrives.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "hibiscuspick/edge/backends.h"
#include "reply_forms.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

struct SuperfluousRow {
  const char* what;
  std::string reply;
  // Whether it tells how long the server takes.
  bool is_sample;
};

std::ostream& operator<<(std::ostream& out, const SuperfluousRow& row) {
  return out << row.what;
}

std::string Reply(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

const SuperfluousRow kRows[] = {
    {"success", Reply("200 OK", "Q-Id: one\r\nQ-Stamp: s\r\n"), true},
    {"refusal", Reply("503 Full", "Q-Id: one\r\nQ-Not-Run: 1\r\n"), false},
    {"failure", Reply("500 Failed", "Q-Id: one\r\nQ-Stamp: s\r\n"), false},
    {"misdirected", Reply("421 Misdirected", "Q-Id: one\r\n"), false},
    {"success without a stamp", Reply("200 OK", "Q-Id: one\r\n"), false},
    {"encoded",
     Reply("200 OK", "Q-Id: one\r\nQ-Stamp: s\r\nContent-Encoding: gzip\r\n"),
     false},
};

// Failure: a server that refuses or fails at once is taken for a fast one.
BOOST_DATA_TEST_CASE(SuperfluousFailuresAreNoLatencySamples, bdata::make(kRows),
                     row) {
  constexpr Millis kMedian{1000};
  const ServiceId service("s");
  const engine::AllowedDataCentres anywhere;
  const WireNames names = TestWireNames();
  RawServer server(
      [&](auto&) { return ScriptedReply{.text = row.reply, .wait_ms = 20}; });
  Loop loop;
  Prober prober(&loop, DataCentreId("dc"));
  Backends backends(&loop, {}, &prober, nullptr);
  engine::ServerEntry entry;
  entry.id = BackendServerId("server");
  entry.service = service;
  entry.address = {"127.0.0.1", server.port()};
  backends.SetServers({entry});
  const auto service_time = [&] {
    return backends.EstimateShard(service, kMedian, kMedian, anywhere)
        ->service_time.count;
  };
  AttemptSpec spec;
  spec.request_id = "one";
  spec.names = &names;
  spec.service = service;
  spec.median_latency = kMedian;
  spec.overdue_after = kMedian;
  spec.serialize_for = [&](auto&) {
    // Once this has been sent.
    loop.Post([&] { backends.Abandon(AttemptId(1), false); });
    return "GET / HTTP/1.1\r\nQ-Id: one\r\n\r\n";
  };
  double before = 0;
  loop.Post([&] {
    before = service_time();
    BOOST_TEST(backends.TryStart(spec).has_value());
  });
  std::function<void()> stop_at_end = [&] {
    if (!server.requests().empty() && backends.open_attempts() == 0) {
      loop.Stop();
    } else {
      loop.RunAt(loop.now() + Millis(5), stop_at_end);
    }
  };
  loop.Post(stop_at_end);
  loop.Run();
  BOOST_TEST(server.requests().size() == 1);
  BOOST_TEST((service_time() < before) == row.is_sample);
}

}  // namespace
}  // namespace hibiscuspick::edge
