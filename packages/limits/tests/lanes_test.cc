#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <vector>

#include "group_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::limits {
namespace {

// A continuous load of tasks whose attempts finish 5 ms after their start.
struct Stream {
  GroupFixture* group;
  std::map<TaskId, Lane> lane_of;
  std::map<Lane, int> added;
  std::map<Lane, int> answered;
  std::vector<std::pair<Millis, AttemptId>> running;

  void Add(Lane lane, Millis time_left) {
    lane_of[group->Add(lane, time_left)] = lane;
    ++added[lane];
  }

  // Advances by one millisecond: finishes attempts that are due and starts new
  // ones.
  void Step() {
    group->Advance(Millis(1));
    std::erase_if(running, [this](auto& it) {
      if (it.first > group->now) return false;
      group->Finish(it.second, Code::kOk);
      return true;
    });
    for (const auto& it : group->TakeStarted()) {
      running.emplace_back(group->now + Millis(5), it.attempt);
    }
    for (const auto& it : group->Take<TaskDone>()) {
      if (it.code == Code::kOk) ++answered[lane_of[it.task]];
    }
  }
};

// The lane that overloads the group, and the minimum number of starts in a
// thousand that another lane must get.
struct OverloadRow {
  Lane flooding;
  Lane other;
  int min_of_other;
};

std::ostream& operator<<(std::ostream& out, const OverloadRow& row) {
  return out << LaneName(row.flooding) << " over " << LaneName(row.other);
}

const OverloadRow kOverloads[] = {
    {Lane::kUrgent, Lane::kInteractive, 90},
    {Lane::kUrgent, Lane::kOrdinary, 45},
    {Lane::kUrgent, Lane::kBulk, 45},
    {Lane::kOrdinary, Lane::kBulk, 45},
};

}  // namespace

// A bulk export offers one and a half times the group's capacity while fraud
// checks keep arriving. Every fraud check must be answered, and the export must
// make progress.
BOOST_AUTO_TEST_CASE(bulk_overload_does_not_delay_urgent_tasks) {
  GroupFixture group(2);
  group.AddLatencySamples();
  Stream stream{&group, {}, {}, {}, {}};
  // Two servers of two slots complete 800 attempts in a thousand milliseconds.
  for (int i = 0; i < 1000; ++i) {
    stream.Add(Lane::kBulk, Millis(2000));
    if (i % 5 == 0) stream.Add(Lane::kUrgent, Millis(60));
    stream.Step();
  }
  for (int i = 0; i < 60; ++i) stream.Step();
  BOOST_TEST(stream.answered[Lane::kUrgent] == stream.added[Lane::kUrgent]);
  BOOST_TEST(stream.answered[Lane::kBulk] > 400);
}

// A lane overloads the group for a long time. Without its minimum share, the
// less urgent lane would starve.
BOOST_DATA_TEST_CASE(no_lane_starves, bdata::make(kOverloads), row) {
  GroupPolicy policy;
  policy.admission_control_enabled = false;
  GroupFixture group(2, policy);
  Stream stream{&group, {}, {}, {}, {}};
  for (int i = 0; i < 1250; ++i) {
    for (int n = 0; n < 2; ++n) stream.Add(row.flooding, Millis(5000));
    stream.Add(row.other, Millis(5000));
    stream.Step();
  }
  BOOST_TEST(stream.answered[row.other] >= row.min_of_other);
  BOOST_TEST(stream.answered[row.flooding] > 5 * stream.answered[row.other]);
}

// An export uses every slot it may. One slot of each server stays free, so that
// a fraud check does not wait for a long bulk attempt.
BOOST_AUTO_TEST_CASE(bulk_never_holds_the_last_slot) {
  GroupFixture group(2);
  for (int i = 0; i < 10; ++i) group.Add(Lane::kBulk, Millis(5000));
  BOOST_TEST(group.TakeStarted().size() == 2u);
  group.Add(Lane::kUrgent, Millis(100));
  BOOST_TEST(group.TakeStarted().size() == 1u);
}

// Bulk attempts turn out to be as short as urgent ones. One free slot over both
// servers is then enough, and a larger reservation would slow the export for
// nothing.
BOOST_AUTO_TEST_CASE(short_bulk_attempts_leave_one_slot_per_shard) {
  GroupFixture group(2);
  group.AddLatencySamples();
  for (int i = 0; i < 30; ++i) {
    group.Add(Lane::kBulk, Millis(5000));
    for (const auto& it : group.TakeStarted()) {
      group.Finish(it.attempt, Code::kOk, Millis(6));
    }
  }
  for (int i = 0; i < 10; ++i) group.Add(Lane::kBulk, Millis(5000));
  BOOST_TEST(group.TakeStarted().size() == 3u);
}

// On single-slot servers the reservation would block bulk for ever.
BOOST_AUTO_TEST_CASE(bulk_runs_on_single_slot_servers) {
  GroupFixture group(2, {}, 1);
  for (int i = 0; i < 3; ++i) group.Add(Lane::kBulk, Millis(5000));
  BOOST_TEST(group.TakeStarted().size() == 2u);
}

BOOST_AUTO_TEST_CASE(the_earliest_deadline_goes_first) {
  GroupFixture group(1, {}, 1);
  group.Add(Lane::kUrgent, Millis(100));
  const auto running = group.TakeStarted();
  group.Add(Lane::kUrgent, Millis(300));
  const TaskId sooner = group.Add(Lane::kUrgent, Millis(200));
  group.Add(Lane::kOrdinary, Millis(50));
  group.Finish(running[0].attempt, Code::kOk);
  const auto next = group.Take<StartAttempt>();
  BOOST_REQUIRE(next.size() == 1u);
  BOOST_TEST((next[0].task == sooner));
}

// More tasks are queued than can be finished in time. A new task is refused at
// once rather than after its deadline, and `ran` is kNo.
BOOST_AUTO_TEST_CASE(a_task_that_cannot_meet_its_deadline_is_refused) {
  GroupFixture group(2);
  group.AddLatencySamples();
  for (int i = 0; i < 40; ++i) group.Add(Lane::kUrgent, Millis(1000));
  group.Take<TaskDone>();
  const TaskId task = group.Add(Lane::kOrdinary, Millis(20));
  const auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].task == task));
  BOOST_TEST((done[0].code == Code::kDeadlineUnreachable));
  BOOST_TEST((done[0].ran == Ran::kNo));
  BOOST_TEST(done[0].attempts == 0u);
}

// A task for a full lane queue is refused at once, so that memory is bounded.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses_tasks) {
  GroupPolicy policy;
  policy.lanes[LaneIndex(Lane::kOrdinary)].queue_limit = 3;
  GroupFixture group(1, policy, 1);
  for (int i = 0; i < 4; ++i) group.Add(Lane::kOrdinary, Millis(1000));
  BOOST_TEST(group.Take<TaskDone>().empty());
  group.Add(Lane::kOrdinary, Millis(1000));
  const auto done = group.Take<TaskDone>();
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].code == Code::kQueueFull));
  BOOST_TEST((done[0].ran == Ran::kNo));
  group.Add(Lane::kUrgent, Millis(1000));
  BOOST_TEST(group.Take<TaskDone>().empty());
}

// The baseline policy sends all tasks to the servers at once, in order of
// arrival, up to the number of connections.
BOOST_AUTO_TEST_CASE(the_baseline_ignores_slots) {
  GroupPolicy policy = DirectBaseline();
  policy.connections.reserve = 4;
  GroupFixture group(2, policy);
  group.Add(Lane::kBulk, Millis(5000));
  for (int i = 0; i < 9; ++i) group.Add(Lane::kUrgent, Millis(1000));
  BOOST_TEST(group.TakeStarted().size() == 8u);
}

}  // namespace hibiscuspick::limits
