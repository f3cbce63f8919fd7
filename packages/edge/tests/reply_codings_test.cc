// Replies with codings or framing that this software does not decode.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "reply_forms.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

constexpr RouteKind kKinds[] = {RouteKind::kNotIdempotent,
                                RouteKind::kIdempotent, RouteKind::kFanOut};

constexpr const char* kNamed = "Q-Id: $\r\nQ-Stamp: other\r\n";
constexpr const char* kLength = "Content-Length: 5\r\n\r\nother";
constexpr const char* kChunks = "\r\n5\r\nother\r\n0\r\n\r\n";

std::string Reply(const std::string& headers, const std::string& rest,
                  const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\n" + kNamed + headers + rest;
}

const ReplyForm kForms[] = {
    {"content coding", Reply("Content-Encoding: gzip\r\n", kLength)},
    {"empty content coding, then one",
     Reply("Content-Encoding:\r\nContent-Encoding: gzip\r\n", kLength)},
    {"empty content coding", Reply("Content-Encoding: \r\n", kLength)},
    {"content coding identity",
     Reply("Content-Encoding: identity\r\n", kLength)},
    {"content coding in odd case",
     Reply("cONTENT-eNCODING:\t GZIP \r\n", kLength)},
    {"content coding in a folded field",
     Reply("Content-Encoding:\r\n gzip\r\n", kLength)},
    {"client error with a content coding",
     Reply("Content-Encoding: gzip\r\n", kLength, "404 Not Found")},
    {"server error with a content coding",
     Reply("Content-Encoding: gzip\r\n", kLength, "500 Failed")},
    {"refusal with a content coding",
     Reply("Q-Not-Run: 1\r\nContent-Encoding: gzip\r\n", kLength, "503 Full")},
    {"transfer coding before chunked",
     Reply("Transfer-Encoding: gzip, chunked\r\n", kChunks)},
    {"transfer coding in odd case before chunked",
     Reply("transfer-encoding:  GZIP ,\tchunked\r\n", kChunks)},
    {"transfer coding in a field of its own",
     Reply("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
           kChunks)},
    {"empty transfer coding, then chunked",
     Reply("Transfer-Encoding:\r\nTransfer-Encoding: chunked\r\n", kChunks)},
    {"transfer coding until close",
     Reply("Transfer-Encoding: gzip\r\n", "\r\nother"), true},
    {"transfer coding identity until close",
     Reply("Transfer-Encoding: identity\r\n", "\r\nother"), true},
    {"unknown transfer coding until close",
     Reply("Transfer-Encoding: xchunked\r\n", "\r\nother"), true},
    {"chunked before another coding",
     Reply("Transfer-Encoding: chunked, identity\r\n", "\r\nother"), true},
    {"chunked twice",
     Reply("Transfer-Encoding: chunked, chunked\r\n", kChunks)},
    {"chunked with a parameter",
     Reply("Transfer-Encoding: chunked;q=1\r\n", kChunks)},
    {"empty transfer coding", Reply("Transfer-Encoding:\r\n", kLength)},
    {"folded transfer coding",
     Reply("Transfer-Encoding: gzip,\r\n chunked\r\n", kChunks)},
    {"chunked and a length",
     Reply("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", kChunks)},
    {"a length and chunked",
     Reply("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", kChunks)},
    {"two lengths", Reply("Content-Length: 4\r\n", kLength)},
    {"the same length twice", Reply("Content-Length: 5\r\n", kLength)},
    {"list of lengths", Reply("Content-Length: 5, 5\r\n", "\r\nother")},
    {"folded field", Reply("A: b\r\n c\r\n", kLength)},
    {"space before a colon", Reply("A : b\r\n", kLength)},
};

// Failure: encoded bytes, or bytes of unclear framing, reach a caller.
BOOST_DATA_TEST_CASE(RepliesOfUnknownCodingAreNoAnswers,
                     bdata::make(kForms) * bdata::make(kKinds), form, kind) {
  CheckIsNoAnswer(form, kind);
}

// Failure: a damaged reply is taken as a success that its bytes are not.
BOOST_DATA_TEST_CASE(DamagedCodingsFormsAreNoWrongSuccesses,
                     bdata::make(kForms), form) {
  FuzzForm(form, 44);
}

// How the form ends an exchange that expects nothing of the headers, as calls
// to the store and to other instances do.
ExchangeEnd EndOfExchange(const ReplyForm& form) {
  RawServer server([&](const std::string& request) {
    return ScriptedReply{.text = TextFor(form, request), .closes = form.closes};
  });
  Loop loop;
  const auto channel = std::make_shared<HttpChannel>(&loop);
  ExchangeEnd end = ExchangeEnd::kBroken;
  channel->Connect({"127.0.0.1", server.port()}, Millis(5000), [&](bool ok) {
    BOOST_TEST(ok);
    HttpChannel::Exchange exchange;
    exchange.text = "GET / HTTP/1.1\r\n\r\n";
    exchange.max_reply_bytes = 4096;
    exchange.on_reply = [&](ExchangeEnd how, const HttpReply&) {
      end = how;
      loop.Stop();
    };
    channel->Send(std::move(exchange));
  });
  loop.Run();
  channel->Close();
  return end;
}

// Failure: encoded bytes of the store or of another instance are read.
BOOST_DATA_TEST_CASE(RepliesOfUnknownCodingAreRejectedOnAllPaths,
                     bdata::make(kForms), form) {
  BOOST_TEST((EndOfExchange(form) == ExchangeEnd::kRejected));
}

const ReplyForm kSound[] = {
    {"chunked", Reply("Transfer-Encoding: chunked\r\n", kChunks)},
    {"chunked in odd case", Reply("TRANSFER-encoding:  Chunked \r\n", kChunks)},
    {"length", Reply("", kLength)},
    {"length in odd case", Reply("content-LENGTH:  5 \r\n", "\r\nother")},
    {"until close", Reply("", "\r\nother"), true},
    {"names in odd case", "HTTP/1.1 200 OK\r\nq-iD: \t$ \r\nq-sTamp:other\r\n" +
                              std::string(kLength)},
};

BOOST_DATA_TEST_CASE(DamagedSoundFormsAreNoWrongSuccesses, bdata::make(kSound),
                     form) {
  FuzzForm(form, 45);
}

// Failure: checks of codings reject replies that are well framed.
BOOST_DATA_TEST_CASE(WellFramedRepliesAreAnswers, bdata::make(kSound), form) {
  TrafficFixture fixture;
  fixture.AddRoute("/p/").split = {{ServiceId("s"), 1}};
  fixture.AddServer("s", [&](const std::string& request) {
    return ScriptedReply{.text = TextFor(form, request), .closes = form.closes};
  });
  fixture.Publish();
  const auto answer = fixture.SendRequest("POST /p/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
  BOOST_TEST(answer.ends_with("\r\n\r\nother"), answer);
  BOOST_TEST((EndOfExchange(form) == ExchangeEnd::kReply));
}

}  // namespace
}  // namespace hibiscuspick::edge
