// Server side of HTTP/1.1: a listener and its sessions, each serving one
// request at a time.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/edge/byte_stream.h"
#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

class HttpSession;

// Settings and callbacks of the listener's owner.
struct SessionPolicy {
  // Returns the current limits; called for each request.
  std::function<engine::CallerLimits()> limits;
  // Called with each complete request. The owner answers with
  // HttpSession::Reply, during the call or later.
  std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>
      on_request;
  // Whether replies carry `Connection: close` and end the session.
  std::function<bool()> closing;
};

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(Loop* loop, boost::asio::ip::tcp::socket socket,
              const SessionPolicy* policy, std::function<void()> on_end);
  void Start();

  // Answers the current request. Does nothing if the caller has disconnected.
  void Reply(const HttpReply& reply);

  // Callback invoked once if the caller disconnects before the reply. Set anew
  // for each request.
  void set_on_disconnect(std::function<void()> it) {
    on_disconnect_ = std::move(it);
  }

  // Closes the connection immediately; no callback is invoked.
  void Abort();
  // Closes the connection if no request is being read or served.
  void CloseIfIdle();
  bool IsBusy() const { return busy_; }

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void ReadRequest();
  void RejectRequest(ReadState state);
  void StartIdleTimer();
  void OnTimer();
  void End();

  Loop* const loop_;
  const SessionPolicy* const policy_;
  std::function<void()> on_end_;
  std::function<void()> on_disconnect_;
  std::shared_ptr<ByteStream> stream_;
  std::unique_ptr<RequestReader> reader_;
  std::string buffer_;
  Loop::TimerId timer_ = 0;
  bool busy_ = false;
  bool is_head_ = false;
  bool keep_alive_ = true;
  bool sent_continue_ = false;
  // Round-trip time, measured once per connection.
  std::optional<Millis> round_trip_;
  bool is_first_request_ = true;
};

class HttpListener {
 public:
  HttpListener(Loop* loop, SessionPolicy policy);
  // Aborts all sessions: a session and its stream hold references to each other
  // until one is closed.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Starts listening. Error kInvalidValue if the address cannot be bound.
  Result<Done> Listen(const Address& address);
  // Refuses new connections; existing sessions continue.
  void StopAccepting();
  bool IsAccepting() const { return acceptor_.is_open(); }
  void CloseIdle();
  size_t busy_sessions() const;

 private:
  void Accept();
  void StartSession(boost::asio::ip::tcp::socket socket);

  Loop* const loop_;
  const SessionPolicy policy_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_set<std::shared_ptr<HttpSession>> sessions_;
};

}  // namespace hibiscuspick::edge
