// Scripted backend servers for tests.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/http/server.h"
#include "hibiscuspick/settings/objects.h"

namespace hibiscuspick::dispatch {

// Replies by the backend contract, unless `on_query` changes the reply.
class FakeBackend {
 public:
  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;

  explicit FakeBackend(std::string id) : id_(std::move(id)), server_({}) {
    server_.Post(R"(/v1/shards/([^/]+)/query)",
                 [this](const auto& request, auto& response) {
                   RecordAttempt(request);
                   Answer(request, response);
                   if (on_query) on_query(request, response);
                 });
    server_.Post(R"(/v1/shards/([^/]+)/record)",
                 [this](const auto& request, auto& response) {
                   RecordAttempt(request);
                   Answer(request, response);
                   response.set_content(R"({"number": 1})", "application/json");
                   if (on_query) on_query(request, response);
                 });
    server_.Delete(R"(/v1/attempts/([^/]+))",
                   [this](const auto& request, auto&) {
                     const std::lock_guard lock(mutex_);
                     cancelled_.insert(request.matches[1]);
                   });
    server_.Get("/v1/health", [](const auto&, auto&) {});
  }

  // The handlers use the other members.
  ~FakeBackend() { server_.Stop(); }

  void Start() { server_.Start("127.0.0.1", 0); }
  void Stop() { server_.Stop(); }

  settings::BackendServer Config(int slots = 2) const {
    return {BackendServerId(id_),
            {"127.0.0.1", server_.port()},
            DataCentreId("d"),
            slots,
            25};
  }

  // Fills in a complete, valid answer with one hit named after the shard.
  void Answer(const httplib::Request& request, httplib::Response& response) {
    response.set_header("X-Attempt-Id",
                        request.get_header_value("X-Attempt-Id"));
    response.set_header("X-Snapshot", request.get_header_value("X-Snapshot"));
    response.set_header("X-Server-Id", id_);
    const std::string shard = request.matches[1];
    response.set_content(R"({"hits": [{"id": "doc-)" + shard +
                             R"(", "score": 0.5, "fields": {"n": 1}}],)"
                             R"("documents": 100, "complete": true})",
                         "application/json");
  }

  std::vector<std::string> attempts() const {
    const std::lock_guard lock(mutex_);
    return attempts_;
  }
  bool WasCancelled(const std::string& attempt) const {
    const std::lock_guard lock(mutex_);
    return cancelled_.contains(attempt);
  }
  bool SawAttemptTwice() const {
    const std::lock_guard lock(mutex_);
    return std::set(attempts_.begin(), attempts_.end()).size() <
           attempts_.size();
  }

  // Runs after the reply was filled in and may change it.
  Handler on_query;

 private:
  void RecordAttempt(const httplib::Request& request) {
    const std::lock_guard lock(mutex_);
    attempts_.push_back(request.get_header_value("X-Attempt-Id"));
  }

  const std::string id_;
  http::Server server_;
  mutable std::mutex mutex_;
  std::vector<std::string> attempts_;
  std::set<std::string> cancelled_;
};

// Replies on every connection with the same bytes, which need not be valid
// HTTP, then calls `after` with the socket and closes it.
class RawBackend {
 public:
  using After = std::function<void(int sock)>;

  RawBackend(std::string bytes, After after)
      : bytes_(std::move(bytes)), after_(std::move(after)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    ::bind(listener_, raw, sizeof(address));
    ::listen(listener_, 16);
    socklen_t size = sizeof(address);
    ::getsockname(listener_, raw, &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  ~RawBackend() {
    stopping = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    for (auto& it : connections_) it.join();
    ::close(listener_);
  }

  settings::BackendServer Config(const std::string& id) const {
    return {
        BackendServerId(id), {"127.0.0.1", port_}, DataCentreId("d"), 2, 25};
  }

  // Requests read, over all connections.
  std::atomic<int> requests{0};
  std::atomic<bool> stopping{false};

 private:
  void Run() {
    for (;;) {
      const int sock = ::accept(listener_, nullptr, nullptr);
      if (sock < 0) return;
      connections_.emplace_back([this, sock] { Serve(sock); });
    }
  }
  void Serve(int sock) {
    char buf[8192];
    if (::recv(sock, buf, sizeof(buf), 0) > 0) {
      ++requests;
      ::send(sock, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
      if (after_) after_(sock);
    }
    ::close(sock);
  }

  const std::string bytes_;
  const After after_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::thread thread_;
  std::vector<std::thread> connections_;
};

}  // namespace hibiscuspick::dispatch
