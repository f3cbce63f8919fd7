// Replies with a success status that are no valid success.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

using engine::Idempotency;

struct InvalidRow {
  const char* what;
  const char* status;
  const char* headers;
};

std::ostream& operator<<(std::ostream& out, const InvalidRow& row) {
  return out << row.what;
}

const InvalidRow kInvalid[] = {
    {"no stamp", "200 OK", "Q-Id: one\r\n"},
    {"no id", "200 OK", "Q-Stamp: stamp\r\n"},
    {"neither", "200 OK", ""},
    {"encoded", "200 OK",
     "Q-Id: one\r\nQ-Stamp: stamp\r\nContent-Encoding: gzip\r\n"},
    {"created, no stamp", "201 Created", "Q-Id: one\r\n"},
};

// Failure: a reply that is rejected as invalid reaches the caller as a success.
BOOST_DATA_TEST_CASE(InvalidSuccessesAreNotPassedOn,
                     bdata::make(kInvalid) * bdata::make({false, true}), row,
                     idempotent) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.attempts = idempotent ? 2 : 1;
  route.idempotency =
      idempotent ? Idempotency::kIdempotent : Idempotency::kNotIdempotent;
  route.split = {{ServiceId("s"), 1}};
  for (int i = 0; i < 2; ++i) {
    fixture.AddServer("s", [&](auto&) {
      return ScriptedReply{.text = std::string("HTTP/1.1 ") + row.status +
                                   "\r\n" + row.headers +
                                   "Content-Length: 4\r\n\r\nbody"};
    });
  }
  fixture.Publish();
  const auto answer = fixture.SendRequest("POST /p/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(answer.find("body") == std::string::npos, answer);
}

}  // namespace
}  // namespace hibiscuspick::edge
