#include "hibiscuspick/standins/slots.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace {

using hibiscuspick::standins::Admission;
using hibiscuspick::standins::Admit;
using hibiscuspick::standins::Leave;
using hibiscuspick::standins::Slots;
using hibiscuspick::standins::StartNext;
using hibiscuspick::standins::Ticket;

struct AdmitRow {
  size_t count;
  size_t max_queue;
  // For tickets 1, 2, 3…: r running, q queued, s shed.
  std::string outcomes;
};

std::ostream& operator<<(std::ostream& out, const AdmitRow& row) {
  return out << row.count << " slots, queue " << row.max_queue;
}

const std::vector<AdmitRow> kAdmitRows = {
    {2, 2, "rrqqs"}, {2, 0, "rrs"},   {1, 1, "rqs"},
    {0, 1, "qs"},    {4, 1, "rrrrq"},
};

struct LeaveRow {
  Ticket leaves;
  // 0: none.
  Ticket starts;
  std::vector<Ticket> queue;
};

std::ostream& operator<<(std::ostream& out, const LeaveRow& row) {
  return out << row.leaves << " leaves";
}

// Two slots with 1 and 2 running, 3 and 4 waiting.
const std::vector<LeaveRow> kLeaveRows = {
    {1, 3, {4}}, {2, 3, {4}}, {3, 0, {4}}, {4, 0, {3}}, {9, 0, {3, 4}},
};

char Letter(Admission admission) {
  if (admission == Admission::kRunning) return 'r';
  return admission == Admission::kQueued ? 'q' : 's';
}

Slots Filled() {
  Slots slots;
  for (Ticket it = 1; it <= 4; ++it) Admit(slots, it);
  return slots;
}

}  // namespace

BOOST_DATA_TEST_CASE(attempts_run_then_wait_then_are_shed, kAdmitRows) {
  Slots slots;
  slots.count = sample.count;
  slots.max_queue = sample.max_queue;
  std::string outcomes;
  for (Ticket it = 1; it <= sample.outcomes.size(); ++it) {
    outcomes += Letter(Admit(slots, it));
  }
  BOOST_TEST(outcomes == sample.outcomes);
}

BOOST_DATA_TEST_CASE(who_leaves_makes_room_for_the_first_in_line, kLeaveRows) {
  Slots slots = Filled();
  const auto next = Leave(slots, sample.leaves);
  BOOST_TEST(next.value_or(0) == sample.starts);
  BOOST_TEST(slots.queue == sample.queue, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_new_attempt_does_not_pass_the_queue) {
  Slots slots = Filled();
  slots.count = 3;
  BOOST_TEST((Admit(slots, 5) == Admission::kQueued));
  BOOST_TEST(StartNext(slots).value_or(0) == 3U);
  BOOST_TEST(!StartNext(slots).has_value());
}
