#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "hibiscuspick/membership/drain_table.h"
#include "hibiscuspick/membership/member_table.h"

namespace data = boost::unit_test::data;
using hibiscuspick::BackendServerId;
using hibiscuspick::DataCentreId;
using hibiscuspick::Incarnation;
using hibiscuspick::InstanceId;
using hibiscuspick::Millis;
using hibiscuspick::membership::DiscountPause;
using hibiscuspick::membership::DrainReport;
using hibiscuspick::membership::DrainTable;
using hibiscuspick::membership::MakeUndrainReport;
using hibiscuspick::membership::MemberLimits;
using hibiscuspick::membership::MemberState;
using hibiscuspick::membership::MemberTable;
using hibiscuspick::membership::MergeDrainReport;
using hibiscuspick::membership::MergeMember;
using hibiscuspick::membership::MergeResult;
using hibiscuspick::membership::Phase;
using hibiscuspick::membership::SelfOf;
using hibiscuspick::membership::Sweep;

namespace {

MemberState StateOf(const std::string& id, uint64_t incarnation, Phase phase,
                    uint32_t refutations = 0,
                    const std::string& data_centre = "osl-1") {
  MemberState state;
  state.id = InstanceId(id);
  state.data_centre = DataCentreId(data_centre);
  state.inner = {"127.0.0.1", 8201};
  state.incarnation = Incarnation(incarnation);
  state.refutations = refutations;
  state.phase = phase;
  return state;
}

MemberTable TableOf(const MemberState& self) {
  MemberTable table;
  table.self = self.id;
  table.data_centre = self.data_centre;
  table.members[self.id].state = self;
  return table;
}

const MemberState& Known(const MemberTable& table, const std::string& id) {
  return table.members.at(InstanceId(id)).state;
}

struct OrderCase {
  std::string name;
  MemberState known;
  MemberState report;
  MergeResult merge;
};
std::ostream& operator<<(std::ostream& out, const OrderCase& it) {
  return out << it.name;
}

const OrderCase kOrders[] = {
    {"later phase", StateOf("b", 1, Phase::kServing),
     StateOf("b", 1, Phase::kLeaving), MergeResult::kChanged},
    {"earlier phase", StateOf("b", 1, Phase::kLeaving),
     StateOf("b", 1, Phase::kServing), MergeResult::kNotNewer},
    {"gone is final", StateOf("b", 1, Phase::kGone),
     StateOf("b", 1, Phase::kServing), MergeResult::kNotNewer},
    {"a refutation revives", StateOf("b", 1, Phase::kGone),
     StateOf("b", 1, Phase::kServing, 1), MergeResult::kChanged},
    {"an old refutation does not revive", StateOf("b", 1, Phase::kGone, 1),
     StateOf("b", 1, Phase::kServing, 1), MergeResult::kNotNewer},
    {"later incarnation", StateOf("b", 1, Phase::kGone),
     StateOf("b", 2, Phase::kStarting), MergeResult::kChanged},
    {"earlier incarnation", StateOf("b", 2, Phase::kStarting),
     StateOf("b", 1, Phase::kGone, 9), MergeResult::kNotNewer},
};

struct SelfCase {
  std::string name;
  MemberState report;
  MergeResult merge;
  MemberState after;
};
std::ostream& operator<<(std::ostream& out, const SelfCase& it) {
  return out << it.name;
}

const SelfCase kReportsOfSelf[] = {
    {"reported gone", StateOf("a", 5, Phase::kGone), MergeResult::kRefuted,
     StateOf("a", 5, Phase::kServing, 1)},
    {"reported gone again", StateOf("a", 5, Phase::kGone, 3),
     MergeResult::kRefuted, StateOf("a", 5, Phase::kServing, 4)},
    {"earlier incarnation reported gone", StateOf("a", 4, Phase::kGone),
     MergeResult::kNotNewer, StateOf("a", 5, Phase::kServing)},
    {"clock was ahead", StateOf("a", 9, Phase::kGone), MergeResult::kRefuted,
     StateOf("a", 10, Phase::kServing)},
    {"reported leaving soon after the start", StateOf("a", 5, Phase::kLeaving),
     MergeResult::kRefuted, StateOf("a", 5, Phase::kServing, 1)},
};

struct DrainCase {
  std::string name;
  DrainReport known;
  DrainReport report;
  bool taken;
};
std::ostream& operator<<(std::ostream& out, const DrainCase& it) {
  return out << it.name;
}

DrainReport ReportOf(uint64_t incarnation, bool draining, uint64_t round = 0) {
  return {BackendServerId("b1"), Incarnation(incarnation), round, draining};
}

const DrainCase kDrainCases[] = {
    {"starts to drain", ReportOf(1, false), ReportOf(1, true), true},
    {"older report", ReportOf(1, true), ReportOf(1, false), false},
    {"a new incarnation takes requests", ReportOf(1, true), ReportOf(2, false),
     true},
    {"report of an earlier incarnation", ReportOf(2, false), ReportOf(1, true),
     false},
    {"a reply does not end an operator's drain", ReportOf(0, true),
     ReportOf(7, false), false},
    {"an operator drains an incarnation that replies", ReportOf(7, false),
     ReportOf(0, true), true},
    {"incarnation reports a drain after a revocation", ReportOf(0, false, 1),
     ReportOf(7, true, 1), true},
    {"report from before a revocation", ReportOf(0, false, 1),
     ReportOf(7, true), false},
    {"an operator revokes the drain", ReportOf(0, true), ReportOf(0, false, 1),
     true},
    {"drains again after a revocation", ReportOf(0, false, 1),
     ReportOf(0, true, 1), true},
};

}  // namespace

BOOST_DATA_TEST_CASE(only_higher_reports_replace, data::make(kOrders), it) {
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  table.members[it.known.id].state = it.known;
  BOOST_TEST((MergeMember(&table, it.report, Millis(0)) == it.merge));
  const bool taken = it.merge == MergeResult::kChanged;
  BOOST_TEST((Known(table, "b") == (taken ? it.report : it.known)));
}

BOOST_DATA_TEST_CASE(wrong_reports_of_self_are_refuted,
                     data::make(kReportsOfSelf), it) {
  auto table = TableOf(StateOf("a", 5, Phase::kServing));
  BOOST_TEST((MergeMember(&table, it.report, Millis(0)) == it.merge));
  BOOST_TEST((SelfOf(table).state == it.after));
}

BOOST_AUTO_TEST_CASE(reported_leaving_is_accepted_after_list_lag) {
  auto table = TableOf(StateOf("a", 5, Phase::kServing));
  table.refute_leaving = false;
  const auto report = StateOf("a", 5, Phase::kLeaving);
  BOOST_TEST((MergeMember(&table, report, Millis(0)) == MergeResult::kChanged));
  BOOST_TEST((SelfOf(table).state.phase == Phase::kLeaving));
}

BOOST_AUTO_TEST_CASE(unknown_gone_instance_is_ignored) {
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  const auto report = StateOf("b", 1, Phase::kGone);
  BOOST_TEST(
      (MergeMember(&table, report, Millis(0)) == MergeResult::kNotNewer));
  BOOST_TEST(table.members.size() == 1U);
}

BOOST_AUTO_TEST_CASE(silent_member_becomes_suspect_then_gone) {
  const MemberLimits limits;
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  MergeMember(&table, StateOf("b", 1, Phase::kServing), Millis(0));
  BOOST_TEST(Sweep(&table, limits, Millis(5000)).suspected.empty());
  BOOST_TEST(Sweep(&table, limits, Millis(5001)).suspected.size() == 1U);
  auto beat = StateOf("b", 1, Phase::kServing);
  beat.heartbeat = 1;
  MergeMember(&table, beat, Millis(5500));
  BOOST_TEST(Sweep(&table, limits, Millis(6000)).recovered.size() == 1U);
  BOOST_TEST(Sweep(&table, limits, Millis(15501)).gone.size() == 1U);
  BOOST_TEST((Known(table, "b").phase == Phase::kGone));
  BOOST_TEST(Sweep(&table, limits, Millis(15502) + limits.forget_after)
                 .forgotten.size() == 1U);
}

// An instance is cut off from its whole data centre. If it reported all the
// others as gone after the usual time, each of them would have to refute it.
BOOST_AUTO_TEST_CASE(mass_silence_delays_removal) {
  const MemberLimits limits;
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  for (const char* id : {"b", "c", "d", "e"}) {
    MergeMember(&table, StateOf(id, 1, Phase::kServing), Millis(0));
  }
  const auto swept = Sweep(&table, limits, Millis(20000));
  BOOST_TEST(swept.gone.empty());
  BOOST_TEST(swept.suspected.size() == 4U);
  BOOST_TEST(Sweep(&table, limits, Millis(60001)).gone.size() == 4U);
}

// A process is paused for a minute, for instance by a snapshot of its virtual
// machine. All others appear silent to it, although none of them is.
BOOST_AUTO_TEST_CASE(own_pause_does_not_count_as_silence) {
  const MemberLimits limits;
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  MergeMember(&table, StateOf("b", 1, Phase::kServing), Millis(0));
  DiscountPause(&table, Millis(60000));
  const auto swept = Sweep(&table, limits, Millis(60001));
  BOOST_TEST(swept.gone.empty());
  BOOST_TEST(swept.suspected.empty());
}

// The link to another data centre fails. Its members become suspect but stay
// members, since nobody in this data centre can tell whether they are running.
BOOST_AUTO_TEST_CASE(silent_data_centre_is_suspect_but_not_gone) {
  const MemberLimits limits;
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  MergeMember(&table, StateOf("x", 1, Phase::kServing, 0, "osl-2"), Millis(0));
  BOOST_TEST(Sweep(&table, limits, Millis(15001)).suspected.size() == 1U);
  BOOST_TEST(Sweep(&table, limits, Millis(600000)).gone.empty());
  BOOST_TEST(Sweep(&table, limits, Millis(3600001)).forgotten.size() == 1U);
}

BOOST_DATA_TEST_CASE(older_drain_reports_are_ignored, data::make(kDrainCases),
                     it) {
  DrainTable table;
  MergeDrainReport(&table, it.known);
  BOOST_TEST(MergeDrainReport(&table, it.report) == it.taken);
  const auto& expected = it.taken ? it.report : it.known;
  BOOST_TEST((table.at(it.known.server) == expected));
}

BOOST_AUTO_TEST_CASE(next_round_revokes_a_drain) {
  DrainTable table;
  MergeDrainReport(&table, ReportOf(3, true));
  BOOST_TEST(MergeDrainReport(&table,
                              MakeUndrainReport(table, BackendServerId("b1"))));
  BOOST_TEST(!table.at(BackendServerId("b1")).draining);
  BOOST_TEST(!MergeDrainReport(&table, ReportOf(3, true)));
}
