// Server side of HTTP/1.1: a listener and its sessions, each serving one
// request at a time.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log_sink.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/edge/byte_stream.h"
#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/engine/connection_table.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

class HttpListener;
class HttpSession;

// Settings and callbacks of the listener's owner.
struct SessionPolicy {
  // Returns the current limits; called for each request.
  std::function<engine::CallerLimits()> limits;
  // Called with each complete request. The owner answers with
  // HttpSession::Reply, during the call or later.
  std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>
      on_request;
  // Called instead of on_request for a complete request for which there is no
  // memory; must answer that it hasn't run.
  std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>
      on_overload;
  // Whether replies carry `Connection: close` and end the session.
  std::function<bool()> closing;
};

// Answers with this status and `Retry-After`, for SessionPolicy::on_overload.
void ReplyOverloaded(HttpSession* session, int status);

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  // `listener` must outlive the connection.
  HttpSession(ConnectionId id, Loop* loop, boost::asio::ip::tcp::socket socket,
              const SessionPolicy* policy, HttpListener* listener);
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
  // Closes the connection because all of the listener's hold too much. A
  // request of which a part has been received is answered 503 if `answer`, and
  // the client gets time to read that.
  void Evict(bool answer);
  bool IsBusy() const { return busy_; }

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void ReadRequest();
  void RejectRequest(ReadState state);
  void StartIdleTimer();
  void OnTimer();
  void End();
  void Enter(engine::ConnectionPhase phase);
  void ReportBuffered();
  void CloseForBytes();
  bool HasPartOfRequest() const {
    return !busy_ && ((reader_ && reader_->started()) || !buffer_.empty());
  }

  const ConnectionId id_;
  Loop* const loop_;
  const SessionPolicy* const policy_;
  // Null once the connection is closed.
  HttpListener* listener_;
  std::function<void()> on_disconnect_;
  std::shared_ptr<ByteStream> stream_;
  std::unique_ptr<RequestReader> reader_;
  std::string buffer_;
  Loop::TimerId timer_ = 0;
  bool busy_ = false;
  bool ended_ = false;
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

  // Sets what all sessions may hold together; unlimited until then. The limit
  // of bytes is raised to what a single message may need.
  void set_limits(const engine::ConnectionLimits& it) { table_.set_limits(it); }

  // Starts listening. Error kInvalidValue if the address cannot be bound.
  Result<Done> Listen(const Address& address);
  // Refuses new connections; existing sessions continue.
  void StopAccepting();
  bool IsAccepting() const { return acceptor_.is_open(); }
  void CloseIdle();
  size_t busy_sessions() const;
  // What all sessions hold.
  const engine::ConnectionTable& table() const { return table_; }

 private:
  friend class HttpSession;

  void Accept();
  void StartSession(boost::asio::ip::tcp::socket socket);
  bool MakeRoom();
  void RefuseConnection(boost::asio::ip::tcp::socket* socket);
  void OnClosed(ConnectionId id);
  // Closes connections in a later iteration if they hold too much.
  void SetBuffered(ConnectionId id, size_t bytes);
  // Whether a complete request may be served.
  bool Admit(ConnectionId id, const HttpRequest& request);
  void EnsureMessagesFit();
  // Closes connections if they hold too much.
  void CloseForBytes();

  Loop* const loop_;
  const SessionPolicy policy_;
  engine::ConnectionTable table_{engine::ConnectionLimits()};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<ConnectionId, std::shared_ptr<HttpSession>> sessions_;
  uint64_t last_id_ = 0;
  Loop::TimerId close_timer_ = 0;
  LineBudget log_lines_{1, 5, 5};
};

}  // namespace hibiscuspick::edge
