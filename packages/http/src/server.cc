#include "hibiscuspick/http/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "hibiscuspick/http/connection_threads.h"

namespace hibiscuspick::http {
namespace {

// The backlog the library sets is 5; a burst of new connections would lose
// its first packets and wait a second for the retry.
constexpr int kBacklog = 1024;

// How long an idle connection is still read once the server is stopping, for a
// request that its caller sent before it could know.
constexpr Millis kStoppingGrace{50};

// Bytes of a request's head. The library bounds a line but not their number,
// so that endless headers would fill the memory.
constexpr size_t kMaxHead = 64 << 10;

// What is still read of a connection that is to be closed.
constexpr size_t kMaxDrain = 4 << 20;
constexpr Millis kDrainTimeout{500};

thread_local socket_t current_socket = INVALID_SOCKET;

// Whether the answer just written says that the request could not be read to
// its end, so that what follows on the connection is not a new request.
thread_local bool lost_framing = false;

bool IsFramingLost(int status) {
  return status == 400 || status == 411 || status == 413 || status == 414;
}

// Waits for the events until the instant; false if it passed first.
bool WaitFor(socket_t sock, int16_t events, Millis until) {
  for (;;) {
    const Millis left = until - SteadyNow();
    if (left <= Millis(0)) return false;
    pollfd entry{sock, events, 0};
    const int n = poll(&entry, 1, static_cast<int>(left.count) + 1);
    if (n > 0) return true;
    if (n < 0 && errno != EINTR) return false;
  }
}

// Waits for bytes on an idle connection. Waiting on `stopped` too, rather than
// looking every so often, costs nothing while a thousand connections idle.
bool WaitForRequest(socket_t sock, int stopped, Millis until) {
  const Millis left = until - SteadyNow();
  if (left <= Millis(0)) return false;
  pollfd entries[] = {{sock, POLLIN, 0}, {stopped, POLLIN, 0}};
  const int n = poll(entries, 2, static_cast<int>(left.count) + 1);
  if (n < 0) return errno == EINTR && WaitForRequest(sock, stopped, until);
  if (entries[0].revents != 0) return true;
  if (entries[1].revents == 0) return false;
  return WaitFor(sock, POLLIN, SteadyNow() + kStoppingGrace);
}

void ReadEndpoint(socket_t sock, bool remote, std::string* ip, int* port) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  const int ec =
      remote ? getpeername(sock, raw, &size) : getsockname(sock, raw, &size);
  if (ec != 0 || address.sin_family != AF_INET) return;
  char buf[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, buf, sizeof(buf));
  *ip = buf;
  *port = ntohs(address.sin_port);
}

// One request's view of a connection. Reading is buffered, since the library
// asks for a request's head byte by byte.
class DeadlineStream : public httplib::Stream {
 public:
  explicit DeadlineStream(socket_t sock) : sock_(sock) {}

  // Reading stops at this instant; writing may take as long again.
  void SetDeadline(Millis until, Millis span) {
    until_ = until;
    span_ = span;
  }
  // Reading stops after this many bytes more. The library bounds only bodies
  // that state their length; a chunked one could grow without end.
  void SetBudget(size_t bytes) { budget_ = bytes; }
  bool HasBuffered() const { return begin_ < end_; }

  bool is_readable() const override {
    return HasBuffered() || WaitFor(sock_, POLLIN, until_);
  }
  bool is_writable() const override {
    return WaitFor(sock_, POLLOUT, SteadyNow() + span_);
  }
  ssize_t read(char* out, size_t size) override {
    if (!HasBuffered() && !Fill()) return filled_;
    const size_t n = std::min({size, end_ - begin_, budget_});
    if (n == 0) return -1;
    budget_ -= n;
    std::copy_n(buf_ + begin_, n, out);
    begin_ += n;
    return static_cast<ssize_t>(n);
  }
  ssize_t write(const char* data, size_t size) override {
    if (!is_writable()) return -1;
    return ::send(sock_, data, size, MSG_NOSIGNAL);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    ReadEndpoint(sock_, true, &ip, &port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    ReadEndpoint(sock_, false, &ip, &port);
  }
  socket_t socket() const override { return sock_; }

 private:
  // Reads what has arrived; false at the end of the stream or at the deadline,
  // with the result for the library in filled_.
  bool Fill() {
    filled_ = -1;
    if (!WaitFor(sock_, POLLIN, until_)) return false;
    filled_ = ::recv(sock_, buf_, sizeof(buf_), 0);
    if (filled_ <= 0) return false;
    begin_ = 0;
    end_ = static_cast<size_t>(filled_);
    return true;
  }

  const socket_t sock_;
  Millis until_;
  Millis span_;
  size_t budget_ = 0;
  char buf_[8192];
  size_t begin_ = 0;
  size_t end_ = 0;
  ssize_t filled_ = 0;
};

// Reads on for a while before closing: closing with unread bytes resets the
// connection, and the caller would lose the answer that says what was wrong.
void Drain(socket_t sock) {
  ::shutdown(sock, SHUT_WR);
  const Millis until = SteadyNow() + kDrainTimeout;
  char buf[8192];
  size_t total = 0;
  while (total < kMaxDrain && WaitFor(sock, POLLIN, until)) {
    const ssize_t n = ::recv(sock, buf, sizeof(buf), 0);
    if (n <= 0) return;
    total += static_cast<size_t>(n);
  }
}

#ifdef __SANITIZE_THREAD__
// One request to a server that has no routes. The library makes its tables (of
// methods and such) at their first use, under a guard that its compiled code
// reads in line. The thread sanitizer sees into neither, and reports two first
// requests at one moment as a race on a table's entry: one run of
// dispatch_tests in six. Made before any connection has a thread, the tables
// are known to all.
class Rehearsal : public httplib::Server {
 public:
  void Run() {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0) return;
    constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    constexpr Millis kEnough{1000};
    (void)::send(ends[0], kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
    DeadlineStream stream(ends[1]);
    stream.SetDeadline(SteadyNow() + kEnough, kEnough);
    stream.SetBudget(kMaxHead);
    bool closed = false;
    process_request(stream, true, closed, nullptr);
    ::close(ends[0]);
    ::close(ends[1]);
  }
};

void Rehearse() {
  static const bool done = (Rehearsal().Run(), true);
  (void)done;
}
#else
void Rehearse() {}
#endif

}  // namespace

bool CallerGone() {
  if (current_socket == INVALID_SOCKET) return false;
  pollfd entry{current_socket, POLLRDHUP, 0};
  if (poll(&entry, 1, 0) <= 0) return false;
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool SendRaw(std::string_view bytes) {
  if (current_socket == INVALID_SOCKET) return false;
  while (!bytes.empty()) {
    const ssize_t n =
        ::send(current_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

void DropCaller() {
  if (current_socket != INVALID_SOCKET) ::shutdown(current_socket, SHUT_RDWR);
}

Server::Server(ServerLimits limits)
    : limits_(limits), stopped_(::eventfd(0, EFD_CLOEXEC)) {
  set_tcp_nodelay(true);
  set_payload_max_length(limits.max_body);
  set_socket_options([this](socket_t sock) {
    const int on = 1;
    setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listener_ = sock;
  });
  // The library would cut a JSON answer to the byte range that a request asks
  // for, and the caller would take the rest for missing.
  set_pre_routing_handler([](const httplib::Request& request, auto&) {
    const_cast<httplib::Request&>(request).ranges.clear();
    return HandlerResponse::Unhandled;
  });
  set_post_routing_handler([](const auto&, auto& response) {
    lost_framing = IsFramingLost(response.status);
    if (lost_framing) response.set_header("Connection", "close");
  });
  new_task_queue = [n = limits.max_connections] {
    return new ConnectionThreads(n);
  };
}

Server::~Server() {
  Stop();
  ::close(stopped_);
}

Result<Done> Server::Start(const std::string& ip, uint16_t port) {
  int bound = port;
  if (port == 0) {
    bound = bind_to_any_port(ip);
  } else if (!bind_to_port(ip, port)) {
    bound = -1;
  }
  if (bound <= 0) {
    return Error{Code::kConnectFailed, ip + ":" + std::to_string(port),
                 "the address can't be listened on"};
  }
  port_ = static_cast<uint16_t>(bound);
  ::listen(listener_, kBacklog);
  Rehearse();
  thread_ = std::thread([this] { listen_after_bind(); });
  // Stop before the thread runs would be lost, so wait for it.
  while (!is_running()) std::this_thread::yield();
  return Done{};
}

void Server::Stop() {
  if (!thread_.joinable()) return;
  closing_ = true;
  const uint64_t one = 1;
  // Never read, so that it stays readable for every connection.
  [[maybe_unused]] const ssize_t n = ::write(stopped_, &one, sizeof(one));
  stop();
  thread_.join();
}

bool Server::process_and_close_socket(socket_t sock) {
  if (!hooks_.opened || hooks_.opened(sock)) ServeConnection(sock);
  if (hooks_.closed) hooks_.closed(sock);
  ::shutdown(sock, SHUT_RDWR);
  ::close(sock);
  return true;
}

void Server::ServeConnection(socket_t sock) {
  DeadlineStream stream(sock);
  bool open = true;
  while (open) {
    const Millis idle_until = SteadyNow() + limits_.idle_timeout;
    if (!stream.HasBuffered() && !WaitForRequest(sock, stopped_, idle_until)) {
      break;
    }
    stream.SetDeadline(SteadyNow() + limits_.request_timeout,
                       limits_.request_timeout);
    stream.SetBudget(kMaxHead + 2 * limits_.max_body);
    ++busy_;
    current_socket = sock;
    lost_framing = false;
    bool closed = false;
    open = process_request(stream, closing_, closed, nullptr) && !closed &&
           !lost_framing;
    current_socket = INVALID_SOCKET;
    --busy_;
  }
  if (lost_framing) Drain(sock);
  lost_framing = false;
}

}  // namespace hibiscuspick::http
