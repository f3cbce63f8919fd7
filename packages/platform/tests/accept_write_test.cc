#include "hibiscuspick/platform/accept_write.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <string>

#include "fake_platform.h"
#include "hibiscuspick/settings/envelope.h"

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
namespace hpp = hibiscuspick::platform;
using hp::Json;
using hp::Revision;
using hpp::FakePlatform;
using hpp::WriteOutcome;
using hpp::WriteState;
using enum hpp::PutFault;

namespace {

constexpr char kName[] = "settings/system";

std::optional<hp::settings::Envelope> CurrentEnvelope(
    const FakePlatform& platform) {
  const auto it = platform.objects.find(kName);
  if (it == platform.objects.end()) return std::nullopt;
  return ValueOf(hp::settings::ReadEnvelope(it->second.value));
}

std::optional<Revision> VersionOf(const FakePlatform& platform) {
  const auto it = platform.objects.find(kName);
  if (it == platform.objects.end()) return std::nullopt;
  return it->second.version;
}

Json NextOf(const FakePlatform& platform, const std::string& write_id) {
  const Revision version = VersionOf(platform).value_or(Revision());
  return ToJson(NextEnvelope(CurrentEnvelope(platform), version, Json::object(),
                             write_id, false));
}

// Writes as another operator would; takes effect at once.
void WriteOther(FakePlatform* platform, const std::string& write_id) {
  const auto result =
      platform->Store(kName, NextOf(*platform, write_id), VersionOf(*platform));
  BOOST_REQUIRE(IsOk(result));
}

WriteState WriteOurs(
    FakePlatform* platform, const std::function<void()>& pause = [] {}) {
  WriteState state;
  state.write_id = "ours";
  state.expected = VersionOf(*platform);
  return RunWrite(platform->MakeCalls(), kName, NextOf(*platform, "ours"),
                  state, pause);
}

bool HasOurs(const FakePlatform& platform) {
  const auto current = CurrentEnvelope(platform);
  if (!current) return false;
  const auto& writes = current->writes;
  return std::any_of(writes.begin(), writes.end(),
                     [](const auto& it) { return it.id == "ours"; });
}

struct Case {
  std::string name;
  // Number of other writes before ours, and between our put and the first read.
  int writes_before;
  int writes_after;
  std::deque<hpp::PutFault> faults;
  int failing_reads;
  WriteOutcome outcome;
  uint64_t version;
};
std::ostream& operator<<(std::ostream& out, const Case& it) {
  return out << it.name;
}

using enum WriteOutcome;

const Case kCases[] = {
    {"a first write", 0, 0, {}, 0, kAccepted, 1},
    {"a later write", 3, 0, {}, 0, kAccepted, 4},
    {"the platform is down", 1, 0, {kDown}, 0, kNotApplied, 0},
    {"its reply is lost", 1, 0, {kReplyLost}, 0, kAccepted, 2},
    {"the reply to a first write is lost", 0, 0, {kReplyLost}, 0, kAccepted, 1},
    {"its reply is lost and seven others follow",
     1,
     7,
     {kReplyLost},
     0,
     kAccepted,
     2},
    {"its reply is lost and eight others follow",
     1,
     8,
     {kReplyLost},
     0,
     kUnknown,
     0},
    {"its request is lost and sent again",
     1,
     0,
     {kRequestLost},
     0,
     kAccepted,
     2},
    {"its request is lost and another write follows",
     1,
     1,
     {kRequestLost},
     0,
     kConflict,
     0},
    {"its request is lost and seven others follow a long history",
     20,
     7,
     {kRequestLost},
     0,
     kConflict,
     0},
    {"its request is lost and eight others follow",
     20,
     8,
     {kRequestLost},
     0,
     kUnknown,
     0},
    {"its reply is lost and reads fail for a while",
     1,
     0,
     {kReplyLost},
     2,
     kAccepted,
     2},
    {"its reply is lost and the platform stays down",
     1,
     0,
     {kReplyLost},
     -1,
     kUnknown,
     0},
    {"its request is lost repeatedly",
     1,
     0,
     {kRequestLost, kRequestLost, kRequestLost, kRequestLost, kRequestLost},
     0,
     kUnknown,
     0},
    {"its request is lost, then the platform is down",
     1,
     0,
     {kRequestLost, kDown, kDown, kDown, kDown},
     0,
     kUnknown,
     0},
    {"its request is lost, then the reply to the repeat",
     1,
     0,
     {kRequestLost, kReplyLost},
     0,
     kAccepted,
     2},
};

}  // namespace

// A write's request or reply is lost, the platform fails, or other operators
// write before the object is read back. The write may be reported as accepted
// only if it took effect, as not accepted only if it never will, and otherwise
// as unknown.
BOOST_DATA_TEST_CASE(write_outcome_is_correct, data::make(kCases), it) {
  FakePlatform platform;
  for (int i = 0; i < it.writes_before; ++i) {
    WriteOther(&platform, "before " + std::to_string(i));
  }
  platform.put_faults = it.faults;
  platform.failing_reads = it.failing_reads;
  bool written = false;
  const auto state = WriteOurs(&platform, [&] {
    if (written) return;
    written = true;
    for (int i = 0; i < it.writes_after; ++i) {
      WriteOther(&platform, "after " + std::to_string(i));
    }
  });
  BOOST_TEST((state.outcome == it.outcome));
  BOOST_TEST(state.version.value == it.version);
  if (state.outcome == kConflict) BOOST_TEST(!HasOurs(platform));
}

// Two operators write simultaneously. Exactly one write is accepted, and the
// other operator gets the winner's value.
BOOST_AUTO_TEST_CASE(one_of_two_racing_writes_is_accepted) {
  FakePlatform platform;
  WriteOther(&platform, "before");
  platform.before_put = [&] { WriteOther(&platform, "theirs"); };
  const auto state = WriteOurs(&platform);
  BOOST_TEST((state.outcome == kConflict));
  BOOST_REQUIRE(state.current.has_value());
  BOOST_TEST(state.current->version.value == 2);
  BOOST_TEST(!HasOurs(platform));
}

// A put is delayed in the network and takes effect long after its sender gave
// up. If the sender reported "not accepted" because the object was unchanged,
// the write would come into force afterwards.
BOOST_AUTO_TEST_CASE(delayed_put_is_not_reported_as_rejected) {
  FakePlatform platform;
  WriteOther(&platform, "before");
  platform.put_faults = {kDelayed, kDown, kDown, kDown, kDown};
  auto state = WriteOurs(&platform);
  BOOST_TEST((state.outcome == kUnknown));
  BOOST_TEST(!HasOurs(platform));
  platform.DeliverLate();
  const auto resolution =
      hpp::ResolveWrite(&platform.objects[kName], "ours", Revision(1));
  BOOST_TEST((resolution.verdict == hpp::WriteVerdict::kApplied));
}

// As above, but the put is sent again: the first of the two to take effect
// replaces the version that the other is conditional on.
BOOST_AUTO_TEST_CASE(repeated_put_is_applied_once) {
  FakePlatform platform;
  WriteOther(&platform, "before");
  platform.put_faults = {kDelayed};
  const auto state = WriteOurs(&platform);
  BOOST_TEST((state.outcome == kAccepted));
  platform.DeliverLate();
  BOOST_TEST((platform.objects[kName].version == state.version));
  BOOST_TEST(platform.puts == 2);
}

BOOST_AUTO_TEST_CASE(value_without_envelope_leaves_outcome_unknown) {
  const hpp::StoredObject foreign{kName, Revision(5), Json("by hand")};
  const auto resolution = hpp::ResolveWrite(&foreign, "ours", Revision(4));
  BOOST_TEST((resolution.verdict == hpp::WriteVerdict::kUnknown));
}
