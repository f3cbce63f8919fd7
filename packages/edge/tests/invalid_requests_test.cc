#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

struct InvalidRow {
  const char* name;
  std::string text;
  int status;
};

std::ostream& operator<<(std::ostream& out, const InvalidRow& row) {
  return out << row.name;
}

const char kHead[] = "POST /p/x HTTP/1.1\r\nHost: h\r\nQ-Id: one\r\n";

const InvalidRow kInvalid[] = {
    {"two lengths",
     std::string(kHead) + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
     400},
    {"length and chunks",
     std::string(kHead) +
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     400},
    {"chunks and length",
     std::string(kHead) +
         "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
     400},
    {"bare LF line ends", "GET /p/x HTTP/1.1\nHost: h\n\n", 400},
    {"space in a header name",
     std::string(kHead) + "Content-Length : 3\r\n\r\nabc", 400},
    {"folded header", std::string(kHead) + "A: b\r\n c\r\nX Y: z\r\n\r\n", 400},
    {"not HTTP", "hello\r\n\r\n", 400},
    {"invalid length", std::string(kHead) + "Content-Length: -1\r\n\r\n", 400},
    {"invalid chunk size",
     std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
    {"header too long",
     std::string(kHead) + "A: " + std::string(20000, 'a') + "\r\n\r\n", 431},
    {"body too long", std::string(kHead) + "Content-Length: 300000\r\n\r\n",
     413},
    {"chunked body too long",
     std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n50000\r\n" +
         std::string(0x50000, 'a') + "\r\n",
     413},
};

// Failure: the instance and a server parse an ambiguous request differently, so
// that one caller's bytes become another's request (request smuggling). None
// may reach a server.
BOOST_DATA_TEST_CASE(InvalidRequestsReachNoServer, bdata::make(kInvalid), row) {
  TrafficFixture fixture;
  fixture.AddRoute("/p/").split = {{ServiceId("s"), 1}};
  auto& server = fixture.AddServer("s", [](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "s", "")};
  });
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send(row.text);
  const auto answer = client.Receive();
  BOOST_TEST(answer.starts_with("HTTP/1.1 " + std::to_string(row.status)));
  BOOST_TEST(HeaderValue(answer, "Connection") == "close");
  BOOST_TEST(server.requests().empty());
}

// Callers may send the next request before the reply to the previous one.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  TrafficFixture fixture;
  fixture.AddRoute("/p/").split = {{ServiceId("s"), 1}};
  fixture.AddServer("s", [](const std::string& request) {
    return ScriptedReply{
        .text =
            ValidReply(request, "s", request.substr(0, request.find(' ', 4)))};
  });
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send(TrafficFixture::RequestText("GET /p/1") +
              TrafficFixture::RequestText("GET /p/2", "Connection: close\r\n"));
  const auto answers = client.Receive();
  const size_t first = answers.find("GET /p/1");
  const size_t second = answers.find("GET /p/2");
  BOOST_TEST(first != std::string::npos);
  BOOST_TEST(second != std::string::npos);
  BOOST_TEST(first < second);
}

// A chunked body reaches the server with the same bytes.
BOOST_AUTO_TEST_CASE(ChunkedBodiesAreForwarded) {
  TrafficFixture fixture;
  fixture.AddRoute("/p/").split = {{ServiceId("s"), 1}};
  auto& server = fixture.AddServer("s", [](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "s", "")};
  });
  fixture.Publish();
  const auto answer = fixture.SendRequest(
      "POST /p/x",
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(server.requests().at(0).ends_with("\r\n\r\nabcde"));
  BOOST_TEST(server.requests().at(0).find("chunked") == std::string::npos);
}

}  // namespace
}  // namespace hibiscuspick::edge
