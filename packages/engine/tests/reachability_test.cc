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
    {"asked just now", 100, 101, 150, false},
    {"a pause of one server, others speak", 340, 200, 350, false},
    {"nobody speaks", 190, 200, 301, true},
    {"never heard, and asked for a while", -1, 0, 120, true},
};

BOOST_DATA_TEST_CASE(OnlySilenceOfAllIsASign, bdata::make(kSigns), row) {
  Reachability reach;
  reach.heard = Millis(row.heard);
  BOOST_TEST(WantsProbe(reach, Millis(row.since), Millis(row.now)) ==
             row.wants);
}

// A data centre is cut off. Each of its servers would be found out alone, and
// callers sent after them meanwhile.
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

// The process itself stood still for seconds; answers wait in its sockets.
// Taken for silence, a machine that was suspended would turn its callers away
// when it wakes.
BOOST_AUTO_TEST_CASE(WhoStoodStillHasHeardNothingYet) {
  Reachability reach;
  RecordContact(&reach, Millis(1000));
  BeginProbe(&reach, Millis(1150));
  BOOST_TEST((EndProbe(&reach, Millis(4000)) == ProbeEnd::kUnsure));
  BOOST_TEST(!reach.lost);
  // One that is lost stays so until it is heard.
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

// A data centre that was taken down for good is still in the lists of
// instances. Probed at the rate of a cut, it would cost each instance thirty
// connections a second for ever.
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
