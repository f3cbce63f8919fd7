#include "hibiscuspick/engine/reachability.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

struct SignRow {
  const char* what;
  double heard;
  double since;
  double now;
  bool wants;
};

std::ostream& operator<<(std::ostream& out, const SignRow& row) {
  return out << row.what;
}

const SignRow kSigns[] = {
    {"request sent just now", 100, 101, 150, false},
    {"one server paused, others answer", 340, 200, 350, false},
    {"no server answers", 190, 200, 301, true},
    {"never contacted, no answer for a while", -1, 0, 120, true},
};

BOOST_DATA_TEST_CASE(OnlySilenceOfAllIsASign, bdata::make(kSigns), row) {
  Reachability reach;
  reach.heard = Millis(row.heard);
  BOOST_TEST(WantsProbe(reach, Millis(row.since), Millis(row.now)) ==
             row.wants);
}

// A data centre becomes unreachable. Without a probe each of its servers would
// be detected separately, while requests are still sent to it.
BOOST_AUTO_TEST_CASE(ASoundingWithoutAnAnswerLosesThePlace) {
  Reachability reach;
  RecordContact(&reach, Millis(1000));
  BeginProbe(&reach, Millis(1150));
  BOOST_TEST(!WantsProbe(reach, Millis(1010), Millis(1200)));
  BOOST_TEST(!reach.lost);
  BOOST_TEST((EndProbe(&reach, Millis(1352)) == ProbeEnd::kLost));
  BOOST_TEST(reach.lost);
  BeginProbe(&reach, Millis(1352));
  BOOST_TEST(RecordContact(&reach, Millis(1400)));
  BOOST_TEST(!reach.lost);
  BOOST_TEST((EndProbe(&reach, Millis(1552)) == ProbeEnd::kThere));
  BOOST_TEST(!RecordContact(&reach, Millis(1600)));
}

// The process itself was stalled for seconds, and answers wait in its sockets.
// If this counted as silence, a machine that was suspended would refuse its
// callers when it resumes.
BOOST_AUTO_TEST_CASE(WhoStoodStillHasHeardNothingYet) {
  Reachability reach;
  RecordContact(&reach, Millis(1000));
  BeginProbe(&reach, Millis(1150));
  BOOST_TEST((EndProbe(&reach, Millis(4000)) == ProbeEnd::kUnsure));
  BOOST_TEST(!reach.lost);
  // An unreachable data centre stays so until a message is received from it.
  BeginProbe(&reach, Millis(4000));
  EndProbe(&reach, Millis(4200));
  BeginProbe(&reach, Millis(4200));
  BOOST_TEST((EndProbe(&reach, Millis(9000)) == ProbeEnd::kUnsure));
  BOOST_TEST(reach.lost);
}

struct PauseRow {
  double lost_for;
  double least;
  double most;
};

std::ostream& operator<<(std::ostream& out, const PauseRow& row) {
  return out << row.lost_for;
}

const PauseRow kPauses[] = {
    {0, 0, 0}, {8000, 0, 0}, {60000, 1000, 5000}, {86400000, 5000, 5000}};

// A data centre that was shut down for good is still in the list of instances.
// Probed as often as during a partition, it would cost each instance thirty
// connections per second forever.
BOOST_DATA_TEST_CASE(LongLossesAreSoundedSeldom, bdata::make(kPauses), row) {
  Reachability reach;
  BeginProbe(&reach, Millis(1000));
  EndProbe(&reach, Millis(1200));
  BeginProbe(&reach, Millis(1200));
  EndProbe(&reach, Millis(1400));
  const Millis pause = ProbePause(reach, Millis(1200 + row.lost_for));
  BOOST_TEST(pause.count >= row.least);
  BOOST_TEST(pause.count <= row.most);
}

}  // namespace
}  // namespace hibiscuspick::engine
