#include "hibiscuspick/engine/reachability.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

struct ProbeRow {
  const char* what;
  double last_contact;
  double sent_at;
  double now;
  bool needs_probe;
};

std::ostream& operator<<(std::ostream& out, const ProbeRow& row) {
  return out << row.what;
}

const ProbeRow kProbeRows[] = {
    {"request sent just now", 100, 101, 150, false},
    {"one server paused, others answer", 340, 200, 350, false},
    {"no server answers", 190, 200, 301, true},
    {"never contacted, no answer for a while", -1, 0, 120, true},
};

BOOST_DATA_TEST_CASE(OnlySilenceOfAllServersNeedsAProbe,
                     bdata::make(kProbeRows), row) {
  Reachability reachability;
  reachability.last_contact = Millis(row.last_contact);
  BOOST_TEST(NeedsProbe(reachability, Millis(row.sent_at), Millis(row.now)) ==
             row.needs_probe);
}

// A data centre becomes unreachable. Without a probe each of its servers would
// be detected separately, while requests are still sent to it.
BOOST_AUTO_TEST_CASE(UnansweredProbeMakesTheDataCentreUnreachable) {
  Reachability reachability;
  RecordContact(&reachability, Millis(1000));
  BeginProbe(&reachability, Millis(1150));
  BOOST_TEST(!NeedsProbe(reachability, Millis(1010), Millis(1200)));
  BOOST_TEST(!reachability.unreachable);
  BOOST_TEST(
      (EndProbe(&reachability, Millis(1352)) == ProbeResult::kUnreachable));
  BOOST_TEST(reachability.unreachable);
  BeginProbe(&reachability, Millis(1352));
  BOOST_TEST(RecordContact(&reachability, Millis(1400)));
  BOOST_TEST(!reachability.unreachable);
  BOOST_TEST(
      (EndProbe(&reachability, Millis(1552)) == ProbeResult::kReachable));
  BOOST_TEST(!RecordContact(&reachability, Millis(1600)));
}

// The process itself was stalled for seconds, and answers wait in its sockets.
// If this counted as silence, a machine that was suspended would refuse its
// callers when it resumes.
BOOST_AUTO_TEST_CASE(StalledProcessMakesProbesInconclusive) {
  Reachability reachability;
  RecordContact(&reachability, Millis(1000));
  BeginProbe(&reachability, Millis(1150));
  BOOST_TEST(
      (EndProbe(&reachability, Millis(4000)) == ProbeResult::kInconclusive));
  BOOST_TEST(!reachability.unreachable);
  // An unreachable data centre stays so until a message is received from it.
  BeginProbe(&reachability, Millis(4000));
  EndProbe(&reachability, Millis(4200));
  BeginProbe(&reachability, Millis(4200));
  BOOST_TEST(
      (EndProbe(&reachability, Millis(9000)) == ProbeResult::kInconclusive));
  BOOST_TEST(reachability.unreachable);
}

struct DelayRow {
  double unreachable_for;
  double least;
  double most;
};

std::ostream& operator<<(std::ostream& out, const DelayRow& row) {
  return out << row.unreachable_for;
}

const DelayRow kDelays[] = {
    {0, 0, 0}, {8000, 0, 0}, {60000, 1000, 5000}, {86400000, 5000, 5000}};

// A data centre that was shut down for good is still in the list of instances.
// Probed as often as during a partition, it would cost each instance thirty
// connections per second forever.
BOOST_DATA_TEST_CASE(LongUnreachableDataCentresAreProbedRarely,
                     bdata::make(kDelays), row) {
  Reachability reachability;
  BeginProbe(&reachability, Millis(1000));
  EndProbe(&reachability, Millis(1200));
  BeginProbe(&reachability, Millis(1200));
  EndProbe(&reachability, Millis(1400));
  const Millis pause =
      ProbeDelay(reachability, Millis(1200 + row.unreachable_for));
  BOOST_TEST(pause.count >= row.least);
  BOOST_TEST(pause.count <= row.most);
}

}  // namespace
}  // namespace hibiscuspick::engine
