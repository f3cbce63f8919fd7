#include "hibiscuspick/engine/config_source.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

Peer MakePeer(const std::string& id, const std::string& data_centre) {
  Peer peer;
  peer.id = InstanceId(id);
  peer.data_centre = DataCentreId(data_centre);
  return peer;
}

const Peer kOwn = MakePeer("own", "a");

struct Choice {
  const char* name;
  std::vector<ConfigAnnouncement> announced;
  std::vector<const char*> failed;
  // Empty for none.
  const char* chosen;
};

std::ostream& operator<<(std::ostream& out, const Choice& it) {
  return out << it.name;
}

const std::vector<Choice> kChoices = {
    {"nothing announced", {}, {}, ""},
    {"nothing newer", {{MakePeer("p", "a"), 7}}, {}, ""},
    {"the newest", {{MakePeer("p", "a"), 8}, {MakePeer("q", "a"), 9}}, {}, "q"},
    {"the own data centre",
     {{MakePeer("p", "b"), 9}, {MakePeer("q", "a"), 9}},
     {},
     "q"},
    {"not one that failed, even if it is newer and near",
     {{MakePeer("p", "b"), 8}, {MakePeer("q", "a"), 9}},
     {"q"},
     "p"},
    {"the only one again although it failed",
     {{MakePeer("q", "a"), 9}},
     {"q", "q"},
     "q"},
    {"the one that failed less often",
     {{MakePeer("p", "a"), 9}, {MakePeer("q", "a"), 9}},
     {"p", "q", "q"},
     "p"},
};

BOOST_DATA_TEST_CASE(SourceOfTheConfiguration, bdata::make(kChoices), choice) {
  ConfigTransferFailures failures;
  for (const char* it : choice.failed) {
    RecordConfigTransferFailure(&failures, InstanceId(it));
  }
  const auto* source = ChooseConfigSource(choice.announced, 7, kOwn, failures);
  BOOST_TEST((source ? source->peer.id.text : "") == choice.chosen);
}

// Failure: the link of one peer limits the transfers to a whole data centre.
BOOST_AUTO_TEST_CASE(InstancesSpreadOverTheirSources) {
  const std::vector<ConfigAnnouncement> announced = {{MakePeer("p", "a"), 9},
                                                     {MakePeer("q", "a"), 9}};
  std::set<std::string> chosen;
  for (int i = 0; i < 20; ++i) {
    const Peer own = MakePeer("own-" + std::to_string(i), "a");
    chosen.insert(ChooseConfigSource(announced, 7, own, {})->peer.id.text);
  }
  BOOST_TEST(chosen.size() == 2);
}

// Failure: a link that needs longer than the limit never completes a transfer.
BOOST_AUTO_TEST_CASE(TransferLimitGrowsWithFailures) {
  ConfigTransferFailures failures;
  Millis last;
  for (int i = 0; i < 4; ++i) {
    const Millis limit = ConfigTransferLimit(failures);
    BOOST_TEST(limit.count >= 2 * last.count);
    last = limit;
    RecordConfigTransferFailure(&failures, InstanceId("p"));
  }
  BOOST_TEST(last.count > 10000);
}

// Failure: an old configuration counts as confirmed because of a newer one.
BOOST_AUTO_TEST_CASE(AnnouncementsDoNotConfirmAnOlderConfiguration) {
  const std::vector<ConfigAnnouncement> announced = {
      {MakePeer("p", "a"), 7, Millis(100)},
      {MakePeer("q", "a"), 9, Millis(900)}};
  BOOST_TEST(LastConfirmation(announced, 6).count < 0);
  BOOST_TEST(LastConfirmation(announced, 7).count == 100);
  BOOST_TEST(LastConfirmation(announced, 9).count == 900);
}

}  // namespace
}  // namespace hibiscuspick::engine
