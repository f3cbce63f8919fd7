// Messages of which some part has no end, or announces a huge size.
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <new>
#include <optional>
#include <ostream>
#include <vector>

#include "hibiscuspick/edge/byte_stream.h"
#include "hibiscuspick/edge/exchange_limits.h"
#include "hibiscuspick/edge/http_message.h"
#include "mutation.h"
#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

using engine::Idempotency;

constexpr const char* kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kPost = "POST /p/x HTTP/1.1\r\nHost: h\r\nQ-Id: one\r\n";
constexpr const char* kChunkedPost = "Transfer-Encoding: chunked\r\n\r\n";

struct EndlessRow {
  const char* what;
  // Sent first, then `repeated` until the connection is closed.
  std::string begin;
  std::string repeated;
};

std::ostream& operator<<(std::ostream& out, const EndlessRow& row) {
  return out << row.what;
}

std::string Pad() { return std::string(4096, 'a'); }

const EndlessRow kReplies[] = {
    {"announced length",
     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Pad()},
    {"announced chunk", kChunked + std::string("FFFFFFFFF\r\n"), Pad()},
    {"status line", "HTTP/1.1 200 ", Pad()},
    {"header line", "HTTP/1.1 200 OK\r\nA: ", Pad()},
    {"header lines", "HTTP/1.1 200 OK\r\n", "A: " + Pad() + "\r\n"},
    {"blank lines", "", "\r\n\r\n"},
    {"no HTTP", "", Pad()},
    {"body until close", "HTTP/1.1 200 OK\r\n\r\n", Pad()},
    {"chunks", kChunked, "1000\r\n" + Pad() + "\r\n"},
    {"tiny chunks", kChunked, "1\r\na\r\n"},
    {"chunk extension", kChunked + std::string("1;"), Pad()},
    {"chunk extensions", kChunked, "1;" + Pad() + "\r\na\r\n"},
    {"trailer", kChunked + std::string("0\r\nA: "), Pad()},
    {"trailers", kChunked + std::string("0\r\n"), "A: " + Pad() + "\r\n"},
    {"interim replies", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"interim replies with headers", "",
     "HTTP/1.1 103 Early Hints\r\nA: " + Pad() + "\r\n\r\n"},
    {"replies to other requests", "",
     "HTTP/1.1 200 OK\r\nQ-Id: other\r\nContent-Length: 0\r\n\r\n"},
    {"bytes after a reply",
     "HTTP/1.1 500 Failed\r\nQ-Id: one\r\nContent-Length: 0\r\n\r\n", Pad()},
};

const EndlessRow kRequests[] = {
    {"announced length",
     kPost + std::string("Content-Length: 99999999999"
                         "\r\n\r\n"),
     Pad()},
    {"announced chunk", kPost + (kChunkedPost + std::string("FFFFFFFFF\r\n")),
     Pad()},
    {"request line", "GET /", Pad()},
    {"header line", kPost + std::string("A: "), Pad()},
    {"header lines", kPost, "A: " + Pad() + "\r\n"},
    {"no HTTP", "", Pad()},
    {"chunks", kPost + std::string(kChunkedPost), "1000\r\n" + Pad() + "\r\n"},
    {"tiny chunks", kPost + std::string(kChunkedPost), "1\r\na\r\n"},
    {"chunk extension", kPost + (kChunkedPost + std::string("1;")), Pad()},
    {"chunk extensions", kPost + std::string(kChunkedPost),
     "1;" + Pad() + "\r\na\r\n"},
    {"trailer", kPost + (kChunkedPost + std::string("0\r\nA: ")), Pad()},
    {"trailers", kPost + (kChunkedPost + std::string("0\r\n")),
     "A: " + Pad() + "\r\n"},
};

// Feeds the reader as a connection would until it ends or `max_bytes` are read.
template <class Reader>
std::pair<ReadState, size_t> ReadEndless(Reader* reader, const EndlessRow& row,
                                         size_t max_bytes,
                                         size_t* most_unparsed) {
  std::string buf = row.begin;
  size_t n = row.begin.size();
  ReadState state = ReadState::kMore;
  while (state == ReadState::kMore && n < max_bytes) {
    buf += row.repeated;
    n += row.repeated.size();
    state = reader->Read(&buf);
    *most_unparsed = std::max(*most_unparsed, buf.size());
  }
  return {state, n};
}

constexpr size_t kHeaderBytes = 16384;
constexpr size_t kBodyBytes = 100000;
constexpr size_t kMaxRead = 2 * (kHeaderBytes + kBodyBytes) + 8192;

// Failure: a message holds more memory than its limits, or a reader throws.
BOOST_DATA_TEST_CASE(RepliesEndAtTheirLimit, bdata::make(kReplies), row) {
  ReplyReader reader(false, {kHeaderBytes, kBodyBytes});
  size_t most_unparsed = 0;
  const auto [state, n] =
      ReadEndless(&reader, row, 50 * kMaxRead, &most_unparsed);
  BOOST_TEST((state != ReadState::kMore));
  BOOST_TEST(n <= kMaxRead);
  BOOST_TEST(most_unparsed <= 2 * kHeaderBytes);
}

BOOST_DATA_TEST_CASE(RequestsEndAtTheirLimit, bdata::make(kRequests), row) {
  RequestReader reader({kHeaderBytes, kBodyBytes});
  size_t most_unparsed = 0;
  const auto [state, n] =
      ReadEndless(&reader, row, 50 * kMaxRead, &most_unparsed);
  BOOST_TEST((state != ReadState::kMore));
  BOOST_TEST(n <= kMaxRead);
  BOOST_TEST(most_unparsed <= 2 * kHeaderBytes);
}

constexpr std::string_view kTokens[] = {
    "\r\n",
    "\r\n\r\n",
    "0\r\n",
    "1;",
    "FFFFFFFFFFFFFFFF",
    "100 ",
    "204 ",
    "Content-Length: 5\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "HTTP/1.1 200 OK\r\n",
    "\xff",
    ",",
    "\t",
    ":",
    std::string_view("\0", 1),
};

// Feeds the text in random pieces, and then `repeated`, to one reader after
// the other, as a connection does with one message after the other.
template <class MakeReader>
void FuzzReader(const EndlessRow& row, uint64_t seed,
                const MakeReader& make_reader) {
  constexpr int kRounds = 300;
  constexpr int kMaxMessages = 20;
  Random random(seed);
  for (int i = 0; i < kRounds; ++i) {
    std::string text =
        testing::Mutate(row.begin + row.repeated.substr(0, 64) + row.repeated,
                        kTokens, &random);
    std::string buf;
    size_t n = 0;
    for (int messages = 0; messages < kMaxMessages; ++messages) {
      auto reader = make_reader();
      ReadState state = ReadState::kMore;
      while (state == ReadState::kMore && n <= 3 * kMaxRead) {
        if (text.empty()) text = row.repeated;
        const size_t piece =
            std::min(1 + random.Below(random.Below(9000) + 1), text.size());
        buf += text.substr(0, piece);
        text.erase(0, piece);
        n += piece;
        state = reader.Read(&buf);
        BOOST_TEST_REQUIRE(
            (state != ReadState::kMore || buf.size() <= 2 * kHeaderBytes));
      }
      if (state != ReadState::kDone) break;
      BOOST_TEST_REQUIRE(reader.Take().body.size() <= kBodyBytes);
      if (buf.empty()) break;
    }
    BOOST_TEST_REQUIRE(n <= 3 * kMaxRead + 9000);
  }
}

// Failure: a damaged message outgrows its limits, or its reader throws.
BOOST_DATA_TEST_CASE(DamagedRepliesStayWithinLimits, bdata::make(kReplies),
                     row) {
  FuzzReader(row, 41, [] {
    return ReplyReader(false, {kHeaderBytes, kBodyBytes});
  });
}

BOOST_DATA_TEST_CASE(DamagedRequestsStayWithinLimits, bdata::make(kRequests),
                     row) {
  FuzzReader(row, 42, [] { return RequestReader({kHeaderBytes, kBodyBytes}); });
}

// Failure: a reply without end is read on, or taken as one that has not run.
BOOST_DATA_TEST_CASE(EndlessRepliesAreCutOff,
                     bdata::make(kReplies) * bdata::make({false, true}), row,
                     idempotent) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.attempts = 1;
  route.idempotency =
      idempotent ? Idempotency::kIdempotent : Idempotency::kNotIdempotent;
  route.timeout = Millis(60000);
  route.split = {{ServiceId("s"), 1}};
  fixture.AddServer("s", [&](auto&) {
    return ScriptedReply{.text = row.begin + row.repeated,
                         .endless = row.repeated};
  });
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send(
      "POST /p/x HTTP/1.1\r\nHost: h\r\nQ-Id: one\r\nQ-Deadline: 50000\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n");
  const auto answer = client.Receive();
  const bool is_failure = answer.starts_with("HTTP/1.1 502 ") ||
                          answer.starts_with("HTTP/1.1 500 ");
  BOOST_TEST(is_failure, answer.substr(0, 200));
}

// Failure: a caller sends without end, and its request is read on.
BOOST_DATA_TEST_CASE(EndlessRequestsAreRejected, bdata::make(kRequests), row) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.split = {{ServiceId("s"), 1}};
  const auto& server = fixture.AddServer("s", [](const std::string& request) {
    return ScriptedReply{.text = ValidReply(request, "stamp", "body")};
  });
  fixture.config().limits.header_timeout = Millis(60000);
  fixture.Publish();
  RawClient client(fixture.port());
  client.Send(row.begin + row.repeated);
  // More than the limits and what the kernel buffers.
  constexpr size_t kTooMany = 64 << 20;
  size_t n = 0;
  while (n < kTooMany && client.SendAll(row.repeated)) {
    n += row.repeated.size();
  }
  BOOST_TEST(n < kTooMany);
  BOOST_TEST(server.connections() == 0);
}

// Failure: replies that are small enough by themselves use up the memory.
BOOST_AUTO_TEST_CASE(LargestReplyEndsWhenMemoryIsUsedUp) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.timeout = Millis(60000);
  route.split = {{ServiceId("s"), 1}};
  // Each stops short of its own limit.
  constexpr size_t kBytes = 7 << 20;
  constexpr size_t kClients = 6;
  for (size_t i = 0; i < kClients; ++i) {
    fixture.AddServer("s", [&](auto&) {
      return ScriptedReply{
          .text = "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" +
                  std::string(kBytes, 'a'),
          .waits = true};
    });
  }
  fixture.Publish();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(fixture.port()));
    clients.back()->Send(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nQ-Id: one\r\nQ-Deadline: 50000\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n");
  }
  const auto oversized = [&] {
    const auto text = fixture.GetReadiness(std::string(kMetricsPath));
    const std::string key =
        "hibiscuspick_edge_oversized_replies_total{element=\"reply_memory\"} ";
    const size_t at = text.find(key);
    return at == std::string::npos ? 0
                                   : std::stoul(text.substr(at + key.size()));
  };
  constexpr size_t kFitting = kMaxReplyMemory / kBytes;
  BOOST_TEST(Eventually([&] { return oversized() == kClients - kFitting; }));
}

// Failure: an exception while received bytes are handled ends the process.
BOOST_AUTO_TEST_CASE(ExceptionsEndTheConnectionAlone) {
  RawServer server([](auto&) { return ScriptedReply{.text = "reply"}; });
  metrics::Registry registry;
  const ExchangeCounters counters(&registry);
  Loop loop;
  loop.set_exchange_counters(&counters);
  const auto stream = std::make_shared<ByteStream>(&loop);
  std::optional<StreamEnd> end;
  stream->Connect({"127.0.0.1", server.port()}, Millis(5000), [&](bool ok) {
    BOOST_TEST(ok);
    stream->Start({[](auto) { throw std::bad_alloc(); },
                   [&](StreamEnd how) {
                     end = how;
                     loop.Stop();
                   }});
    stream->Write("request\r\n\r\n");
  });
  loop.Run();
  BOOST_TEST((end == StreamEnd::kBroken));
  BOOST_TEST(registry.PrometheusText().find(
                 "hibiscuspick_edge_exchange_exceptions_total 1") !=
             std::string::npos);
}

}  // namespace
}  // namespace hibiscuspick::edge
