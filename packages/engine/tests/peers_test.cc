#include "hibiscuspick/engine/peers.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "peer_table_fixture.h"

namespace hibiscuspick::engine {
namespace {

double Idle(const InstanceId&) { return 0; }

// If each of 460 instances listed all 460 every four seconds, they would read
// 10 MB/s from the store.
BOOST_AUTO_TEST_CASE(ListTrafficIsBoundedAtAnySize) {
  BOOST_TEST(ListInterval(6).count == 4000);
  BOOST_TEST(ListInterval(64).count == 4000);
  BOOST_TEST(ListInterval(460).count == 28750);
}

// If a few instances each send their own queries, these meet in the servers'
// queues, where an urgent part waits behind slow ones; see
// queueing_simulation_test.cc.
BOOST_AUTO_TEST_CASE(SmallFleetsHaveOneSenderPerDataCentre) {
  const auto table = MakePeerTable(3);
  const auto senders = FanOutSenders(table, kNow);
  std::set<DataCentreId> data_centres;
  for (const auto& it : senders) data_centres.insert(it.data_centre);
  BOOST_TEST(senders.size() == 3);
  BOOST_TEST(data_centres.size() == 3);
}

// The sender is lost: the next in rank must send as soon as that is noticed.
BOOST_AUTO_TEST_CASE(NextInRankSendsAfterALoss) {
  auto table = MakePeerTable(3);
  const auto ranking = RankPeers(table, DataCentreId("a"), kNow);
  RecordUnresponsive(&table, ranking[0].id, kNow);
  const auto senders = FanOutSenders(table, kNow);
  BOOST_TEST((senders[0].id == ranking[1].id));
}

// Many equal instances each send their own fan-outs, unless some are much more
// capable.
BOOST_AUTO_TEST_CASE(LargeUniformFleetsHaveNoSenders) {
  BOOST_TEST(FanOutSenders(MakePeerTable(20), kNow).empty());
  BOOST_TEST(FanOutSenders(MakePeerTable(20, 2), kNow).size() == 6);
}

// No data centre is known to have servers of the shards. A sender that handed
// the query to itself would add a useless hop, again and again.
BOOST_AUTO_TEST_CASE(NoSenderHandsAQueryToItself) {
  const auto table = MakePeerTable(3);
  const auto senders = FanOutSenders(table, kNow);
  for (size_t turn = 0; turn < 6; ++turn) {
    for (const auto& own : senders) {
      const auto* chosen =
          ChooseSender(senders, own, {DataCentreId("nowhere")}, turn, Idle);
      BOOST_TEST((chosen == nullptr || chosen->id != own.id));
    }
  }
}

// A query that arrives in a data centre without servers of its shards is handed
// to one that has them, so that instead of 90 parts only their merge crosses
// between data centres.
BOOST_AUTO_TEST_CASE(SendersNearTheServersArePreferred) {
  const auto table = MakePeerTable(20, 2);
  const auto senders = FanOutSenders(table, kNow);
  const auto& weak_a = table.peers.at(InstanceId("a9"));
  const auto first = RankPeers(table, DataCentreId("a"), kNow)[0];
  const std::vector<DataCentreId> everywhere;
  const std::vector<DataCentreId> not_a = {DataCentreId("b"),
                                           DataCentreId("c")};
  std::set<DataCentreId> used;
  for (size_t turn = 0; turn < 4; ++turn) {
    const auto* sender = ChooseSender(senders, weak_a, everywhere, turn, Idle);
    BOOST_TEST_REQUIRE(sender);
    BOOST_TEST((sender->id == first.id));
    used.insert(ChooseSender(senders, weak_a, not_a, turn, Idle)->data_centre);
  }
  BOOST_TEST((used == std::set(not_a.begin(), not_a.end())));
  BOOST_TEST(!ChooseSender(senders, first, everywhere, 0, Idle));
  BOOST_TEST(ChooseSender(senders, first, not_a, 0, Idle));
  BOOST_TEST(!ChooseSender({}, weak_a, everywhere, 0, Idle));
}

// If three capable instances share the queries of a data centre, they notice a
// server's pause only when it is over. If one gets all queries, it may in the
// end get more than it can handle.
BOOST_AUTO_TEST_CASE(PrimarySenderGetsAllUntilItIsBusy) {
  const auto table = MakePeerTable(20, 3);
  const auto senders = FanOutSenders(table, kNow);
  const auto ranking = RankPeers(table, DataCentreId("a"), kNow);
  const auto& weak = table.peers.at(InstanceId("a9"));
  std::map<InstanceId, double> utilisation;
  const auto share = [&](const InstanceId& it) { return utilisation[it]; };
  const auto chosen = [&] {
    return ChooseSender(senders, weak, {}, 3, share)->id;
  };
  BOOST_TEST((chosen() == ranking[0].id));
  BOOST_TEST(
      (ChooseSender(senders, ranking[1], {}, 3, share)->id == ranking[0].id));
  utilisation[ranking[0].id] = 0.6;
  BOOST_TEST((chosen() == ranking[1].id));
  BOOST_TEST(!ChooseSender(senders, ranking[1], {}, 3, share));
  utilisation[ranking[1].id] = 0.9;
  utilisation[ranking[2].id] = 0.7;
  BOOST_TEST((chosen() == ranking[0].id));
}

// Each part from another data centre costs traffic. Shards that have a local
// server must not be relayed, the others in as few groups as possible.
BOOST_AUTO_TEST_CASE(RelaysCoverShardsWithoutLocalServers) {
  const DataCentreId a("a");
  const DataCentreId b("b");
  const DataCentreId c("c");
  const std::vector<std::vector<DataCentreId>> data_centres = {
      {a, b}, {b, c}, {b}, {b, c}, {c, a}, {c}, {c}, {c}, {}};
  const auto all = GroupRelays(data_centres, a, [](auto&) { return true; });
  BOOST_TEST_REQUIRE(all.size() == 1);
  BOOST_TEST((all[0].data_centre == c));
  BOOST_TEST((all[0].shards == std::vector<size_t>{1, 3, 5, 6, 7}));
  const auto only_b =
      GroupRelays(data_centres, a, [&](auto& it) { return it == b; });
  BOOST_TEST_REQUIRE(only_b.size() == 1);
  BOOST_TEST((only_b[0].shards == std::vector<size_t>{1, 2, 3}));
  BOOST_TEST(GroupRelays(data_centres, a, [](auto&) { return false; }).empty());
}

// Servers in another data centre are overloaded. The relaying instance can't
// see that, and all its callers would get answers without the same shards until
// it sends the parts itself.
BOOST_AUTO_TEST_CASE(RelaysStopWhenPartsAreMissing) {
  RelayHealth health;
  for (int i = 0; i < 100; ++i) {
    RecordRelay(&health, i % 3 == 0 ? 1.0 / 7 : 0, Millis(i));
  }
  BOOST_TEST(health.backoff_until.count < 0);
  for (int i = 0; i < 4; ++i) RecordRelay(&health, 0.5, Millis(200));
  BOOST_TEST(health.backoff_until.count == 2200);
}

// Failure: a query of a route that is restricted to some data centres is handed
// to an instance in another one.
BOOST_AUTO_TEST_CASE(SendersOutsideAllowedDataCentresGetNothing) {
  const auto senders = FanOutSenders(MakePeerTable(3), kNow);
  const AllowedDataCentres homes = std::set<DataCentreId>{DataCentreId("b")};
  const auto allowed = AllowedSenders(senders, homes);
  BOOST_TEST_REQUIRE(allowed.size() == 1);
  BOOST_TEST((allowed[0].data_centre == DataCentreId("b")));
  BOOST_TEST(AllowedSenders(senders, {}).size() == senders.size());
}

}  // namespace
}  // namespace hibiscuspick::engine
