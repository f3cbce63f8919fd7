#include "hibiscuspick/engine/update_sources.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>

#include "peer_table_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

UpdateSources SourcesFor(PeerTable table, const InstanceId& own) {
  table.own = own;
  return NormalSources(table, kNow);
}

BOOST_AUTO_TEST_CASE(SmallFleetsWatchTheStoreDirectly) {
  const auto table = MakePeerTable(3);
  for (const auto& [id, peer] : table.peers) {
    BOOST_TEST(SourcesFor(table, id).watch_store);
  }
}

// The store refuses one instance and serves the others. The instance polls a
// peer of its own data centre and one of another, so that one remains if a data
// centre is cut off or an instance is lost.
BOOST_AUTO_TEST_CASE(FallbackPeersAreLocalAndRemote) {
  auto table = MakePeerTable(2);
  table.own = InstanceId("a1");
  const auto fallback_peers = FallbackPeers(table, kNow);
  BOOST_TEST_REQUIRE(fallback_peers.size() == 2);
  BOOST_TEST(fallback_peers[0].data_centre.text == "b");
  BOOST_TEST(fallback_peers[1].id.text == "a0");
  BOOST_TEST(FallbackPeers(PeerTable(), kNow).empty());
}

// Each watching instance costs the store a few calls per second.
BOOST_AUTO_TEST_CASE(OneWatcherInEachDataCentre) {
  const auto table = MakePeerTable(20, 2);
  std::set<DataCentreId> watched;
  for (const auto& [id, peer] : table.peers) {
    const auto sources = SourcesFor(table, id);
    if (sources.watch_store) {
      BOOST_TEST(watched.insert(peer.data_centre).second);
      BOOST_TEST(peer.cpu_cores == 0.5);
    } else {
      BOOST_TEST(sources.peers.size() == 2);
      for (const auto& it : sources.peers) BOOST_TEST((it.id != id));
    }
  }
  BOOST_TEST(watched.size() == 3);
}

// The watcher is cut off from the store without knowing it. Its data centre
// must still get updates, through its second instance, which also polls another
// data centre.
BOOST_AUTO_TEST_CASE(SecondInRankPollsAnotherDataCentreToo) {
  const auto table = MakePeerTable(20, 2);
  const auto ranking = RankPeers(table, DataCentreId("a"), kNow);
  const auto sources = SourcesFor(table, ranking[1].id);
  BOOST_TEST_REQUIRE(sources.peers.size() == 2);
  BOOST_TEST(sources.peers[0].data_centre.text == "a");
  BOOST_TEST(sources.peers[1].data_centre.text != "a");
}

// The watcher is lost for good. The next in rank must take over once it has
// noticed.
BOOST_AUTO_TEST_CASE(NextInRankWatchesAfterALoss) {
  auto table = MakePeerTable(20, 2);
  const auto ranking = RankPeers(table, DataCentreId("a"), kNow);
  table.own = ranking[1].id;
  RecordUnresponsive(&table, ranking[0].id, kNow);
  BOOST_TEST(NormalSources(table, kNow).watch_store);
  BOOST_TEST(!NormalSources(table, kNow + Millis(2000)).watch_store);
  RecordResponse(&table, ranking[0].id);
  BOOST_TEST(!NormalSources(table, kNow).watch_store);
}

struct DelayRow {
  const char* what;
  size_t rank;
  double first;
  double later;
};

std::ostream& operator<<(std::ostream& out, const DelayRow& row) {
  return out << row.what;
}

const DelayRow kDelays[] = {
    {"second in rank", 1, 250, kMaxUpdateAge.count},
    {"third in rank", 2, 500, kMaxUpdateAge.count + 1000},
    {"fourth in rank", 3, 500, kMaxUpdateAge.count + 1000},
    {"eighth in rank", 7, 1000, kMaxUpdateAge.count + 3000},
    {"all others", 8, kNever.count, kNever.count},
};

// The store answers nobody: the load on it when it returns must be that of a
// few instances of each data centre.
BOOST_DATA_TEST_CASE(FewInstancesFallBackToTheStore, bdata::make(kDelays),
                     row) {
  auto table = MakePeerTable(20, 2);
  const auto ranking = RankPeers(table, DataCentreId("a"), kNow);
  table.own = ranking[row.rank].id;
  BOOST_TEST(StoreFallbackDelay(table, false, kNow).count == row.first);
  BOOST_TEST(StoreFallbackDelay(table, true, kNow).count == row.later);
}

// An instance whose peers are all unresponsive is the first in rank among those
// that it can reach, and must watch the store at once.
BOOST_AUTO_TEST_CASE(IsolatedInstanceWatchesTheStore) {
  auto table = MakePeerTable(20, 2);
  const auto ranking = RankPeers(table, DataCentreId("a"), kNow);
  table.own = ranking[19].id;
  for (const auto& [id, peer] : table.peers) {
    if (id != table.own) RecordUnresponsive(&table, id, kNow);
  }
  BOOST_TEST(CurrentSources(table, {Millis(0), Millis(900)}, kNow).watch_store);
}

// All instances start for the first time. The few whose entries are written
// first would assume a small fleet and all watch the store.
BOOST_AUTO_TEST_CASE(IncompleteListIsNoSmallFleet) {
  auto table = MakePeerTable(3);
  table.own = InstanceId("a1");
  UpdateState state{Millis(900), Millis(-1)};
  state.list_complete = false;
  const auto early = CurrentSources(table, state, kNow);
  BOOST_TEST(!early.watch_store);
  BOOST_TEST(early.peers.size() == 2);
  state.list_complete = true;
  BOOST_TEST(CurrentSources(table, state, kNow).watch_store);
}

// Failure: state is older than its bound in normal operation, or a watch does
// not wait at all.
BOOST_AUTO_TEST_CASE(WatchesWaitForAThirdOfTheAge) {
  BOOST_TEST(WatchWaitFor(Millis(3600000)).count == kWatchWait.count);
  BOOST_TEST(WatchWaitFor(Millis(1800)).count == 600);
  BOOST_TEST(WatchWaitFor(Millis(100)).count == 100);
  // A poll of a peer, and a lost reply of the store in between.
  const Millis wait = WatchWaitFor(Millis(5000));
  BOOST_TEST((wait * 2 + kPeerPollWait).count < 5000);
}

}  // namespace
}  // namespace hibiscuspick::engine
