// One HTTP/1.1 client connection with at most one request in flight.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/edge/byte_stream.h"
#include "hibiscuspick/edge/exchange_limits.h"
#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/remote_traffic.h"
#include "hibiscuspick/edge/reply_check.h"

namespace hibiscuspick::edge {

enum class ExchangeEnd {
  // A complete reply arrived.
  kReply,
  // The connection broke.
  kBroken,
  // The reply is no answer to the request, by defect(); the connection was
  // closed by this side.
  kRejected,
  // The reply exceeded a limit; the connection was closed by this side.
  kTooLarge,
  // The connection broke before the kernel had accepted any byte of the
  // request.
  kUnsent,
};

// Keeps reading while idle. Unsolicited bytes from the server (a duplicate or
// late reply) or its end of stream close the connection, so that a request is
// never given a reply meant for another.
class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
 public:
  using OnReply = std::function<void(ExchangeEnd, HttpReply)>;

  explicit HttpChannel(Loop* loop);

  void Connect(const Address& address, Millis timeout,
               std::function<void(bool)> done);

  struct Exchange {
    std::string text;
    bool is_head = false;
    // Of the body. Reading stops once the limits of MessageLimits or
    // kMaxExtraReplies are exceeded.
    size_t max_reply_bytes = 0;
    // Memory that the reply shares with others; may be null.
    ReplyMemory* memory = nullptr;
    // Replies that are judged to be skipped may precede the answer; the channel
    // is closed after it.
    ReplyExpectation expectation;
    OnReply on_reply;
  };
  // Sends a request; requires IsIdle(). `on_reply` is called once, unless the
  // channel is closed first.
  void Send(Exchange exchange);

  // Counts the bytes of the following exchanges; null to count none. The
  // counters must outlive the channel.
  void set_byte_counters(const ByteCounters* it) { byte_counters_ = it; }

  // Differs from that of any other channel of the process.
  ChannelId id() const { return id_; }

  // Whether the last Connect failed because nothing listens at the address.
  bool was_refused() const { return stream_->was_refused(); }

  bool IsIdle() const { return open_ && !busy_; }
  // Whether the server has closed the idle connection, or sent something that
  // will close it, and the loop has not handled that yet. A request sent now
  // would be lost, and could not be repeated if it is not idempotent.
  bool HasEnded() { return stream_->HasInput(); }
  // Time of the last reply, or of the connect if there was none.
  Millis idle_since() const { return idle_since_; }
  // Bytes received since the last request was sent.
  size_t reply_bytes() const { return reply_bytes_; }
  // What exceeded its limit in the last exchange that ended with kTooLarge.
  LimitedElement exceeded() const { return exceeded_; }
  // Ends the exchange in flight with kTooLarge.
  void Exceed(LimitedElement element);
  // The last defect of a reply in the last exchange.
  ReplyDefect defect() const { return defect_; }
  // Whether the exchange in flight has skipped a reply that names no request,
  // which may have been its own.
  bool HasSkippedUnnamed() const { return busy_ && skipped_unnamed_; }
  // Ends the exchange in flight with kRejected.
  void Reject(ReplyDefect defect);
  // Whether a request was sent on it before. A late reply to that may arrive.
  bool WasUsed() const { return exchanges_ > 0; }
  // Closes the connection. A request in flight gets no callback.
  void Close();

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd(StreamEnd how);
  void Finish(ExchangeEnd end, HttpReply reply);
  bool ParseReply();
  ReplyVerdict Judge(const HttpReply& reply);
  std::unique_ptr<ReplyReader> MakeReader() const;
  bool IsWithinLimits();

  Loop* const loop_;
  const ChannelId id_;
  std::shared_ptr<ByteStream> stream_;
  std::string buffer_;
  std::unique_ptr<ReplyReader> reader_;
  Exchange exchange_;
  Millis idle_since_;
  size_t written_before_ = 0;
  size_t reply_bytes_ = 0;
  int extra_replies_ = 0;
  size_t exchanges_ = 0;
  LimitedElement exceeded_ = LimitedElement::kBody;
  ReplyDefect defect_ = ReplyDefect::kNone;
  const ByteCounters* byte_counters_ = nullptr;
  bool open_ = false;
  bool busy_ = false;
  bool skipped_unnamed_ = false;
};

}  // namespace hibiscuspick::edge
