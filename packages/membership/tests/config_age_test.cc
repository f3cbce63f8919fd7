#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "hibiscuspick/membership/control_core.h"

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
namespace hpm = hibiscuspick::membership;

namespace {

hpm::MemberState Member(const std::string& name, uint16_t port) {
  hpm::MemberState state;
  state.id = hp::InstanceId(name);
  state.data_centre = hp::DataCentreId("dc-1");
  state.inner = {"127.0.0.1", port};
  state.incarnation = hp::Incarnation(1);
  return state;
}

struct AgeCase {
  std::string name;
  uint64_t own_revision;
  uint64_t sender_revision;
  std::optional<double> sender_age;
  // Expected local time of the confirmation; none if there is none.
  std::optional<double> confirmed;
};
std::ostream& operator<<(std::ostream& out, const AgeCase& it) {
  return out << it.name;
}

// All digests arrive at local time 1000.
const AgeCase kAges[] = {
    {"the same configuration", 7, 7, 300.0, 700.0},
    {"a newer one here", 9, 7, 300.0, 700.0},
    {"an older one here", 5, 7, 300.0, std::nullopt},
    {"unconfirmed", 7, 7, std::nullopt, std::nullopt},
    {"a time in the future", 7, 7, -5.0, std::nullopt},
};

}  // namespace

// Guards against taking the age of a configuration that this instance does not
// have yet: an instance that does not watch the platform relies on the age that
// a watcher reports, and its answers would claim to be fresher than they are.
BOOST_DATA_TEST_CASE(age_of_another_configuration_is_ignored, data::make(kAges),
                     it) {
  auto state = hpm::StartControl(Member("a", 1), {}, {});
  state.config.complete_to = hp::Revision(it.own_revision);
  hp::Random random(1);
  hpm::Digest digest;
  digest.sender = Member("b", 2);
  digest.config_complete_to = hp::Revision(it.sender_revision);
  if (it.sender_age) digest.config_age = hp::Millis(*it.sender_age);
  hpm::Step(&state, hpm::MessageFrom{digest.sender.id, digest},
            hp::Millis(1000), &random);
  BOOST_TEST(state.config_confirmed.has_value() == it.confirmed.has_value());
  if (it.confirmed && state.config_confirmed) {
    BOOST_TEST(state.config_confirmed->count == *it.confirmed);
  }
}

BOOST_AUTO_TEST_CASE(older_confirmation_does_not_replace_newer) {
  auto state = hpm::StartControl(Member("a", 1), {}, {});
  state.config.complete_to = hp::Revision(7);
  hp::Random random(1);
  for (const double age : {100.0, 500.0}) {
    hpm::Digest digest;
    digest.sender = Member("b", 2);
    digest.config_complete_to = hp::Revision(7);
    digest.config_age = hp::Millis(age);
    hpm::Step(&state, hpm::MessageFrom{digest.sender.id, digest},
              hp::Millis(1000), &random);
  }
  BOOST_TEST(state.config_confirmed->count == 900);
}
