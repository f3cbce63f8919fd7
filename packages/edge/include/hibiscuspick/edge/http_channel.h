// One connection to a server, one request at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/edge/byte_stream.h"
#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/loop.h"

namespace hibiscuspick::edge {

enum class ExchangeEnd {
  // A whole reply.
  kReply,
  // Broke off, or came as bytes that are no reply.
  kBroken,
};

// Keeps reading while idle: whatever a server says unasked (a second answer, a
// late one, the end of the connection) ends the connection unread, so that no
// request can be given bytes that belong to another.
class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
 public:
  using OnReply = std::function<void(ExchangeEnd, HttpReply)>;
  // Whether a reply belongs to the request in flight. One that doesn't is
  // passed over, and the channel ends after the one that does.
  using IsOurs = std::function<bool(const HttpReply&)>;

  explicit HttpChannel(Loop* loop);

  void Connect(const Address& address, Millis timeout,
               std::function<void(bool)> done);

  struct Exchange {
    std::string text;
    bool to_head = false;
    size_t reply_bytes = 0;
    IsOurs is_ours;
    OnReply on_reply;
  };
  // Sends a request; only while IsIdle. `on_reply` is called once, unless the
  // channel is closed before.
  void Send(Exchange exchange);

  bool IsIdle() const { return open_ && !busy_; }
  // When the last reply came, or the connection was made.
  Millis idle_since() const { return idle_since_; }
  // Ends it; a request in flight gets no call.
  void Close();

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd(StreamEnd how);
  void Finish(ExchangeEnd end, HttpReply reply);
  bool TakeReply();

  Loop* const loop_;
  std::shared_ptr<ByteStream> stream_;
  std::string in_;
  std::unique_ptr<ReplyReader> reader_;
  Exchange exchange_;
  Millis idle_since_;
  bool open_ = false;
  bool busy_ = false;
  bool tainted_ = false;
};

}  // namespace hibiscuspick::edge
