#include "hibiscuspick/membership/placement.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace data = boost::unit_test::data;
using hibiscuspick::DataCentreId;
using hibiscuspick::InstanceId;
using hibiscuspick::ServiceId;
using hibiscuspick::membership::MembershipView;
using hibiscuspick::membership::OwnersFor;
using hibiscuspick::membership::Phase;
using hibiscuspick::membership::Placement;
using hibiscuspick::membership::PlacementChange;
using hibiscuspick::membership::PlacementChanges;
using hibiscuspick::membership::PlacementOf;
using hibiscuspick::settings::Service;

namespace {

constexpr int kServices = 200;

void Add(MembershipView* view, const std::string& id,
         const std::string& data_centre, Phase phase = Phase::kServing) {
  auto& member = view->members[InstanceId(id)];
  member.id = InstanceId(id);
  member.data_centre = DataCentreId(data_centre);
  member.phase = phase;
}

// Three data centres with three instances each: "a1" … "c3".
MembershipView ThreeByThree() {
  MembershipView view;
  for (const char* data_centre : {"a", "b", "c"}) {
    for (const char* n : {"1", "2", "3"}) {
      Add(&view, std::string(data_centre) + n, data_centre);
    }
  }
  return view;
}

std::vector<DataCentreId> In(const std::vector<std::string>& names) {
  std::vector<DataCentreId> ids;
  for (const auto& it : names) ids.emplace_back(it);
  return ids;
}

std::vector<Service> ManyServices() {
  std::vector<Service> services;
  for (int i = 0; i < kServices; ++i) {
    Service service;
    service.id = ServiceId("service-" + std::to_string(i));
    service.backend_servers.resize(2);
    for (auto& it : service.backend_servers) {
      it.data_centre = DataCentreId("a");
    }
    services.push_back(std::move(service));
  }
  return services;
}

char DataCentreOf(const InstanceId& id) { return id.text.at(0); }

struct OwnerCase {
  std::string name;
  std::vector<std::string> servers;
  std::string data_centres;
};
std::ostream& operator<<(std::ostream& out, const OwnerCase& it) {
  return out << it.name;
}

const OwnerCase kOwnerCases[] = {
    {"one data centre", {"b", "b"}, "bb"},
    {"most servers first", {"a", "c", "c"}, "ccaa"},
    {"ties by name", {"c", "b"}, "bbcc"},
    {"all three", {"c", "b", "a", "b"}, "bbaacc"},
};

}  // namespace

BOOST_DATA_TEST_CASE(owners_are_in_the_servers_data_centres,
                     data::make(kOwnerCases), it) {
  const auto owners =
      OwnersFor(ServiceId("claims"), In(it.servers), ThreeByThree());
  std::string found;
  for (const auto& id : owners) found += DataCentreOf(id);
  BOOST_TEST(found == it.data_centres);
}

BOOST_AUTO_TEST_CASE(a_removed_member_moves_only_its_own_services) {
  const auto services = ManyServices();
  auto view = ThreeByThree();
  const auto before = PlacementOf(services, view);
  view.members.erase(InstanceId("a2"));
  const auto after = PlacementOf(services, view);
  int owned = 0;
  for (const auto& [service, owners] : before) {
    const bool was_owner = owners.front() == InstanceId("a2");
    if (was_owner) ++owned;
    BOOST_TEST((owners.front() != after.at(service).front()) == was_owner);
    // The second candidate takes over, which all instances ask next anyway.
    if (was_owner) BOOST_TEST((after.at(service).front() == owners.at(1)));
  }
  BOOST_TEST(owned > kServices / 6);
  BOOST_TEST(owned < kServices / 2);
  const auto changes = PlacementChanges(before, after);
  BOOST_TEST(changes.size() == static_cast<size_t>(owned));
  for (const auto& it : changes) BOOST_TEST((it.from == InstanceId("a2")));
}

BOOST_AUTO_TEST_CASE(only_serving_members_own_services) {
  auto view = ThreeByThree();
  view.members[InstanceId("a1")].phase = Phase::kLeaving;
  view.members[InstanceId("a2")].phase = Phase::kStarting;
  for (const auto& [service, owners] : PlacementOf(ManyServices(), view)) {
    BOOST_TEST((owners == std::vector{InstanceId("a3")}));
  }
}

BOOST_AUTO_TEST_CASE(suspects_are_last) {
  auto view = ThreeByThree();
  view.members[InstanceId("a1")].suspect = true;
  for (const auto& [service, owners] : PlacementOf(ManyServices(), view)) {
    BOOST_TEST((owners.front() != InstanceId("a1")));
  }
}

// A data centre loses all of its instances while its backend servers keep
// running.
BOOST_AUTO_TEST_CASE(remote_members_own_services_without_local_ones) {
  auto view = ThreeByThree();
  for (const char* id : {"a1", "a2", "a3"}) view.members.erase(InstanceId(id));
  BOOST_TEST(OwnersFor(ServiceId("x"), In({"a"}), view).size() == 2U);
  BOOST_TEST(OwnersFor(ServiceId("x"), In({"a"}), MembershipView()).empty());
}

BOOST_AUTO_TEST_CASE(changes_include_new_and_removed_services) {
  const InstanceId a("a1");
  const Placement before{{ServiceId("old"), {a}}};
  const Placement after{{ServiceId("new"), {a}}};
  const std::vector<PlacementChange> expected{{ServiceId("new"), {}, a},
                                              {ServiceId("old"), a, {}}};
  BOOST_TEST((PlacementChanges(before, after) == expected));
}
