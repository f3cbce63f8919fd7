#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

RawServer::Script Replies(const std::string& body) {
  return [=](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "stamp", body)};
  };
}

struct EarlierRow {
  const char* what;
  // Changes the entry to that of an earlier incarnation.
  std::function<void(engine::ServerEntry*)> change;
};

std::ostream& operator<<(std::ostream& out, const EarlierRow& row) {
  return out << row.what;
}

const EarlierRow kEarlier[] = {
    {"was draining", [](auto* it) { it->draining = true; }},
    {"belonged to another service",
     [](auto* it) { it->service = ServiceId("t"); }},
    {"was at an address without a listener",
     [](auto* it) { it->address.port = FreePort(); }},
    {"was warming up", [](auto* it) { it->warmup_left = Millis(60000); }},
};

// Failure: a backend server restarts under the same id, and the state of its
// predecessor is applied to it. It would get no requests although it is ready
// and the only server.
BOOST_DATA_TEST_CASE(RestartedServersHaveNoState, bdata::make(kEarlier), row) {
  TrafficFixture fixture;
  fixture.AddRoute("/p/").split = {{ServiceId("s"), 1}};
  fixture.AddServer("s", Replies("here"));
  const auto later = fixture.entries()[0];
  auto& entry = fixture.entries()[0];
  entry.incarnation = Incarnation(100);
  row.change(&entry);
  fixture.Publish(1);
  fixture.SendRequest("GET /p/before");
  entry = later;
  entry.incarnation = Incarnation(200);
  fixture.Publish(2);
  const auto answer = fixture.SendRequest("GET /p/after");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(answer.ends_with("here"));
}

// Failure: the list changes to a new incarnation while the previous one runs a
// request. Its answer is the caller's, but neither its connection nor its
// statistics may be used for the new incarnation.
BOOST_AUTO_TEST_CASE(AnswersOfEarlierIncarnationDoNotAffectLater) {
  TrafficFixture fixture;
  fixture.AddRoute("/p/").split = {{ServiceId("s"), 1}};
  std::atomic<bool> may_reply = false;
  auto& earlier = fixture.AddServer("s", [&](const std::string& request) {
    Eventually([&] { return may_reply.load(); });
    return ScriptedReply{.text = ValidReply(request, "stamp", "earlier")};
  });
  auto& later = fixture.AddServer("s", Replies("later"));
  const auto second = fixture.entries()[1];
  fixture.entries().pop_back();
  fixture.entries()[0].incarnation = Incarnation(100);
  fixture.Publish(1);
  RawClient client(fixture.port());
  client.Send(
      TrafficFixture::RequestText("GET /p/one", "Connection: close\r\n"));
  BOOST_TEST_REQUIRE(
      Eventually([&] { return earlier.requests().size() == 1; }));
  auto& entry = fixture.entries()[0];
  entry.incarnation = Incarnation(200);
  entry.address = second.address;
  fixture.Publish(2);
  may_reply = true;
  BOOST_TEST(client.Receive().ends_with("earlier"));
  BOOST_TEST(fixture.SendRequest("GET /p/two").ends_with("later"));
  BOOST_TEST(later.requests().size() == 1);
  BOOST_TEST(earlier.requests().size() == 1);
}

}  // namespace
}  // namespace hibiscuspick::edge
