// Headers of a server's reply as callers get them.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "reply_forms.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

struct HeaderRow {
  const char* what;
  const char* status;
  const char* headers;
  // How often a header of this name reaches the caller.
  const char* name;
  size_t count;
};

std::ostream& operator<<(std::ostream& out, const HeaderRow& row) {
  return out << row.what;
}

const HeaderRow kRows[] = {
    {"own header", "200 OK", "A: 1\r\nA: 2\r\n", "A", 2},
    {"named by Connection", "200 OK", "Connection: A\r\nA: 1\r\n", "A", 0},
    {"named by a second Connection", "200 OK",
     "Connection: keep-alive\r\nConnection: A\r\nA: 1\r\n", "A", 0},
    {"named behind a tab", "200 OK", "Connection: keep-alive,\tA\r\nA: 1\r\n",
     "A", 0},
    {"named in odd case", "500 Failed", "connection: \ta\r\nA: 1\r\n", "A", 0},
    {"keep-alive", "200 OK", "Keep-Alive: timeout=5\r\n", "Keep-Alive", 0},
    {"trailer", "200 OK", "Trailer: A\r\n", "Trailer", 0},
    {"upgrade", "404 Not Found", "Upgrade: h2c\r\n", "Upgrade", 0},
    {"proxy credentials", "500 Failed", "Proxy-Authenticate: Basic\r\n",
     "Proxy-Authenticate", 0},
    {"length", "200 OK", "", "Content-Length", 1},
    {"id", "404 Not Found", "", "Q-Id", 1},
    {"stamp", "200 OK", "", "Q-Stamp", 1},
    {"content type twice", "200 OK",
     "Content-Type: text/plain\r\ncontent-type: text/html\r\n", "Content-Type",
     1},
    {"date twice", "500 Failed", "Date: a\r\nDate: b\r\n", "Date", 1},
    {"location twice", "301 Moved", "Location: /a\r\nLocation: /b\r\n",
     "Location", 1},
};

// Failure: headers of the server's connection, or one twice, reach the caller.
BOOST_DATA_TEST_CASE(HeadersOfTheServersConnectionStayThere, bdata::make(kRows),
                     row) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.attempts = 1;
  route.split = {{ServiceId("s"), 1}};
  fixture.AddServer("s", [&](auto&) {
    return ScriptedReply{.text = std::string("HTTP/1.1 ") + row.status +
                                 "\r\nQ-Id: one\r\nQ-Stamp: s\r\n" +
                                 row.headers + "Content-Length: 4\r\n\r\nbody"};
  });
  fixture.Publish();
  const auto answer = fixture.SendRequest("POST /p/x");
  BOOST_TEST(answer.starts_with(std::string("HTTP/1.1 ") +
                                std::string(row.status).substr(0, 3)),
             answer);
  BOOST_TEST(FieldsNamed(answer, row.name).size() == row.count, answer);
}

}  // namespace
}  // namespace hibiscuspick::edge
