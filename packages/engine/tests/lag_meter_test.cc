#include "hibiscuspick/engine/lag_meter.h"

#include <boost/test/unit_test.hpp>

#include "hibiscuspick/base/random.h"

namespace hibiscuspick::engine {
namespace {

// Failure: every tenth answer that is sent at its scheduled time is slightly
// late, on each hop, and loses nine tenths of its payoff.
BOOST_AUTO_TEST_CASE(MostSamplesAreBelowTheHighQuantile) {
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

BOOST_AUTO_TEST_CASE(BurstsAreForgotten) {
  LagMeter meter;
  for (int i = 0; i < 20; ++i) AddLag(&meter, Millis(40));
  BOOST_TEST(meter.high().count > 35);
  for (int i = 0; i < 100; ++i) AddLag(&meter, Millis(1));
  BOOST_TEST(meter.high().count < 5);
}

// A peer was stopped for 1.5 seconds and continues. Its callers must not be
// refused for lack of time for the next half minute.
BOOST_AUTO_TEST_CASE(SingleStallIsCapped) {
  LagMeter meter;
  for (int i = 0; i < 100; ++i) AddLag(&meter, Millis(2));
  AddLag(&meter, Millis(1500));
  BOOST_TEST(meter.high().count < 8);
}

}  // namespace
}  // namespace hibiscuspick::engine
