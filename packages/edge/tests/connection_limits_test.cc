// What all connections of a listener may hold together, through sockets.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <list>
#include <memory>
#include <vector>

#include "traffic_fixture.h"

namespace hibiscuspick::edge {
namespace {

constexpr size_t kHeaderBytes = 16384;
constexpr size_t kBodyBytes = 65536;

// A listener of its own that answers each request with 200, or with nothing.
class ListenerFixture {
 public:
  explicit ListenerFixture(const engine::ConnectionLimits& limits,
                           bool answers = true)
      : port_(FreePort()), answers_(answers) {
    SessionPolicy policy;
    policy.limits = [] {
      engine::CallerLimits it;
      it.header_bytes = kHeaderBytes;
      it.body_bytes = kBodyBytes;
      return it;
    };
    policy.on_request = [this](const auto& session, const HttpRequest&) {
      ++requests_;
      HttpReply reply;
      reply.status = 200;
      if (answers_) session->Reply(reply);
    };
    policy.closing = [] { return false; };
    listener_ = std::make_unique<HttpListener>(&loop_, policy);
    listener_->set_limits(limits);
    BOOST_TEST_REQUIRE(IsOk(listener_->Listen({"127.0.0.1", port_})));
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~ListenerFixture() {
    loop_.Stop();
    thread_.join();
  }

  int requests() const { return requests_; }
  RawClient& Connect() { return clients_.emplace_back(port_); }
  std::string Ask(const std::string& request) {
    auto& client = Connect();
    client.SendAll(request);
    return client.Receive("\r\n\r\n");
  }

 private:
  Loop loop_;
  const uint16_t port_;
  const bool answers_;
  std::atomic<int> requests_{0};
  std::unique_ptr<HttpListener> listener_;
  std::thread thread_;
  std::list<RawClient> clients_;
};

constexpr const char* kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string PartOfBody() {
  return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "10000\r\n" +
         std::string(kBodyBytes - 1, 'a');
}

// Failure: parts of requests are kept without a common limit.
BOOST_AUTO_TEST_CASE(PartsOfRequestsAreRefusedOverTheLimit) {
  ListenerFixture fixture({1000, 1 << 20});
  std::vector<RawClient*> crowd;
  for (int i = 0; i < 200; ++i) {
    crowd.push_back(&fixture.Connect());
    BOOST_TEST(crowd.back()->SendAll(PartOfBody()));
  }
  BOOST_TEST(fixture.Ask(kGet).starts_with("HTTP/1.1 200"));
  const std::string reply = crowd.front()->Receive();
  BOOST_TEST(reply.starts_with("HTTP/1.1 503"));
  BOOST_TEST(!HeaderValue(reply, "Retry-After").empty());
  BOOST_TEST(HeaderValue(reply, "Connection") == "close");
}

// Failure: idle connections keep new ones out, or used ones are closed first.
BOOST_AUTO_TEST_CASE(NewConnectionsReplaceUnusedOnes) {
  ListenerFixture fixture({4, 1 << 20});
  auto& kept = fixture.Connect();
  kept.Send(kGet);
  BOOST_TEST(kept.Receive("\r\n\r\n").starts_with("HTTP/1.1 200"));
  for (int i = 0; i < 8; ++i) fixture.Connect();
  BOOST_TEST(fixture.Ask(kGet).starts_with("HTTP/1.1 200"));
  kept.Send(kGet);
  BOOST_TEST(kept.Receive("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Failure: a client waits in vain while all connections serve others.
BOOST_AUTO_TEST_CASE(NewConnectionsAreRefusedWhileAllServe) {
  ListenerFixture fixture({3, 1 << 20}, false);
  for (int i = 0; i < 3; ++i) fixture.Connect().Send(kGet);
  BOOST_TEST_REQUIRE(Eventually([&] { return fixture.requests() == 3; }));
  auto& refused = fixture.Connect();
  const std::string reply = refused.Receive();
  BOOST_TEST(reply.starts_with("HTTP/1.1 503"));
  BOOST_TEST(!HeaderValue(reply, "Retry-After").empty());
}

// Failure: complete requests that wait for their replies have no common limit.
BOOST_AUTO_TEST_CASE(CompleteRequestsAreRefusedOverTheLimit) {
  ListenerFixture fixture({1000, 1 << 20}, false);
  const std::string whole =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" +
      std::string(kBodyBytes, 'a');
  int refused = 0;
  std::vector<RawClient*> crowd;
  for (int i = 0; i < 12; ++i) {
    crowd.push_back(&fixture.Connect());
    crowd.back()->SendAll(whole);
  }
  // Twice 65,536 bytes each, and at most an eighth of what is free.
  for (size_t i = 1; i < crowd.size() && refused == 0; ++i) {
    refused += crowd[crowd.size() - i]
                   ->Receive("\r\n\r\n")
                   .starts_with("HTTP/1.1 503");
  }
  BOOST_TEST(refused == 1);
}

// Failure: a client inside the limits is refused in calm.
BOOST_AUTO_TEST_CASE(TheLargestRequestFitsIntoASmallShare) {
  ListenerFixture fixture({10, 1});
  BOOST_TEST(
      fixture.Ask(PartOfBody() + "a\r\n0\r\n\r\n").starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace hibiscuspick::edge
