#include "hibiscuspick/inner/wire.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "inner_types.h"
#include "mesh_fixture.h"

namespace data = boost::unit_test::data;
namespace wire = hibiscuspick::inner::wire;
using hibiscuspick::BackendServerId;
using hibiscuspick::Code;
using hibiscuspick::DataCentreId;
using hibiscuspick::Incarnation;
using hibiscuspick::InstanceId;
using hibiscuspick::Lane;
using hibiscuspick::Millis;
using hibiscuspick::Ran;
using hibiscuspick::Revision;
using hibiscuspick::inner::FromWire;
using hibiscuspick::inner::Message;
using hibiscuspick::inner::PartOutcomes;
using hibiscuspick::inner::ToWire;
using hibiscuspick::inner::WireSize;
using hibiscuspick::inner::testing::MakePart;
using hibiscuspick::limits::PartRequest;
using hibiscuspick::membership::Digest;
using hibiscuspick::membership::MembershipDelta;
using hibiscuspick::membership::MemberState;
using hibiscuspick::membership::Phase;
using hibiscuspick::settings::ConfigDelta;

namespace {

MemberState MakeMember(const std::string& id) {
  MemberState state;
  state.id = InstanceId(id);
  state.data_centre = DataCentreId("oslo-1");
  state.inner = {"10.20.30.40", 8201};
  state.incarnation = Incarnation(1796000000000);
  state.refutations = 2;
  state.phase = Phase::kLeaving;
  state.heartbeat = 77;
  return state;
}

// The digest of an instance in a fleet of 66 in one of 7 data centres.
Digest MakeDigest() {
  constexpr size_t kMembers = 66;
  constexpr size_t kDataCentres = 6;
  Digest digest;
  digest.sender = MakeMember("oslo-1-i001");
  digest.config_complete_to = Revision(5);
  digest.config_newest = Revision(6);
  digest.config_hash = ~uint64_t{0};
  digest.reply_wanted = true;
  digest.member_buckets.assign(64, 0xffffffffU);
  digest.server_buckets.assign(16, 1);
  digest.heartbeat_keys.assign(kMembers, ~uint64_t{0});
  digest.heartbeats.assign(kMembers, 9);
  digest.data_centres.assign(kDataCentres,
                             {DataCentreId("oslo-2"), Millis(12.5)});
  digest.config_age = Millis(1500);
  return digest;
}

MembershipDelta MakeDelta() {
  MembershipDelta delta;
  delta.members.push_back(MakeMember("oslo-1-i002"));
  delta.servers.push_back({BackendServerId("b1"), Incarnation(3), 1, true});
  delta.pass_on = true;
  return delta;
}

template <class T>
T Across(const T& value) {
  const auto result = FromWire(ToWire(Message(value)));
  BOOST_REQUIRE(result.has_value());
  return std::get<T>(*result);
}

struct SizeCase {
  std::string name;
  Message message;
  size_t max;
};
std::ostream& operator<<(std::ostream& out, const SizeCase& it) {
  return out << it.name;
}

// The message sizes that a daemon's network traffic is estimated with.
const SizeCase kSizes[] = {
    {"a digest at 66 members", MakeDigest(), 1500},
    {"news of one member and one server", MakeDelta(), 200},
    {"a watermark alone", ConfigDelta{Revision(1), Revision(2), {}}, 40},
};

}  // namespace

BOOST_DATA_TEST_CASE(control_messages_stay_small, data::make(kSizes), it) {
  BOOST_TEST(WireSize(it.message) <= it.max);
}

BOOST_AUTO_TEST_CASE(gossip_survives_a_round_trip) {
  const auto digest = Across(MakeDigest());
  const auto sent = MakeDigest();
  BOOST_TEST((digest.sender == sent.sender));
  BOOST_TEST(digest.reply_wanted);
  BOOST_TEST((digest.config_complete_to == sent.config_complete_to));
  BOOST_TEST((digest.config_newest == sent.config_newest));
  BOOST_TEST(digest.config_hash == sent.config_hash);
  BOOST_TEST(digest.member_buckets == sent.member_buckets);
  BOOST_TEST(digest.server_buckets == sent.server_buckets);
  BOOST_TEST(digest.heartbeat_keys == sent.heartbeat_keys);
  BOOST_TEST(digest.heartbeats == sent.heartbeats);
  BOOST_TEST(digest.data_centres.at(5).age.count == 12.5);
  BOOST_TEST((digest.config_age == Millis(1500)));
  const auto members_delta = Across(MakeDelta());
  BOOST_TEST((members_delta.members == MakeDelta().members));
  BOOST_TEST((members_delta.servers == MakeDelta().servers));
  BOOST_TEST(members_delta.pass_on);
  const ConfigDelta delta{
      Revision(1), Revision(9), {{"routes/a", Revision(4), "{}"}}};
  const auto config = Across(delta);
  BOOST_TEST((config.after == delta.after));
  BOOST_TEST((config.complete_to == delta.complete_to));
  BOOST_TEST((config.objects == delta.objects));
}

BOOST_AUTO_TEST_CASE(work_survives_a_round_trip) {
  const auto sent = MakePart(5);
  const auto part = Across(sent);
  BOOST_TEST((part.origin == sent.origin));
  BOOST_TEST((part.customer == sent.customer));
  BOOST_TEST((part.route == sent.route));
  BOOST_TEST((part.lane == sent.lane));
  BOOST_TEST((part.version == sent.version));
  BOOST_TEST(part.limit == sent.limit);
  BOOST_TEST(part.query == sent.query);
  BOOST_TEST((part.shards.at(0).service == sent.shards.at(0).service));
  BOOST_TEST((part.shards.at(0).servers == sent.shards.at(0).servers));
  PartOutcomes outcomes;
  outcomes.outcomes.push_back({hibiscuspick::ShardId("p2"),
                               Code::kShed,
                               Ran::kNo,
                               3,
                               {{"doc-1", 0.5, "{}"}},
                               {hibiscuspick::IndexVersion(6)}});
  const auto outcome = Across(outcomes).outcomes.at(0);
  BOOST_TEST((outcome.code == Code::kShed));
  BOOST_TEST((outcome.ran == Ran::kNo));
  BOOST_TEST(outcome.attempts == 3U);
  BOOST_TEST(outcome.hits.at(0).id == "doc-1");
  BOOST_TEST(outcome.held.at(0).value == 6U);
}

// An outcome comes from a version that has dropped the field, or is damaged.
// "Not run" is a guarantee to the caller and must never result from a default.
BOOST_AUTO_TEST_CASE(an_outcome_without_not_run_may_have_run) {
  wire::PartOutcomes outcomes;
  outcomes.outcomes.emplace_back();
  wire::Message message;
  message.__set_outcomes(outcomes);
  const auto result = FromWire(message);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(
      (std::get<PartOutcomes>(*result).outcomes.at(0).ran == Ran::kMaybe));
}

BOOST_AUTO_TEST_CASE(values_of_a_later_version_are_tolerated) {
  auto part = ToWire(Message(MakePart(1)));
  part.part.lane = 9;
  BOOST_TEST((std::get<PartRequest>(*FromWire(part)).lane == Lane::kBulk));
  auto delta = ToWire(Message(MakeDelta()));
  delta.news.members.emplace_back(delta.news.members.front());
  delta.news.members.front().phase = 9;
  BOOST_TEST(std::get<MembershipDelta>(*FromWire(delta)).members.size() == 1U);
  auto digest = ToWire(Message(MakeDigest()));
  digest.digest.sender.inner_address = "nowhere";
  BOOST_TEST(!FromWire(digest).has_value());
  BOOST_TEST(!FromWire(wire::Message()).has_value());
}
