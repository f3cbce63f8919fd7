// Callers' connections: requests in, answers out, one at a time.
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

// What the listener's owner decides.
struct SessionPolicy {
  // The bounds in force, read for each request.
  std::function<engine::CallerLimits()> limits;
  // A whole request came. Answered by Reply, now or later.
  std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>
      on_request;
  // Whether answers say that the connection ends after them.
  std::function<bool()> closing;
};

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(Loop* loop, boost::asio::ip::tcp::socket socket,
              const SessionPolicy* policy, std::function<void()> on_end);
  void Start();

  // Answers the request in hand. Does nothing if the caller has left.
  void Reply(const HttpReply& reply);

  // Called once if the caller leaves before its answer. Set for each request.
  void set_on_gone(std::function<void()> it) { on_gone_ = std::move(it); }

  // Ends it at once, without an answer; nobody is told.
  void Abort();
  // Ends it if no request is in hand or being read.
  void CloseIfIdle();
  bool IsBusy() const { return busy_; }

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void ReadOn();
  void Refuse(ReadState state);
  void ArmIdle();
  void OnTimer();
  void End();

  Loop* const loop_;
  const SessionPolicy* const policy_;
  std::function<void()> on_end_;
  std::function<void()> on_gone_;
  std::shared_ptr<ByteStream> stream_;
  std::unique_ptr<RequestReader> reader_;
  std::string in_;
  Loop::TimerId timer_ = 0;
  bool busy_ = false;
  bool to_head_ = false;
  bool keep_alive_ = true;
  bool continued_ = false;
  // Measured once for each connection.
  std::optional<Millis> round_trip_;
  bool is_first_ = true;
};

class HttpListener {
 public:
  HttpListener(Loop* loop, SessionPolicy policy);
  // Sessions and their streams hold each other until one is closed.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Errors: kInvalidValue if the address can't be listened on.
  Result<Done> Listen(const Address& address);
  // Nobody can connect any more; what is open stays.
  void StopAccepting();
  bool IsAccepting() const { return acceptor_.is_open(); }
  void CloseIdle();
  size_t busy() const;

 private:
  void Accept();
  void Begin(boost::asio::ip::tcp::socket socket);

  Loop* const loop_;
  const SessionPolicy policy_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_set<std::shared_ptr<HttpSession>> sessions_;
};

}  // namespace hibiscuspick::edge
