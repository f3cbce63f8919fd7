#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>

#include "hibiscuspick/http/connection.h"
#include "hibiscuspick/http/server.h"

namespace {

using hibiscuspick::Address;
using hibiscuspick::Code;
using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Millis;
using hibiscuspick::ValueOf;
using hibiscuspick::http::Connection;
using hibiscuspick::http::MakeRequest;
using hibiscuspick::http::Server;

constexpr Millis kLong{20000};

Address Local(const Server& server) { return {"127.0.0.1", server.port()}; }

// A listening socket that takes connections, reads what comes, counts them,
// and closes each without an answer.
class SilentCloser {
 public:
  SilentCloser() {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    bind(listener_, raw, sizeof(address));
    listen(listener_, 16);
    socklen_t size = sizeof(address);
    getsockname(listener_, raw, &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  ~SilentCloser() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  uint16_t port() const { return port_; }
  int requests() const { return requests_; }

 private:
  void Run() {
    for (;;) {
      const int sock = accept(listener_, nullptr, nullptr);
      if (sock < 0) return;
      char buf[4096];
      if (recv(sock, buf, sizeof(buf), 0) > 0) ++requests_;
      close(sock);
    }
  }
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<int> requests_{0};
  std::thread thread_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_is_answered_and_the_connection_kept) {
  Server server({});
  server.Post("/echo", [](const auto& request, auto& response) {
    response.set_content(request.body, "application/json");
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  Connection connection(Local(server), {});
  for (int i = 0; i < 20; ++i) {
    const auto result =
        connection.Send(MakeRequest("POST", "/echo", "42"), kLong);
    BOOST_REQUIRE(IsOk(result));
    BOOST_TEST(ValueOf(result).body == "42");
    BOOST_TEST(connection.IsOpen());
  }
}

// A backend server accepts a record and dies before it answers. If the client
// sent the request again by itself, the user's claim would be recorded twice.
BOOST_AUTO_TEST_CASE(the_client_never_resends_by_itself) {
  SilentCloser closer;
  Connection connection({"127.0.0.1", closer.port()}, {});
  const auto result =
      connection.Send(MakeRequest("POST", "/record", "{}"), kLong);
  BOOST_REQUIRE(!IsOk(result));
  BOOST_TEST((ErrorOf(result).code == Code::kReadFailed));
  BOOST_TEST(closer.requests() == 1);
}

// A caller hangs up while its query runs. Unless the handler notices, backend
// servers go on working for nobody.
BOOST_AUTO_TEST_CASE(a_handler_sees_that_its_caller_is_gone) {
  Server server({});
  std::atomic<bool> entered{false};
  std::atomic<bool> seen{false};
  server.Get("/wait", [&](const auto&, auto&) {
    entered = true;
    while (!hibiscuspick::http::CallerGone()) std::this_thread::yield();
    seen = true;
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  auto connection = std::make_unique<Connection>(
      Local(server), hibiscuspick::http::ConnectionLimits{});
  std::thread caller(
      [&] { connection->Send(MakeRequest("GET", "/wait"), kLong); });
  while (!entered) std::this_thread::yield();
  connection->Abort();
  caller.join();
  server.Stop();
  BOOST_TEST(seen.load());
}

// A planned stop arrives while a request is in its handler. The caller must
// still get its whole answer.
BOOST_AUTO_TEST_CASE(stopping_lets_a_running_request_finish) {
  Server server({});
  std::atomic<bool> entered{false};
  std::atomic<bool> release{false};
  server.Get("/slow", [&](const auto&, auto& response) {
    entered = true;
    while (!release) std::this_thread::yield();
    response.set_content("whole", "text/plain");
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  Connection connection(Local(server), {});
  std::string body;
  std::thread caller([&] {
    const auto result = connection.Send(MakeRequest("GET", "/slow"), kLong);
    if (IsOk(result)) body = ValueOf(result).body;
  });
  while (!entered) std::this_thread::yield();
  std::thread stopper([&] { server.Stop(); });
  release = true;
  stopper.join();
  caller.join();
  BOOST_TEST(body == "whole");
}

// A backend server sends a reply without end. It must not fill the memory.
BOOST_AUTO_TEST_CASE(an_endless_reply_is_cut_at_the_limit) {
  Server server({});
  server.Get("/endless", [](const auto&, auto& response) {
    response.set_chunked_content_provider(
        "text/plain", [](size_t, httplib::DataSink& sink) {
          const std::string block(65536, 'x');
          return sink.write(block.data(), block.size());
        });
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  hibiscuspick::http::ConnectionLimits limits;
  limits.max_body = 200000;
  Connection connection(Local(server), limits);
  const auto result = connection.Send(MakeRequest("GET", "/endless"), kLong);
  BOOST_REQUIRE(!IsOk(result));
  BOOST_TEST((ErrorOf(result).code == Code::kReplyTooLarge));
}

BOOST_AUTO_TEST_CASE(nobody_listening_is_a_failed_connect) {
  uint16_t port = 0;
  {
    SilentCloser closer;
    port = closer.port();
  }
  Connection connection({"127.0.0.1", port}, {});
  const auto result = connection.Send(MakeRequest("GET", "/"), kLong);
  BOOST_REQUIRE(!IsOk(result));
  BOOST_TEST((ErrorOf(result).code == Code::kConnectFailed));
}

// Servers limit their connections: one over the limit is closed before its
// request is read. A client must see that as a connection that broke.
BOOST_AUTO_TEST_CASE(a_hook_may_close_a_connection_unread) {
  Server server({});
  std::atomic<int> handled{0};
  std::atomic<int> closed{0};
  server.Get("/", [&](const auto&, auto&) { ++handled; });
  server.SetConnectionHooks(
      {[](socket_t) { return false; }, [&](socket_t) { ++closed; }});
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  Connection connection(Local(server), {});
  BOOST_TEST(!IsOk(connection.Send(MakeRequest("GET", "/"), kLong)));
  server.Stop();
  BOOST_TEST(handled.load() == 0);
  BOOST_TEST(closed.load() == 1);
}

// A server dies after the work and before the answer. The client sees a broken
// connection, or what bytes came before.
BOOST_AUTO_TEST_CASE(a_handler_may_drop_its_caller) {
  Server server({});
  server.Get("/", [](const auto&, auto& response) {
    hibiscuspick::http::SendRaw(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n4");
    hibiscuspick::http::DropCaller();
    response.set_content("whole", "text/plain");
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  Connection connection(Local(server), {});
  const auto result = connection.Send(MakeRequest("GET", "/"), kLong);
  BOOST_REQUIRE(!IsOk(result));
  BOOST_TEST((ErrorOf(result).code == Code::kReadFailed));
  BOOST_TEST(!hibiscuspick::http::SendRaw("outside a handler"));
}
