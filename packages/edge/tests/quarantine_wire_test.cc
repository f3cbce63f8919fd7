#include "hibiscuspick/edge/quarantine_wire.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

// Failure: an instance learns less from a message than its sender knew.
BOOST_AUTO_TEST_CASE(QuarantineMessagesKeepTheirContent) {
  QuarantineMessage message;
  message.wants_all = true;
  message.pass_on = true;
  engine::QuarantineReport report;
  report.request = {0x12, 0xffffffffffffffff};
  report.was_served = true;
  report.repeat_ended = true;
  report.repeats_alone = 1;
  report.survivors = 5;
  report.quarantines = 2;
  report.refused_for = Millis(1500);
  report.ends = {{1, 2, true}, {3, 4, false}};
  message.reports = {report};
  const auto parsed = ParseQuarantine(FormatQuarantine(message));
  BOOST_TEST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->wants_all);
  BOOST_TEST(parsed->pass_on);
  BOOST_TEST_REQUIRE(parsed->reports.size() == 1);
  const auto& it = parsed->reports[0];
  BOOST_TEST((it.request == report.request));
  BOOST_TEST(it.repeat_ended);
  BOOST_TEST(it.was_served);
  BOOST_TEST(it.repeats_alone == 1);
  BOOST_TEST(it.survivors == 5);
  BOOST_TEST(!it.cleared);
  BOOST_TEST(it.quarantines == 2);
  BOOST_TEST(it.refused_for.count == 1500);
  BOOST_TEST((it.ends == report.ends));
}

const char* const kMalformed[] = {
    "",
    "quarantine 2\n",
    "quarantine 1\n12 0 0 0 0 0 0 0\n",
    "quarantine 1\n00000000000000010000000000000002 0 0 0 0 0 0\n",
    "quarantine 1\n00000000000000010000000000000002 0 0 0 0 0 0 -5\n",
    "quarantine 1\n00000000000000010000000000000002 0 0 0 0 0 0 5 x:1\n",
    "quarantine 1\n00000000000000010000000000000002 0 0 0 0 0 0 5 1\n",
};

// Failure: a malformed message is taken in part.
BOOST_DATA_TEST_CASE(MalformedQuarantineMessagesAreRejected,
                     bdata::make(kMalformed), text) {
  BOOST_TEST(!ParseQuarantine(text));
}

}  // namespace
}  // namespace hibiscuspick::edge
