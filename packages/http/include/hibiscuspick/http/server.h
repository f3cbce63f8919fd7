// An HTTP server on cpp-httplib that can be asked, while a request is being
// worked on, whether its caller is still there, and that stops without cutting
// off what runs.
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::http {

struct ServerLimits {
  // Connections served at once; more wait to be accepted.
  size_t max_connections = 1024;
  // Bytes of a request's body; over it the answer is 413.
  size_t max_body = 1 << 20;
  // For the whole of a request's head and body, from its first byte. Without
  // it a caller that sends a byte now and then would hold a thread for ever.
  Millis request_timeout{5000};
  // How long an idle connection is kept.
  Millis idle_timeout{60000};
};

// What a server does with each connection beyond its requests. Both run on the
// connection's own thread.
struct ConnectionHooks {
  // Before the first byte is read; false closes the connection unread.
  std::function<bool(socket_t)> opened;
  // Before the socket is closed, also when `opened` gave false.
  std::function<void(socket_t)> closed;
};

// Routes are added through httplib::Server's Get, Post, Put and Delete before
// Start.
class Server : public httplib::Server {
 public:
  explicit Server(ServerLimits limits);
  ~Server() override;

  // Only before Start.
  void SetConnectionHooks(ConnectionHooks hooks) { hooks_ = std::move(hooks); }

  // Binds and serves in a thread of its own. Port 0 in `address` takes any
  // free port. Errors: kConnectFailed if the address can't be bound.
  Result<Done> Start(const std::string& ip, uint16_t port);

  // The port in use, 0 before Start.
  uint16_t port() const { return port_; }

  // From now on every answer closes its connection, so that callers go
  // elsewhere while new connections are still served.
  void CloseAfterAnswers() { closing_ = true; }

  // Connections now in a handler.
  int busy() const { return busy_; }

  // Stops accepting, lets every running request finish, and returns.
  void Stop();

 private:
  bool process_and_close_socket(socket_t sock) override;

  void ServeConnection(socket_t sock);

  const ServerLimits limits_;
  // Readable once the server is stopping.
  const int stopped_;
  ConnectionHooks hooks_;
  std::atomic<bool> closing_{false};
  std::atomic<int> busy_{0};
  socket_t listener_ = INVALID_SOCKET;
  uint16_t port_ = 0;
  std::thread thread_;
};

// Whether the caller whose request this thread is handling has closed its
// connection. False outside a handler.
bool CallerGone();

// Sends bytes to that caller as they are, around the library. For servers that
// answer wrongly on purpose. False if they can't be sent, and outside a
// handler.
bool SendRaw(std::string_view bytes);

// Closes that caller's connection; whatever the handler answers is lost.
void DropCaller();

}  // namespace hibiscuspick::http
