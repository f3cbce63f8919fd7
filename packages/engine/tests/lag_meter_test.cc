#include "hibiscuspick/engine/lag_meter.h"

#include <boost/test/unit_test.hpp>

#include "hibiscuspick/base/random.h"

namespace hibiscuspick::engine {
namespace {

// Failure: each tenth answer that is given by the clock leaves a little late,
// on each hop, and is worth a tenth.
BOOST_AUTO_TEST_CASE(MostSamplesLieBelowIt) {
  Random random(3);
  LagMeter meter;
  int above = 0;
  for (int i = 0; i < 5000; ++i) {
    const Millis sample(random.Fraction() * 10);
    if (i >= 1000 && sample > meter.high()) ++above;
    AddLag(&meter, sample);
  }
  BOOST_TEST(above < 4000 * 0.03);
  BOOST_TEST(meter.high().count < 10);
}

BOOST_AUTO_TEST_CASE(ForgetsABurst) {
  LagMeter meter;
  for (int i = 0; i < 20; ++i) AddLag(&meter, Millis(40));
  BOOST_TEST(meter.high().count > 35);
  for (int i = 0; i < 100; ++i) AddLag(&meter, Millis(1));
  BOOST_TEST(meter.high().count < 5);
}

// The peer on the way was stopped for a second and a half and goes on. Its
// callers must not be told for the next half minute that there is no time.
BOOST_AUTO_TEST_CASE(OneStallIsNoLag) {
  LagMeter meter;
  for (int i = 0; i < 100; ++i) AddLag(&meter, Millis(2));
  AddLag(&meter, Millis(1500));
  BOOST_TEST(meter.high().count < 8);
}

}  // namespace
}  // namespace hibiscuspick::engine
