#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "hibiscuspick/edge/evidence_wire.h"
#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

constexpr size_t kShards = 8;
constexpr size_t kReplicas = 3;
// An instance without evidence begins with the second server of a service.
constexpr size_t kBad = 1;

// Two senders over eight shards of three servers; one server of each
// shard breaks all connections. Each instance sends its own fan-outs, since it
// knows the servers in its own data centre.
struct TwoSenders {
  TrafficFixture first{"here"};
  TrafficFixture second{"there"};
  std::vector<RawServer*> bad;

  TwoSenders() {
    engine::GatherRule rule;
    rule.top = 3;
    rule.min_coverage = 0.5;
    for (size_t i = 0; i < kShards; ++i) {
      const std::string service = "shard-" + std::to_string(i);
      rule.shards.emplace_back(service);
      for (size_t k = 0; k < kReplicas; ++k) {
        auto& server =
            first.AddServer(service, [i, k](const std::string& request) {
              if (k == kBad) return ScriptedReply{.text = "", .resets = true};
              return ScriptedReply{
                  .text = ValidReply(request, "stamp-" + std::to_string(i),
                                     std::string(engine::kRecordBytes, 'a'))};
            });
        if (k == kBad) bad.push_back(&server);
      }
    }
    auto& route = first.AddRoute("/g/");
    route.idempotency = engine::Idempotency::kIdempotent;
    route.gather = rule;
    first.CopyConfigTo(&second);
    for (auto* it : {&first, &second}) {
      for (auto& entry : it->entries()) {
        entry.data_centre = it->peer().data_centre;
      }
      it->Publish();
    }
  }

  static void SetPeers(TrafficFixture* to,
                       const std::vector<engine::Peer>& senders) {
    to->OnLoop([&] {
      to->server().SetPeers(to->peer(), senders, senders, {2, 0});
    });
  }
  size_t RequestsToBad() const {
    size_t n = 0;
    for (auto* it : bad) n += it->requests().size();
    return n;
  }
};

uint64_t EvidenceBytes(const TrafficFixture& it, const std::string& direction) {
  const std::string text = it.GetReadiness("/metrics");
  const std::string key =
      "hibiscuspick_edge_evidence_bytes_total{direction=\"" + direction +
      "\"} ";
  const size_t at = text.find(key);
  return at == std::string::npos ? 0
                                 : std::stoull(text.substr(at + key.size()));
}

struct ExchangeRow {
  const char* what;
  // Whether the second sender is there while the first one learns.
  bool starts_late;
  bool exchanges;
};
std::ostream& operator<<(std::ostream& out, const ExchangeRow& row) {
  return out << row.what;
}
constexpr ExchangeRow kRows[] = {
    {"both senders are there", false, true},
    {"the second sender has just started", true, true},
    {"a lone sender", false, false},
};

// Failure: what one sender has learned about bad servers does not reach the
// other, also one that has just started; or messages are sent where there is
// only one sender.
BOOST_DATA_TEST_CASE(SecondSenderAvoidsBadServers, bdata::make(kRows), row) {
  TwoSenders senders;
  std::vector<engine::Peer> both{senders.first.peer(), senders.second.peer()};
  if (!row.exchanges) both.pop_back();
  TwoSenders::SetPeers(&senders.first, both);
  if (!row.starts_late && row.exchanges) {
    TwoSenders::SetPeers(&senders.second, both);
  }
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(
        senders.first.SendRequest("GET /g/x").starts_with("HTTP/1.1 200 "));
  }
  if (!row.exchanges) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    BOOST_TEST(EvidenceBytes(senders.first, "sent") == 0U);
    return;
  }
  if (row.starts_late) TwoSenders::SetPeers(&senders.second, both);
  BOOST_REQUIRE(Eventually(
      [&] { return EvidenceBytes(senders.second, "received") > 100; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  BOOST_TEST_MESSAGE(EvidenceBytes(senders.first, "sent")
                     << " bytes sent, " << senders.RequestsToBad()
                     << " requests to bad servers by the first sender");
  const size_t before = senders.RequestsToBad();
  BOOST_TEST(
      senders.second.SendRequest("GET /g/x").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(senders.RequestsToBad() == before);
}

// Failure: a sender keeps sending messages to an older build, which answers
// them as queries of another configuration version.
BOOST_AUTO_TEST_CASE(OlderBuildsGetFewMessages) {
  TwoSenders senders;
  RawServer older([](const std::string&) {
    return ScriptedReply{
        .text = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"};
  });
  auto peer = senders.second.peer();
  peer.query_address = {"127.0.0.1", older.port()};
  TwoSenders::SetPeers(&senders.first, {senders.first.peer(), peer});
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(
        senders.first.SendRequest("GET /g/x").starts_with("HTTP/1.1 200 "));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  BOOST_TEST(older.requests().size() == 1U);
}

// Failure: a report changes on its way, or its age counts from another clock.
BOOST_AUTO_TEST_CASE(ReportsSurviveTheWire) {
  const engine::EvidenceOrigin own{InstanceId("own"), 77};
  const Millis now{10300};
  EvidenceMessage message;
  message.wants_all = true;
  message.reports = {
      {own, 0xabcdef, 40, Millis(50), {3, 1, 2, 4, 2.5}},
      {own, 1, 41, Millis(0), {0, 1, 0, 0, 0}},
      {{InstanceId("other one"), 5}, 2, 7, Millis(900), {0, 0, 1, 0, 0}}};
  const auto parsed = ParseEvidence(FormatEvidence(message, own, now));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->wants_all);
  BOOST_TEST((parsed->reports == message.reports));
}

// Failure: a malformed message is read in part or brings the instance down.
BOOST_DATA_TEST_CASE(MalformedEvidenceIsRejected,
                     bdata::make({"", "evidence 2\n",
                                  "evidence 1\n1 0 1 0 0 0 0",
                                  "evidence 1\no zz 5 a\n",
                                  "evidence 1\no 1 -5 a\n1 0 1 0 0 0 0\n",
                                  "evidence 1\no 1 500 a\n1 0 1 0 0 0\n",
                                  "evidence 1\no 1 500 a\n1 9 1 0 0 0 0\n"}),
                     text) {
  BOOST_TEST(!ParseEvidence(text).has_value());
}

}  // namespace
}  // namespace hibiscuspick::edge
