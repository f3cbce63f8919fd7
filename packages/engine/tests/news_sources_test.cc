#include "hibiscuspick/engine/news_sources.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>

#include "fleet_table.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

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

// The store refuses one instance and serves the others. The instance polls a
// peer of its own data centre and one of another, so that one remains if a data
// centre is cut off or an instance is lost.
BOOST_AUTO_TEST_CASE(HelpersAreHereAndElsewhere) {
  auto table = Fleet(2);
  table.own = InstanceId("a1");
  const auto helpers = HelpersOf(table, kNow);
  BOOST_TEST_REQUIRE(helpers.size() == 2);
  BOOST_TEST(helpers[0].data_centre.text == "b");
  BOOST_TEST(helpers[1].id.text == "a0");
  BOOST_TEST(HelpersOf(PeerTable(), kNow).empty());
}

// Each watching instance costs the store a few calls per second.
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

// The watcher is cut off from the store without knowing it. Its data centre
// must still get updates, through its second instance, which also polls another
// data centre.
BOOST_AUTO_TEST_CASE(SecondInstanceAsksElsewhereToo) {
  const auto table = Fleet(20, 2);
  const auto ranking = Ranking(table, DataCentreId("a"), kNow);
  const auto sources = SourcesAs(table, ranking[1].id);
  BOOST_TEST_REQUIRE(sources.peers.size() == 2);
  BOOST_TEST(sources.peers[0].data_centre.text == "a");
  BOOST_TEST(sources.peers[1].data_centre.text != "a");
}

// The watcher is lost for good. The next in rank must take over once it has
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

struct PatienceRow {
  const char* what;
  size_t rank;
  double first;
  double later;
};

std::ostream& operator<<(std::ostream& out, const PatienceRow& row) {
  return out << row.what;
}

const PatienceRow kPatience[] = {
    {"second in rank", 1, 250, kOldestNews.count},
    {"third in rank", 2, 500, kOldestNews.count + 1000},
    {"fourth in rank", 3, 500, kOldestNews.count + 1000},
    {"eighth in rank", 7, 1000, kOldestNews.count + 3000},
    {"all others", 8, kNever.count, kNever.count},
};

// The store answers nobody: the load on it when it returns must be that of a
// few instances of each data centre.
BOOST_DATA_TEST_CASE(FewLosePatience, bdata::make(kPatience), row) {
  auto table = Fleet(20, 2);
  const auto ranking = Ranking(table, DataCentreId("a"), kNow);
  table.own = ranking[row.rank].id;
  BOOST_TEST(PatienceOf(table, false, kNow).count == row.first);
  BOOST_TEST(PatienceOf(table, true, kNow).count == row.later);
}

// An instance whose peers are all unresponsive is the first in rank among those
// that it can reach, and must watch the store at once.
BOOST_AUTO_TEST_CASE(WhoHearsNobodyAsksTheStore) {
  auto table = Fleet(20, 2);
  const auto ranking = Ranking(table, DataCentreId("a"), kNow);
  table.own = ranking[19].id;
  for (const auto& [id, peer] : table.peers) {
    if (id != table.own) NoteSilent(&table, id, kNow);
  }
  BOOST_TEST(SourcesNow(table, {Millis(0), Millis(900)}, kNow).store);
}

// All instances start for the first time. The few whose entries are written
// first would assume a small fleet and all watch the store.
BOOST_AUTO_TEST_CASE(FirstListsNameAFew) {
  auto table = Fleet(3);
  table.own = InstanceId("a1");
  NewsState state{Millis(900), Millis(-1)};
  state.list_is_whole = false;
  const auto early = SourcesNow(table, state, kNow);
  BOOST_TEST(!early.store);
  BOOST_TEST(early.peers.size() == 2);
  state.list_is_whole = true;
  BOOST_TEST(SourcesNow(table, state, kNow).store);
}

}  // namespace
}  // namespace hibiscuspick::engine
