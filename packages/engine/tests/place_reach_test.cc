#include "hibiscuspick/engine/place_reach.h"

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
  PlaceReach reach;
  reach.heard = Millis(row.heard);
  BOOST_TEST(WantsSounding(reach, Millis(row.since), Millis(row.now)) ==
             row.wants);
}

// A data centre is cut off. Each of its servers would be found out alone, and
// callers sent after them meanwhile.
BOOST_AUTO_TEST_CASE(ASoundingWithoutAnAnswerLosesThePlace) {
  PlaceReach reach;
  NoteHeard(&reach, Millis(1000));
  BeginSounding(&reach, Millis(1150));
  BOOST_TEST(!WantsSounding(reach, Millis(1010), Millis(1200)));
  BOOST_TEST(!reach.lost);
  BOOST_TEST((EndSounding(&reach, Millis(1352)) == SoundingEnd::kLost));
  BOOST_TEST(reach.lost);
  BeginSounding(&reach, Millis(1352));
  BOOST_TEST(NoteHeard(&reach, Millis(1400)));
  BOOST_TEST(!reach.lost);
  BOOST_TEST((EndSounding(&reach, Millis(1552)) == SoundingEnd::kThere));
  BOOST_TEST(!NoteHeard(&reach, Millis(1600)));
}

// The process itself stood still for seconds; answers wait in its sockets.
// Taken for silence, a machine that was suspended would turn its callers away
// when it wakes.
BOOST_AUTO_TEST_CASE(WhoStoodStillHasHeardNothingYet) {
  PlaceReach reach;
  NoteHeard(&reach, Millis(1000));
  BeginSounding(&reach, Millis(1150));
  BOOST_TEST((EndSounding(&reach, Millis(4000)) == SoundingEnd::kUnsure));
  BOOST_TEST(!reach.lost);
  // One that is lost stays so until it is heard.
  BeginSounding(&reach, Millis(4000));
  EndSounding(&reach, Millis(4200));
  BeginSounding(&reach, Millis(4200));
  BOOST_TEST((EndSounding(&reach, Millis(9000)) == SoundingEnd::kUnsure));
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
// instances. Sounded at the rate of a cut, it would cost each instance thirty
// connections a second for ever.
BOOST_DATA_TEST_CASE(LongLossesAreSoundedSeldom, bdata::make(kPauses), row) {
  PlaceReach reach;
  BeginSounding(&reach, Millis(1000));
  EndSounding(&reach, Millis(1200));
  BeginSounding(&reach, Millis(1200));
  EndSounding(&reach, Millis(1400));
  const Millis pause = SoundingPause(reach, Millis(1200 + row.lost_for));
  BOOST_TEST(pause.count >= row.least);
  BOOST_TEST(pause.count <= row.most);
}

}  // namespace
}  // namespace hibiscuspick::engine
