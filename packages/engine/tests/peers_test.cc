#include "hibiscuspick/engine/peers.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kNow{1000};

// `per_place` instances in each of three data centres; the first `able` of each
// have half a core, the others an eighth.
PeerTable Fleet(size_t per_place, size_t able = 0) {
  PeerTable table;
  for (const char* place : {"a", "b", "c"}) {
    for (size_t i = 0; i < per_place; ++i) {
      Peer peer;
      peer.id = InstanceId(std::string(place) + std::to_string(i));
      peer.data_centre = DataCentreId(place);
      peer.processor = i < able ? 0.5 : 0.12;
      table.peers[peer.id] = peer;
    }
  }
  return table;
}

NewsSources SourcesAs(PeerTable table, const InstanceId& own) {
  table.own = own;
  return SourcesOf(table, kNow);
}

BOOST_AUTO_TEST_CASE(FewInstancesAllWatch) {
  const auto table = Fleet(3);
  for (const auto& [id, peer] : table.peers) {
    BOOST_TEST(SourcesAs(table, id).store);
  }
}

// The store turns one instance away and serves the others. It asks one of its
// own data centre and one elsewhere, so that the cut of a data centre or the
// loss of an instance leaves it one.
BOOST_AUTO_TEST_CASE(HelpersAreHereAndElsewhere) {
  auto table = Fleet(2);
  table.own = InstanceId("a1");
  const auto helpers = HelpersOf(table, kNow);
  BOOST_TEST_REQUIRE(helpers.size() == 2);
  BOOST_TEST(helpers[0].data_centre.text == "b");
  BOOST_TEST(helpers[1].id.text == "a0");
  BOOST_TEST(HelpersOf(PeerTable(), kNow).empty());
}

// Each of 460 instances listing 460 every four seconds would read 10 MB a
// second from the store.
BOOST_AUTO_TEST_CASE(ListsCostTheSameAtAnySize) {
  BOOST_TEST(ListPause(6).count == 4000);
  BOOST_TEST(ListPause(64).count == 4000);
  BOOST_TEST(ListPause(460).count == 28750);
}

// With every instance watching, 69 of them made 3,468 priced calls a day.
BOOST_AUTO_TEST_CASE(OneWatcherInEachDataCentre) {
  const auto table = Fleet(20, 2);
  std::set<DataCentreId> watched;
  for (const auto& [id, peer] : table.peers) {
    const auto sources = SourcesAs(table, id);
    if (sources.store) {
      BOOST_TEST(watched.insert(peer.data_centre).second);
      BOOST_TEST(peer.processor == 0.5);
    } else {
      BOOST_TEST(sources.peers.size() == 2);
      for (const auto& it : sources.peers) BOOST_TEST((it.id != id));
    }
  }
  BOOST_TEST(watched.size() == 3);
}

// The watcher is cut off from the store and doesn't know it yet. Its data
// centre still hears of a change, by its second instance that asks elsewhere
// too.
BOOST_AUTO_TEST_CASE(SecondInstanceAsksElsewhereToo) {
  const auto table = Fleet(20, 2);
  const auto ranking = Ranking(table, DataCentreId("a"), kNow);
  const auto sources = SourcesAs(table, ranking[1].id);
  BOOST_TEST_REQUIRE(sources.peers.size() == 2);
  BOOST_TEST(sources.peers[0].data_centre.text == "a");
  BOOST_TEST(sources.peers[1].data_centre.text != "a");
}

// The watcher is lost for good. The next in rank takes over once it has
// noticed.
BOOST_AUTO_TEST_CASE(NextInRankTakesOver) {
  auto table = Fleet(20, 2);
  const auto ranking = Ranking(table, DataCentreId("a"), kNow);
  table.own = ranking[1].id;
  NoteSilent(&table, ranking[0].id, kNow);
  BOOST_TEST(SourcesOf(table, kNow).store);
  BOOST_TEST(!SourcesOf(table, kNow + Millis(2000)).store);
  NoteAnswered(&table, ranking[0].id);
  BOOST_TEST(!SourcesOf(table, kNow).store);
}

// Few instances that each send their own queries meet in the servers' queues,
// where an urgent part waits behind slow ones; see queue_play_test.cc.
BOOST_AUTO_TEST_CASE(OneOfFewInstancesSendsForItsDataCentre) {
  const auto table = Fleet(3);
  const auto senders = FanOutSenders(table, kNow);
  std::set<DataCentreId> places;
  for (const auto& it : senders) places.insert(it.data_centre);
  BOOST_TEST(senders.size() == 3);
  BOOST_TEST(places.size() == 3);
}

// The sender is lost: the next in rank sends as soon as that is noticed.
BOOST_AUTO_TEST_CASE(NextInRankSends) {
  auto table = Fleet(3);
  const auto ranking = Ranking(table, DataCentreId("a"), kNow);
  NoteSilent(&table, ranking[0].id, kNow);
  const auto senders = FanOutSenders(table, kNow);
  BOOST_TEST((senders[0].id == ranking[1].id));
}

// Many equal instances send for themselves, unless some are much abler.
BOOST_AUTO_TEST_CASE(ManyEqualInstancesSendForThemselves) {
  BOOST_TEST(FanOutSenders(Fleet(20), kNow).empty());
  BOOST_TEST(FanOutSenders(Fleet(20, 2), kNow).size() == 6);
}

// No data centre is known to have servers of the shards. A sender that handed
// the query to itself would pay a hop for nothing, and again for each hop.
BOOST_AUTO_TEST_CASE(NobodyHandsToItself) {
  const auto table = Fleet(3);
  const auto senders = FanOutSenders(table, kNow);
  for (size_t turn = 0; turn < 6; ++turn) {
    for (const auto& own : senders) {
      const auto* chosen =
          SenderFor(senders, own, {DataCentreId("nowhere")}, turn);
      BOOST_TEST((chosen == nullptr || chosen->id != own.id));
    }
  }
}

// A query that comes to a data centre without servers of its shards is handed
// to one that has them, so that 90 parts cross no line, only their merge.
BOOST_AUTO_TEST_CASE(SenderIsNearTheServersFirst) {
  const auto table = Fleet(20, 2);
  const auto senders = FanOutSenders(table, kNow);
  const auto& weak_a = table.peers.at(InstanceId("a9"));
  const auto& able_a = table.peers.at(InstanceId("a0"));
  const std::vector<DataCentreId> everywhere;
  const std::vector<DataCentreId> not_a = {DataCentreId("b"),
                                           DataCentreId("c")};
  std::set<InstanceId> used;
  for (size_t turn = 0; turn < 4; ++turn) {
    const auto* sender = SenderFor(senders, weak_a, everywhere, turn);
    BOOST_TEST_REQUIRE(sender);
    BOOST_TEST(sender->data_centre.text == "a");
    used.insert(sender->id);
    BOOST_TEST(SenderFor(senders, weak_a, not_a, turn)->data_centre.text !=
               "a");
  }
  BOOST_TEST(used.size() == 2);
  BOOST_TEST(!SenderFor(senders, able_a, everywhere, 0));
  BOOST_TEST(SenderFor(senders, able_a, not_a, 0));
  BOOST_TEST(!SenderFor({}, weak_a, everywhere, 0));
}

// Each part from another data centre is paid for by the byte. Shards that have
// a server here never leave, the others leave in as few groups as there can be.
BOOST_AUTO_TEST_CASE(RelaysTakeWhatIsNotHere) {
  const DataCentreId a("a");
  const DataCentreId b("b");
  const DataCentreId c("c");
  const std::vector<std::vector<DataCentreId>> places = {
      {a, b}, {b, c}, {b}, {b, c}, {c, a}, {c}, {c}, {c}, {}};
  const auto all = GroupRelays(places, a, [](auto&) { return true; });
  BOOST_TEST_REQUIRE(all.size() == 1);
  BOOST_TEST((all[0].where == c));
  BOOST_TEST((all[0].shards == std::vector<size_t>{1, 3, 5, 6, 7}));
  const auto only_b = GroupRelays(places, a, [&](auto& it) { return it == b; });
  BOOST_TEST_REQUIRE(only_b.size() == 1);
  BOOST_TEST((only_b[0].shards == std::vector<size_t>{1, 2, 3}));
  BOOST_TEST(GroupRelays(places, a, [](auto&) { return false; }).empty());
}

// Servers elsewhere are overloaded. Whoever relays can't tell, and all its
// callers get answers short of the same shards until it asks for itself.
BOOST_AUTO_TEST_CASE(RelaysStopWhenTheirPartsLack) {
  RelayHealth health;
  for (int i = 0; i < 100; ++i) {
    NoteRelay(&health, i % 3 == 0 ? 1.0 / 7 : 0, Millis(i));
  }
  BOOST_TEST(health.avoided_until.count < 0);
  for (int i = 0; i < 4; ++i) NoteRelay(&health, 0.5, Millis(200));
  BOOST_TEST(health.avoided_until.count == 2200);
}

}  // namespace
}  // namespace hibiscuspick::engine
