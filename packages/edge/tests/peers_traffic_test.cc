#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

constexpr size_t kShards = 8;

std::string Record(size_t shard) {
  return std::string(engine::kRecordBytes, static_cast<char>('a' + shard));
}

// Two instances in different data centres over eight shards; the servers of
// shards with odd indices are in the second.
struct TwoPlaces {
  TrafficFixture here{"here"};
  TrafficFixture there{"there"};
  std::vector<RawServer*> servers;

  explicit TwoPlaces(const std::function<bool(size_t)>& fails = {}) {
    engine::GatherRule rule;
    rule.top = 3;
    rule.min_coverage = 0.5;
    for (size_t i = 0; i < kShards; ++i) {
      const std::string service = "shard-" + std::to_string(i);
      rule.shards.emplace_back(service);
      servers.push_back(&here.AddServer(service, [=](const std::string& it) {
        if (fails && fails(i)) return Scripted{.text = "", .resets = true};
        return Scripted{
            .text = GoodAnswer(it, "stamp-" + std::to_string(i), Record(i))};
      }));
      here.entries().back().data_centre =
          DataCentreId(i % 2 == 0 ? "here" : "there");
    }
    auto& route = here.AddRoute("/g/");
    route.idempotency = engine::Idempotency::kIdempotent;
    route.gather = rule;
    here.Publish();
    here.ShareWith(&there);
  }

  void Introduce(const std::vector<engine::Peer>& senders,
                 const std::vector<engine::Peer>& relays) {
    here.OnLoop([&] {
      here.server().SetPeers(here.peer(), senders, relays, {2, 0});
    });
  }
  size_t Arrivals() const {
    size_t n = 0;
    for (auto* it : servers) n += it->requests().size();
    return n;
  }
};

size_t StampCount(const std::string& answer) {
  const std::string list = HeaderIn(answer, "Q-Stamps");
  std::set<std::string> stamps;
  for (size_t at = 0; (at = list.find("stamp-", at)) != std::string::npos;) {
    stamps.insert(list.substr(at, 7));
    ++at;
  }
  return stamps.size();
}

// Parts from another data centre arrive as one merged answer. Each shard is
// queried once in total, and the caller gets the same stamps and records as
// without peers.
BOOST_AUTO_TEST_CASE(FarPartsAreMergedNearTheirServers) {
  TwoPlaces places;
  places.Introduce({}, {places.there.peer()});
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(StampCount(answer) == kShards);
  BOOST_TEST(HeaderIn(answer, "Q-Missing") == "0");
  BOOST_TEST(answer.ends_with(Record(7) + Record(6) + Record(5)));
  BOOST_TEST(places.Arrivals() == kShards);
  BOOST_TEST(answer.find("Hp-") == std::string::npos);
  // Headers between peers never reach a server.
  for (auto* it : places.servers) {
    BOOST_TEST(it->requests().at(0).find("Hp-") == std::string::npos);
  }
}

// The peer is unreachable: its parts are queried from here, without using the
// budget since nothing has run.
BOOST_AUTO_TEST_CASE(LostPeersPartsAreAskedForFromHere) {
  TwoPlaces places;
  engine::Peer gone = places.there.peer();
  gone.query_address.port = FreePort();
  places.Introduce({}, {gone});
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(StampCount(answer) == kShards);
  BOOST_TEST(places.Arrivals() == kShards);
}

// A peer with another configuration version may have other shards, so it gets
// no parts.
BOOST_AUTO_TEST_CASE(PeersOfAnotherVersionTakeNoPart) {
  TwoPlaces places;
  places.there.Publish(2);
  places.Introduce({}, {places.there.peer()});
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(StampCount(answer) == kShards);
  BOOST_TEST(places.Arrivals() == kShards);
}

// Some of the remote servers fail: the peer's received parts are used, and the
// caller gets the correct number of missing shards.
BOOST_AUTO_TEST_CASE(PeersTellWhatLacks) {
  TwoPlaces places([](size_t i) { return i == 3; });
  places.Introduce({}, {places.there.peer()});
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(StampCount(answer) == kShards - 1);
  BOOST_TEST(HeaderIn(answer, "Q-Missing") == "1");
}

// Failure: two remote servers are slow and the query needs one of them; the
// peer answers at the target without them. The caller, who had time left, was
// told that servers had failed and retried with all shards.
BOOST_AUTO_TEST_CASE(LatePartsOfAPeerAreWaitedFor) {
  constexpr int kSlowMs = 700;
  TwoPlaces places;
  for (const size_t i : {size_t{1}, size_t{3}}) {
    const std::string service = "shard-" + std::to_string(i);
    auto& slow = places.here.AddServer(service, [i](const std::string& it) {
      return Scripted{
          .text = GoodAnswer(it, "stamp-" + std::to_string(i), Record(i)),
          .wait_ms = kSlowMs};
    });
    places.servers[i] = &slow;
    auto& entries = places.here.entries();
    entries[i].address = entries.back().address;
    entries.pop_back();
  }
  places.here.config().routes.back().gather->min_coverage = 7.0 / kShards;
  places.here.config().routes.back().attempts = 1;
  places.here.Publish();
  places.here.ShareWith(&places.there);
  places.Introduce({}, {places.there.peer()});
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(StampCount(answer) >= kShards - 1);
  BOOST_TEST(answer.ends_with(Record(7) + Record(6) + Record(5)));
  BOOST_TEST(answer.find("Hp-") == std::string::npos);
  BOOST_TEST(places.Arrivals() == kShards);
}

// Failure: a remote server resets or stalls while the shard has another one.
// The query's owner learned of it when the answer was due, too late for a
// second attempt, so these parts were missing. The peer must make the second
// attempt.
BOOST_AUTO_TEST_CASE(PeersAskASecondServerThemselves) {
  for (const bool silent : {false, true}) {
    TwoPlaces places;
    RawServer bad([=](auto&) {
      return Scripted{.text = "", .resets = !silent, .silent = silent};
    });
    auto& entries = places.here.entries();
    entries.push_back(entries[3]);
    entries.back().id = BackendServerId("bad");
    entries.back().address.port = bad.port();
    places.here.Publish();
    places.here.ShareWith(&places.there);
    places.Introduce({}, {places.there.peer()});
    for (int i = 0; i < 4; ++i) {
      const auto answer = places.here.Ask("GET /g/x");
      BOOST_TEST(StampCount(answer) == kShards);
    }
    BOOST_TEST(bad.requests().size() >= 1);
  }
}

// Failure: a shard's servers reset connections. The peer has tried one and the
// owner another; a third attempt would exceed the route's limit and load
// servers that already fail.
BOOST_AUTO_TEST_CASE(PeerAndOwnerKeepToTheAttemptsTogether) {
  TwoPlaces places([](size_t i) { return i == 3; });
  for (int k = 0; k < 3; ++k) {
    places.servers.push_back(&places.here.AddServer(
        "shard-3", [](auto&) { return Scripted{.text = "", .resets = true}; }));
    places.here.entries().back().data_centre = DataCentreId("there");
  }
  places.here.Publish();
  places.here.ShareWith(&places.there);
  places.Introduce({}, {places.there.peer()});
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(StampCount(answer) == kShards - 1);
  size_t tried = places.servers[3]->requests().size();
  for (size_t k = kShards; k < places.servers.size(); ++k) {
    tried += places.servers[k]->requests().size();
  }
  BOOST_TEST(tried == 2);
}

// An instance forwards the whole query to a sender.
BOOST_AUTO_TEST_CASE(WholeQueriesAreHandedToSenders) {
  TwoPlaces places;
  places.Introduce({places.there.peer()}, {});
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(StampCount(answer) == kShards);
  BOOST_TEST(places.Arrivals() == kShards);
  BOOST_TEST(answer.find("Hp-") == std::string::npos);
}

// The sender is unreachable: the query is run here.
BOOST_AUTO_TEST_CASE(LostSendersQueriesAreServedHere) {
  TwoPlaces places;
  engine::Peer gone = places.there.peer();
  gone.query_address.port = FreePort();
  places.Introduce({gone}, {});
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(StampCount(places.here.Ask("GET /g/x")) == kShards);
  }
}

// The sender's data centre is cut off from the servers. The sender refuses
// before any part has run, and the query is run here, so that this instance
// learns whether it is cut off itself; the next query is not forwarded.
BOOST_AUTO_TEST_CASE(SendersOutOfReachHandBack) {
  TwoPlaces places;
  for (auto& it : places.there.entries()) it.address.port = FreePort();
  places.there.Publish();
  places.Introduce({places.there.peer()}, {});
  // The first request finds the servers unreachable.
  for (int i = 0; i < 2; ++i) (void)places.there.Ask("GET /g/x");
  for (int i = 0; i < 2; ++i) {
    const auto answer = places.here.Ask("GET /g/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(StampCount(answer) == kShards);
  }
  BOOST_TEST(places.Arrivals() == 2 * kShards);
}

// Failure: the data centre is cut off and its sender knows. An instance that
// forwards its queries has made too few attempts itself to notice, and the load
// balancer keeps sending it callers that it can only refuse.
BOOST_AUTO_TEST_CASE(SendersTellThatTheDataCentreIsCutOff) {
  TwoPlaces places;
  for (auto* fixture : {&places.here, &places.there}) {
    for (auto& it : fixture->entries()) it.address.port = FreePort();
    fixture->Publish();
  }
  // The sender's attempts at remote servers have failed for long enough.
  for (int i = 0; i < 3; ++i) {
    (void)places.there.Ask("GET /g/x");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  BOOST_TEST(places.there.AskReady().starts_with("HTTP/1.1 503 "));
  engine::Peer sender = places.there.peer();
  sender.data_centre = places.here.peer().data_centre;
  places.Introduce({sender}, {});
  BOOST_TEST(places.here.AskReady().starts_with("HTTP/1.1 200 "));
  BOOST_TEST(places.here.Ask("GET /g/x").starts_with("HTTP/1.1 503 "));
  BOOST_TEST(places.here.AskReady().starts_with("HTTP/1.1 503 "));
}

// Failure: a stalled sender accepts queries and never replies. One query is
// lost; later ones must be run here.
BOOST_AUTO_TEST_CASE(SilentSendersGetNoMoreQueries) {
  TwoPlaces places;
  RawServer frozen([](auto&) { return Scripted{.text = "", .silent = true}; });
  engine::Peer sender = places.there.peer();
  sender.query_address.port = frozen.port();
  places.Introduce({sender}, {});
  RawClient first(places.here.port());
  first.Say(TrafficFixture::RequestText("GET /g/x"));
  // Its answer is due after 400 ms, and the sender's backoff starts 300 ms
  // later.
  std::this_thread::sleep_for(std::chrono::milliseconds(900));
  const auto answer = places.here.Ask("GET /g/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(StampCount(answer) == kShards);
  BOOST_TEST(frozen.requests().size() == 1);
}

// Failure: an instance stops while a stalled peer has its caller's query. The
// caller must get an answer, not a broken connection.
BOOST_AUTO_TEST_CASE(StopAnswersWhatAPeerHas) {
  TwoPlaces places;
  RawServer frozen([](auto&) { return Scripted{.text = "", .silent = true}; });
  engine::Peer sender = places.there.peer();
  sender.query_address.port = frozen.port();
  places.Introduce({sender}, {});
  RawClient client(places.here.port());
  client.Say(TrafficFixture::RequestText("GET /g/x"));
  BOOST_TEST_REQUIRE(Eventually([&] { return frozen.requests().size() == 1; }));
  std::atomic<bool> done{false};
  places.here.OnLoop([&] { places.here.server().Stop([&] { done = true; }); });
  BOOST_TEST(client.Hear("\r\n\r\n").starts_with("HTTP/1.1 502 "));
  BOOST_TEST(Eventually([&] { return done.load(); }));
}

// Requests on the peers' port without configuration version and deadlines, or
// with invalid shard indices, must not reach a server.
BOOST_AUTO_TEST_CASE(StrangersAreRefused) {
  TwoPlaces places;
  const std::string good =
      "Hp-Config-Version: 1\r\nHp-Answer-In-Ms: 100\r\nHp-End-In-Ms: 200\r\n";
  for (const std::string& more :
       {std::string(), good + "Hp-Shards: 1,99\r\n",
        good + "Hp-Shards: 1,,2\r\n", good + "Hp-Shards: -1\r\n"}) {
    RawClient client(places.there.peer().query_address.port);
    client.Say(TrafficFixture::RequestText("GET /g/x",
                                           "Connection: close\r\n" + more));
    BOOST_TEST(client.Hear().starts_with("HTTP/1.1 409 "));
  }
  BOOST_TEST(places.Arrivals() == 0);
}

struct LagsRow {
  const char* text;
  bool readable;
};

std::ostream& operator<<(std::ostream& out, const LagsRow& row) {
  return out << row.text;
}

const LagsRow kLags[] = {{"1.0,2.0,3.0,4.0,5.5", true}, {"1,2,3,4", false},
                         {"1,2,3,4,5,6", false},        {"a,2,3,4,5", false},
                         {"1,2,3,4,5x", false},         {"", false}};

// Failure: a malformed list of lags from a peer is accepted, or crashes the
// process.
BOOST_DATA_TEST_CASE(LagsOfPeersAreRead, bdata::make(kLags), row) {
  HandedQuery query;
  query.clocks.answer_in = Millis(40);
  std::vector<Header> headers;
  AddHanded(query, &headers);
  headers.push_back({"Hp-Lags-Ms", row.text});
  const auto taken = TakeHanded(&headers);
  BOOST_TEST_REQUIRE(taken.has_value());
  BOOST_TEST(taken->clocks.lags.has_value() == row.readable);
  if (row.readable) BOOST_TEST(taken->clocks.lags->back().count == 5.5);
  BOOST_TEST(headers.empty());
}

}  // namespace
}  // namespace hibiscuspick::edge
