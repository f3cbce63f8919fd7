// Simulated clusters of control cores under message loss, partitions, pauses
// and restarts.
#include "fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace data = boost::unit_test::data;
using hibiscuspick::BackendServerId;
using hibiscuspick::Incarnation;
using hibiscuspick::kNever;
using hibiscuspick::Millis;
using hibiscuspick::Revision;
using hibiscuspick::membership::DrainReport;
using hibiscuspick::membership::IsConfigured;
using hibiscuspick::membership::IsDraining;
using hibiscuspick::membership::LocalDrain;
using hibiscuspick::membership::testing::Fleet;
using hibiscuspick::membership::testing::SimulatedNode;

namespace {

constexpr Millis kMinute{60000};
constexpr uint64_t kSeeds[] = {1, 2, 3};

// Starts three data centres and waits until all members know each other and
// have the same configuration.
void StartFleet(Fleet* fleet, size_t per_data_centre) {
  fleet->WriteAtPlatform("services/claims", "1");
  fleet->AddMany(3, per_data_centre);
  const auto ready = [&] {
    return fleet->Converged() && fleet->ConfigAgrees();
  };
  BOOST_REQUIRE((fleet->RunUntil(ready, kMinute) != kNever));
}

void Cut(Fleet* fleet, const std::string& data_centre) {
  fleet->cut = [data_centre](const auto& a, const auto& b) {
    return (a.self.data_centre.text == data_centre) !=
           (b.self.data_centre.text == data_centre);
  };
}

}  // namespace

BOOST_DATA_TEST_CASE(new_cluster_converges, data::make(kSeeds), seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 12);
  size_t watchers = 0;
  for (const auto& [id, it] : fleet.nodes()) watchers += it->watching ? 1 : 0;
  fleet.RunFor(Millis(5000));
  watchers = 0;
  for (const auto& [id, it] : fleet.nodes()) watchers += it->watching ? 1 : 0;
  BOOST_TEST(watchers == 6U);
}

// Messages are lost, and instances are paused, killed and restarted while
// operators write. No instance's configuration may go back to a lower version,
// and all must converge to the same one.
BOOST_DATA_TEST_CASE(configuration_never_goes_back, data::make(kSeeds), seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  fleet.loss = 0.2;
  std::vector<SimulatedNode*> nodes;
  for (auto& [id, it] : fleet.nodes()) nodes.push_back(it.get());
  const auto any = [&] { return nodes[fleet.random().Below(nodes.size())]; };
  for (int i = 0; i < 60; ++i) {
    auto* writer = any();
    if (writer->alive && IsConfigured(writer->control)) {
      fleet.Write(writer, "routes/" + std::to_string(i % 7), std::to_string(i));
    }
    auto* paused = any();
    auto* killed = any();
    fleet.Pause(paused);
    if (killed != paused) fleet.Kill(killed);
    fleet.RunFor(Millis(1500));
    fleet.Wake(paused);
    if (!killed->alive) fleet.Start(killed);
    fleet.RunFor(Millis(1500));
  }
  fleet.loss = 0;
  const auto healed = [&] { return fleet.Converged() && fleet.ConfigAgrees(); };
  BOOST_TEST((fleet.RunUntil(healed, kMinute) != kNever));
  BOOST_TEST(fleet.NeverRegressed());
}

// A data centre is cut off for five minutes, and changes are made on both
// sides. Afterwards its instances must no longer be suspect, and all instances
// must have the newest version of every object.
BOOST_DATA_TEST_CASE(partitioned_data_centre_recovers, data::make(kSeeds),
                     seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  Cut(&fleet, "d2");
  fleet.Write(&fleet.at("d0-0"), "routes/a", "outside");
  fleet.RunFor(kMinute * 5);
  const auto& inside = *fleet.at("d2-0").view;
  BOOST_TEST(inside.members.size() == 30U);
  BOOST_TEST(inside.members.at(fleet.at("d0-0").self.id).suspect);
  BOOST_TEST(!inside.members.at(fleet.at("d2-1").self.id).suspect);
  fleet.Write(&fleet.at("d2-0"), "routes/b", "inside");
  fleet.cut = nullptr;
  const auto healed = [&] { return fleet.Converged() && fleet.ConfigAgrees(); };
  BOOST_TEST((fleet.RunUntil(healed, kMinute) != kNever));
  BOOST_TEST(fleet.NeverRegressed());
}

// A switch failure splits a data centre for so long that each half considers
// the other gone. Without contacts to gone members the halves would never merge
// again.
BOOST_DATA_TEST_CASE(halves_of_a_split_data_centre_merge, data::make(kSeeds),
                     seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  fleet.list_up = false;
  fleet.cut = [](const auto& a, const auto& b) {
    const auto half = [](const auto& it) {
      return it.self.id.text.back() < '5';
    };
    return half(a) != half(b);
  };
  fleet.RunFor(kMinute * 3);
  BOOST_TEST(!fleet.Converged());
  fleet.cut = nullptr;
  BOOST_TEST(
      (fleet.RunUntil([&] { return fleet.Converged(); }, kMinute) != kNever));
}

// One direction of an instance's link fails: it receives messages, but none of
// its own arrive. After the repair it must become a member again.
BOOST_DATA_TEST_CASE(one_way_partition_recovers, data::make(kSeeds), seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  const auto muted = fleet.at("d0-3").self.id;
  fleet.cut = [muted](const auto& a, const auto&) {
    return a.self.id == muted;
  };
  fleet.RunFor(kMinute);
  BOOST_TEST(!fleet.at("d0-4").view->members.contains(muted));
  fleet.cut = nullptr;
  BOOST_TEST(
      (fleet.RunUntil([&] { return fleet.Converged(); }, kMinute) != kNever));
}

// An instance is paused for two minutes, considered gone, and its connections
// are reset. When it resumes, it must not report the others as gone, which
// appear silent to it, and must become a member again.
BOOST_DATA_TEST_CASE(paused_instance_resumes, data::make(kSeeds), seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  auto& paused = fleet.at("d1-2");
  fleet.Pause(&paused);
  fleet.RunFor(kMinute * 2);
  BOOST_TEST(!fleet.at("d1-0").view->members.contains(paused.self.id));
  paused.pending_messages.clear();
  fleet.Wake(&paused);
  BOOST_TEST(
      (fleet.RunUntil([&] { return fleet.Converged(); }, kMinute) != kNever));
  BOOST_TEST(paused.false_deaths == 0U);
  BOOST_TEST(!paused.regressed);
}

// A backend server reports that it is draining while messages are lost. All
// instances must know within seconds, or it gets requests after it was promised
// none.
BOOST_DATA_TEST_CASE(drain_reaches_all_instances_in_seconds, data::make(kSeeds),
                     seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 20);
  fleet.loss = 0.1;
  const BackendServerId server("b7");
  const DrainReport report{server, Incarnation(1), 0, true};
  fleet.Feed(&fleet.at("d0-0"), LocalDrain{report});
  const auto known = [&] {
    return fleet.All(
        [&](const auto& it) { return IsDraining(*it.view, server); });
  };
  BOOST_TEST((fleet.RunUntil(known, Millis(10000)) != kNever));
  // A later report from an instance that does not know the drain yet changes
  // nothing.
  fleet.Feed(&fleet.at("d1-0"), LocalDrain{{server, Incarnation(1), 0, false}});
  fleet.RunFor(Millis(5000));
  BOOST_TEST(known());
}

// Guards against changes that are spread by digests alone, which takes seconds,
// so that a draining server gets requests until then. Most instances must get a
// change by push.
BOOST_DATA_TEST_CASE(most_instances_get_changes_by_push, data::make(kSeeds),
                     seed) {
  constexpr Millis kPush{100};
  Fleet fleet(seed);
  StartFleet(&fleet, 20);
  const BackendServerId server("b7");
  fleet.Feed(&fleet.at("d0-0"), LocalDrain{{server, Incarnation(1), 0, true}});
  fleet.Write(&fleet.at("d1-0"), "routes/a", "new");
  fleet.RunFor(kPush);
  int drains = 0;
  int routes = 0;
  for (const auto& [id, it] : fleet.nodes()) {
    drains += IsDraining(*it->view, server) ? 1 : 0;
    routes += it->versions.contains("routes/a") ? 1 : 0;
  }
  BOOST_TEST(drains > 48);
  BOOST_TEST(routes > 48);
}

// All instances are replaced one after another while the platform is down. Each
// must get the configuration from its peers.
BOOST_DATA_TEST_CASE(rolling_replacement_keeps_the_configuration,
                     data::make(kSeeds), seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  fleet.Write(&fleet.at("d0-0"), "routes/a", "newest");
  fleet.RunFor(Millis(5000));
  fleet.platform_up = false;
  for (auto& [id, it] : fleet.nodes()) {
    fleet.Kill(it.get());
    fleet.RunFor(Millis(200));
    fleet.Start(it.get());
    const auto ready = [&node = *it] { return IsConfigured(node.control); };
    BOOST_REQUIRE((fleet.RunUntil(ready, kMinute) != kNever));
  }
  const auto healed = [&] { return fleet.Converged() && fleet.ConfigAgrees(); };
  BOOST_TEST((fleet.RunUntil(healed, kMinute) != kNever));
}

// All instances are replaced at once while the platform is down. No instance
// has a configuration, and none may report itself ready.
BOOST_AUTO_TEST_CASE(simultaneous_replacement_without_platform_is_not_ready) {
  Fleet fleet(1);
  StartFleet(&fleet, 10);
  fleet.platform_up = false;
  for (auto& [id, it] : fleet.nodes()) fleet.Kill(it.get());
  for (auto& [id, it] : fleet.nodes()) fleet.Start(it.get());
  fleet.RunFor(kMinute);
  BOOST_TEST(
      fleet.All([](const auto& it) { return !IsConfigured(it.control); }));
  fleet.platform_up = true;
  const auto ready = [&] { return fleet.ConfigAgrees(); };
  BOOST_TEST((fleet.RunUntil(ready, kMinute) != kNever));
}

// The platform fails and recovers. Most instances never call it, yet each must
// know how old its configuration is, since its answers say so.
BOOST_DATA_TEST_CASE(all_instances_know_the_configuration_age,
                     data::make(kSeeds), seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  const auto all_within = [&](Millis least, Millis most) {
    return fleet.All([&](const auto& it) {
      const auto& confirmed = it.control.config_confirmed;
      if (!confirmed) return false;
      const Millis age = fleet.now() - *confirmed;
      return age >= least && age <= most;
    });
  };
  fleet.RunFor(kMinute);
  BOOST_TEST(all_within(Millis(0), Millis(8000)));
  fleet.platform_up = false;
  fleet.RunFor(kMinute * 2);
  BOOST_TEST(all_within(kMinute * 1.9, kMinute * 2.2));
  fleet.platform_up = true;
  fleet.RunFor(Millis(10000));
  BOOST_TEST(all_within(Millis(0), Millis(8000)));
}

// The two instances that watch the platform are killed. Others must take over,
// or changes made elsewhere would never arrive.
BOOST_DATA_TEST_CASE(watch_fails_over, data::make(kSeeds), seed) {
  Fleet fleet(seed);
  StartFleet(&fleet, 10);
  fleet.RunFor(Millis(5000));
  for (auto& [id, it] : fleet.nodes()) {
    if (it->watching) fleet.Kill(it.get());
  }
  fleet.RunFor(Millis(5000));
  fleet.WriteAtPlatform("routes/a", "written elsewhere");
  const auto known = [&] { return fleet.ConfigAgrees(); };
  BOOST_TEST((fleet.RunUntil(known, Millis(20000)) != kNever));
}
