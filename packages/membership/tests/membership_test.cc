#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "hibiscuspick/membership/member_table.h"
#include "hibiscuspick/membership/server_news.h"

namespace data = boost::unit_test::data;
using hibiscuspick::BackendServerId;
using hibiscuspick::DataCentreId;
using hibiscuspick::Incarnation;
using hibiscuspick::InstanceId;
using hibiscuspick::Millis;
using hibiscuspick::membership::ForgivePause;
using hibiscuspick::membership::MemberLimits;
using hibiscuspick::membership::MemberState;
using hibiscuspick::membership::MemberTable;
using hibiscuspick::membership::Merge;
using hibiscuspick::membership::MergeMember;
using hibiscuspick::membership::MergeServer;
using hibiscuspick::membership::Phase;
using hibiscuspick::membership::SelfOf;
using hibiscuspick::membership::ServerNews;
using hibiscuspick::membership::ServerNewsTable;
using hibiscuspick::membership::Sweep;
using hibiscuspick::membership::UndrainOf;

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
  Merge merge;
};
std::ostream& operator<<(std::ostream& out, const OrderCase& it) {
  return out << it.name;
}

const OrderCase kOrders[] = {
    {"later phase", StateOf("b", 1, Phase::kServing),
     StateOf("b", 1, Phase::kLeaving), Merge::kChanged},
    {"earlier phase", StateOf("b", 1, Phase::kLeaving),
     StateOf("b", 1, Phase::kServing), Merge::kOld},
    {"the gone stay gone", StateOf("b", 1, Phase::kGone),
     StateOf("b", 1, Phase::kServing), Merge::kOld},
    {"a contradiction brings back", StateOf("b", 1, Phase::kGone),
     StateOf("b", 1, Phase::kServing, 1), Merge::kChanged},
    {"an old contradiction does not", StateOf("b", 1, Phase::kGone, 1),
     StateOf("b", 1, Phase::kServing, 1), Merge::kOld},
    {"later life", StateOf("b", 1, Phase::kGone),
     StateOf("b", 2, Phase::kStarting), Merge::kChanged},
    {"former life", StateOf("b", 2, Phase::kStarting),
     StateOf("b", 1, Phase::kGone, 9), Merge::kOld},
};

struct SelfCase {
  std::string name;
  MemberState report;
  Merge merge;
  MemberState after;
};
std::ostream& operator<<(std::ostream& out, const SelfCase& it) {
  return out << it.name;
}

const SelfCase kReportsOfSelf[] = {
    {"called gone", StateOf("a", 5, Phase::kGone), Merge::kRefuted,
     StateOf("a", 5, Phase::kServing, 1)},
    {"called gone again", StateOf("a", 5, Phase::kGone, 3), Merge::kRefuted,
     StateOf("a", 5, Phase::kServing, 4)},
    {"former life called gone", StateOf("a", 4, Phase::kGone), Merge::kOld,
     StateOf("a", 5, Phase::kServing)},
    {"clock was ahead", StateOf("a", 9, Phase::kGone), Merge::kRefuted,
     StateOf("a", 10, Phase::kServing)},
    {"young and called leaving", StateOf("a", 5, Phase::kLeaving),
     Merge::kRefuted, StateOf("a", 5, Phase::kServing, 1)},
};

struct ServerCase {
  std::string name;
  ServerNews known;
  ServerNews report;
  bool taken;
};
std::ostream& operator<<(std::ostream& out, const ServerCase& it) {
  return out << it.name;
}

ServerNews NewsOf(uint64_t incarnation, bool draining, uint64_t round = 0) {
  return {BackendServerId("b1"), Incarnation(incarnation), round, draining};
}

const ServerCase kServerNews[] = {
    {"starts to drain", NewsOf(1, false), NewsOf(1, true), true},
    {"old news", NewsOf(1, true), NewsOf(1, false), false},
    {"a new life works", NewsOf(1, true), NewsOf(2, false), true},
    {"news of a former life", NewsOf(2, false), NewsOf(1, true), false},
    {"a reply does not end an operator's drain", NewsOf(0, true),
     NewsOf(7, false), false},
    {"an operator drains a life that replies", NewsOf(7, false),
     NewsOf(0, true), true},
    {"a life that is known after taking back", NewsOf(0, false, 1),
     NewsOf(7, true, 1), true},
    {"a sign from before taking back", NewsOf(0, false, 1), NewsOf(7, true),
     false},
    {"an operator takes it back", NewsOf(0, true), NewsOf(0, false, 1), true},
    {"and it drains again", NewsOf(0, false, 1), NewsOf(0, true, 1), true},
};

}  // namespace

BOOST_DATA_TEST_CASE(reports_only_go_up, data::make(kOrders), it) {
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  table.members[it.known.id].state = it.known;
  BOOST_TEST((MergeMember(&table, it.report, Millis(0)) == it.merge));
  const bool taken = it.merge == Merge::kChanged;
  BOOST_TEST((Known(table, "b") == (taken ? it.report : it.known)));
}

BOOST_DATA_TEST_CASE(reports_of_oneself_are_contradicted,
                     data::make(kReportsOfSelf), it) {
  auto table = TableOf(StateOf("a", 5, Phase::kServing));
  BOOST_TEST((MergeMember(&table, it.report, Millis(0)) == it.merge));
  BOOST_TEST((SelfOf(table).state == it.after));
}

BOOST_AUTO_TEST_CASE(an_old_life_that_is_called_leaving_leaves) {
  auto table = TableOf(StateOf("a", 5, Phase::kServing));
  table.refute_leaving = false;
  const auto report = StateOf("a", 5, Phase::kLeaving);
  BOOST_TEST((MergeMember(&table, report, Millis(0)) == Merge::kChanged));
  BOOST_TEST((SelfOf(table).state.phase == Phase::kLeaving));
}

BOOST_AUTO_TEST_CASE(an_unknown_gone_instance_is_not_taken_up) {
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  const auto report = StateOf("b", 1, Phase::kGone);
  BOOST_TEST((MergeMember(&table, report, Millis(0)) == Merge::kOld));
  BOOST_TEST(table.members.size() == 1U);
}

BOOST_AUTO_TEST_CASE(silence_is_suspected_then_taken_for_death) {
  const MemberLimits limits;
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  MergeMember(&table, StateOf("b", 1, Phase::kServing), Millis(0));
  BOOST_TEST(Sweep(&table, limits, Millis(5000)).suspected.empty());
  BOOST_TEST(Sweep(&table, limits, Millis(5001)).suspected.size() == 1U);
  auto beat = StateOf("b", 1, Phase::kServing);
  beat.heartbeat = 1;
  MergeMember(&table, beat, Millis(5500));
  BOOST_TEST(Sweep(&table, limits, Millis(6000)).trusted.size() == 1U);
  BOOST_TEST(Sweep(&table, limits, Millis(15501)).gone.size() == 1U);
  BOOST_TEST((Known(table, "b").phase == Phase::kGone));
  BOOST_TEST(Sweep(&table, limits, Millis(15502) + limits.forget_after)
                 .forgotten.size() == 1U);
}

// An instance is cut off from its whole data centre. If it reported all the
// others as gone after the usual time, each of them would have to refute it.
BOOST_AUTO_TEST_CASE(when_most_are_silent_nobody_is_given_up_soon) {
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
BOOST_AUTO_TEST_CASE(a_pause_of_ones_own_is_held_against_nobody) {
  const MemberLimits limits;
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  MergeMember(&table, StateOf("b", 1, Phase::kServing), Millis(0));
  ForgivePause(&table, Millis(60000));
  const auto swept = Sweep(&table, limits, Millis(60001));
  BOOST_TEST(swept.gone.empty());
  BOOST_TEST(swept.suspected.empty());
}

// The link to another data centre fails. Its members become suspect but stay
// members, since nobody in this data centre can tell whether they are running.
BOOST_AUTO_TEST_CASE(a_silent_data_centre_is_suspect_but_not_gone) {
  const MemberLimits limits;
  auto table = TableOf(StateOf("a", 1, Phase::kServing));
  MergeMember(&table, StateOf("x", 1, Phase::kServing, 0, "osl-2"), Millis(0));
  BOOST_TEST(Sweep(&table, limits, Millis(15001)).suspected.size() == 1U);
  BOOST_TEST(Sweep(&table, limits, Millis(600000)).gone.empty());
  BOOST_TEST(Sweep(&table, limits, Millis(3600001)).forgotten.size() == 1U);
}

BOOST_DATA_TEST_CASE(old_news_of_a_server_changes_nothing,
                     data::make(kServerNews), it) {
  ServerNewsTable table;
  MergeServer(&table, it.known);
  BOOST_TEST(MergeServer(&table, it.report) == it.taken);
  const auto& expected = it.taken ? it.report : it.known;
  BOOST_TEST((table.at(it.known.server) == expected));
}

BOOST_AUTO_TEST_CASE(a_drain_is_taken_back_by_a_round) {
  ServerNewsTable table;
  MergeServer(&table, NewsOf(3, true));
  BOOST_TEST(MergeServer(&table, UndrainOf(table, BackendServerId("b1"))));
  BOOST_TEST(!table.at(BackendServerId("b1")).draining);
  BOOST_TEST(!MergeServer(&table, NewsOf(3, true)));
}
