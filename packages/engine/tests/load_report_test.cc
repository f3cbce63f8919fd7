#include "hibiscuspick/engine/load_report.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

BOOST_AUTO_TEST_CASE(ParsesReports) {
  const auto report = ParseLoadReport("2, 3,4,450");
  BOOST_TEST_REQUIRE(report.has_value());
  BOOST_TEST(report->running == 2);
  BOOST_TEST(report->waiting == 3);
  BOOST_TEST(report->slots == 4);
  BOOST_TEST(report->work_factor == 4.5);
  BOOST_TEST(ParseLoadReport("0,0,8")->work_factor == 1);
}

const char* const kUnreadable[] = {
    "",      "1",          "1,2",         "1,2,",        "-1,0,2",
    "1,0,0", "1,0,2,0",    "1,0,2,-5",    "1,0,2,100,7", "1,0,2,x",
    "a,b,c", "1;0;2",      "1,0,2,1e9",   "nan,0,2",     "1,0,99999999999",
    "1 0 2", "1,0,2,100 ", "1,0,2000000", "1.5,0,2",     ",,,",
};

// Failure: a malformed load report makes a server look idle, or stuck.
BOOST_DATA_TEST_CASE(RejectsMalformedReports, bdata::make(kUnreadable), text) {
  BOOST_TEST(!ParseLoadReport(text).has_value());
}

}  // namespace
}  // namespace hibiscuspick::engine
