#include "hibiscuspick/limits/group.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "group_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::limits {
namespace {

// How a failed attempt is handled, by code.
struct FailureRow {
  Code code;
  bool idempotent;
  bool retried;
  Ran ran;
  int slots_after;
};

std::ostream& operator<<(std::ostream& out, const FailureRow& row) {
  return out << CodeName(row.code) << (row.idempotent ? "" : " record");
}

constexpr FailureRow kFailures[] = {
    {Code::kShed, true, true, Ran::kMaybe, 0},
    {Code::kConnectFailed, true, true, Ran::kNo, 0},
    {Code::kReadFailed, true, true, Ran::kMaybe, 1},
    {Code::kBadReply, true, true, Ran::kMaybe, 0},
    {Code::kWrongEcho, true, true, Ran::kMaybe, 1},
    {Code::kBackendError, true, true, Ran::kMaybe, 0},
    {Code::kReplyTooLarge, true, false, Ran::kMaybe, 1},
    {Code::kShed, false, false, Ran::kMaybe, 0},
    {Code::kConnectFailed, false, false, Ran::kNo, 0},
    {Code::kReadFailed, false, false, Ran::kMaybe, 1},
    {Code::kBackendError, false, false, Ran::kMaybe, 0},
};

}  // namespace

// An attempt fails in each way a backend server can fail it. A query's attempt
// is retried at another server; a record's is not, since the record could be
// stored twice. The slot of an attempt that may still be running stays in use.
BOOST_DATA_TEST_CASE(a_failed_attempt_is_retried_unless_unsafe,
                     bdata::make(kFailures), row) {
  GroupFixture group(2);
  group.Add(Lane::kUrgent, Millis(200), row.idempotent);
  const auto first = group.TakeStarted();
  BOOST_REQUIRE(first.size() == 1u);
  group.Finish(first[0].attempt, row.code);
  BOOST_TEST(SlotsInUse(group.state) == row.slots_after + row.retried);
  const auto second = group.TakeStarted();
  BOOST_REQUIRE(second.size() == (row.retried ? 1u : 0u));
  if (row.retried) {
    BOOST_TEST(second[0].server != first[0].server);
    group.Finish(second[0].attempt, Code::kConnectFailed);
    group.Advance(Millis(250));
  }
  const auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].ran == row.ran));
  group.Advance(Millis(250));
  BOOST_TEST(SlotsInUse(group.state) == 0);
}

// Two servers of two slots each get more work than they can run. A server would
// shed a fifth attempt or queue it out of the scheduler's sight.
BOOST_AUTO_TEST_CASE(slots_are_never_exceeded) {
  GroupFixture group(2);
  for (int i = 0; i < 10; ++i) group.Add(Lane::kUrgent, Millis(200));
  auto starts = group.TakeStarted();
  BOOST_TEST(starts.size() == 4u);
  BOOST_TEST(group.state.servers[0].in_flight == 2);
  group.Finish(starts[0].attempt, Code::kOk);
  BOOST_TEST(group.TakeStarted().size() == 1u);
  BOOST_TEST(SlotsInUse(group.state) == 4);
}

// A server accepts an attempt and never answers. The task fails at its
// deadline; the slot stays in use until then plus the grace, since the server
// may still be working.
BOOST_AUTO_TEST_CASE(a_hung_attempt_holds_its_slot_until_the_deadline) {
  GroupPolicy policy;
  policy.hedge.enabled = false;
  GroupFixture group(1, policy, 1);
  group.Add(Lane::kUrgent, Millis(100));
  const auto hung = group.TakeStarted();
  group.Add(Lane::kUrgent, Millis(300));
  group.Advance(Millis(99));
  BOOST_TEST(group.Take<StartAttempt>().empty());
  group.Advance(Millis(1));
  const auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].code == Code::kDeadlineExceeded));
  BOOST_TEST(group.Take<CancelAttempt>().size() == 1u);
  BOOST_TEST(group.Take<StartAttempt>().empty());
  group.Advance(policy.slot_grace);
  BOOST_TEST(group.Take<StartAttempt>().size() == 1u);
  group.Finish(hung[0].attempt, Code::kOk);
  BOOST_TEST(group.Take<TaskDone>().empty());
  BOOST_TEST(SlotsInUse(group.state) == 1);
}

// A caller disconnects. The slot of its attempt is freed when the server
// confirms the cancellation, and not before.
BOOST_AUTO_TEST_CASE(a_confirmed_cancel_frees_the_slot) {
  GroupFixture group(1, {}, 1);
  const TaskId task = group.Add(Lane::kUrgent, Millis(200));
  const auto starts = group.TakeStarted();
  group.Add(Lane::kUrgent, Millis(200));
  CancelTasks(&group.state, {task}, group.now, &group.random, &group.actions);
  BOOST_TEST(group.Take<TaskDone>().empty());
  BOOST_REQUIRE(group.Take<CancelAttempt>().size() == 1u);
  BOOST_TEST(group.Take<StartAttempt>().empty());
  ConfirmCancel(&group.state, starts[0].attempt, group.now, &group.random,
                &group.actions);
  BOOST_TEST(group.Take<StartAttempt>().size() == 1u);
}

// A server reports a drain after an attempt was assigned to it but before it
// was sent. The attempt must not be sent, and a task that has only that server
// fails without having run.
BOOST_AUTO_TEST_CASE(a_drain_stops_an_attempt_not_yet_sent) {
  GroupFixture group(2);
  const BackendServerId draining("b0");
  group.Add(Lane::kUrgent, Millis(200), true, {draining});
  group.Add(Lane::kUrgent, Millis(200), true, {draining});
  const auto starts = group.Take<StartAttempt>();
  BOOST_REQUIRE(starts.size() == 2u);
  BOOST_TEST(group.TryStart(starts[0].attempt));
  ApplyDrainReport(&group.state, draining, Incarnation(3), true, group.now,
                   &group.random, &group.actions);
  BOOST_TEST(!group.TryStart(starts[1].attempt));
  auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].code == Code::kNoServer));
  BOOST_TEST((done[0].ran == Ran::kNo));
  group.Finish(starts[0].attempt, Code::kOk);
  done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].code == Code::kOk));
}

// A complete reply arrives after the deadline but before the timer ran. It must
// not count as an answer.
BOOST_AUTO_TEST_CASE(a_reply_after_the_deadline_does_not_count) {
  GroupFixture group(1);
  group.Add(Lane::kUrgent, Millis(100));
  const auto starts = group.TakeStarted();
  group.now += Millis(101);
  group.Finish(starts[0].attempt, Code::kOk);
  const auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].code == Code::kDeadlineExceeded));
  BOOST_TEST(SlotsInUse(group.state) == 0);
}

}  // namespace hibiscuspick::limits
