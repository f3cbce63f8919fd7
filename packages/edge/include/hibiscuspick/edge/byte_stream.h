// A TCP connection on an event loop: received bytes are passed to a callback,
// written bytes are sent in order.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/edge/loop.h"

namespace hibiscuspick::edge {

enum class StreamEnd {
  // The peer closed its side of the connection.
  kOrderly,
  // The connection was reset, timed out in the kernel or failed otherwise.
  kBroken,
};

// Waits until the socket is readable and then reads into a buffer shared by all
// streams of the thread, so that an idle connection holds no buffer. Handlers
// may close the stream; none is called after Close. An exception of `on_bytes`
// is logged and ends the stream as kBroken. Create with
// std::make_shared, since pending waits keep the stream alive.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
 public:
  struct Handlers {
    // Called with received bytes, which are valid only during the call.
    std::function<void(std::string_view)> on_bytes;
    std::function<void(StreamEnd)> on_end;
    // Called when bytes that had to wait have been passed to the kernel; may be
    // null.
    std::function<void()> on_progress = {};
  };

  explicit ByteStream(Loop* loop);
  ByteStream(Loop* loop, boost::asio::ip::tcp::socket socket);

  // Connects. `done` is called once, with true if the connection was
  // established within `timeout`.
  void Connect(const Address& address, Millis timeout,
               std::function<void(bool)> done);

  // Whether the last Connect failed because nothing listens at the address.
  bool was_refused() const { return was_refused_; }

  // Starts reading. The handlers are kept until Close.
  void Start(Handlers handlers);

  // Callback invoked once when the socket is closed, which is after the
  // handlers are dropped if the stream lingers.
  void set_on_closed(std::function<void()> it) { on_closed_ = std::move(it); }

  void Write(const std::string& text);
  // Whether all written bytes have been passed to the kernel.
  bool IsFlushed() const { return unsent_.empty(); }
  // Memory held by written bytes that the kernel has not accepted yet.
  size_t unsent_capacity() const {
    return unsent_.empty() ? 0 : unsent_.capacity();
  }
  // Bytes that the kernel has accepted since the connection was opened.
  size_t bytes_written() const { return bytes_written_; }
  // Whether bytes, the end of the stream or an error are waiting to be read.
  bool HasInput();

  // Closes at once. Bytes that the kernel holds are still delivered, unless
  // received bytes are unread, in which case the kernel resets the connection.
  void Close();
  // Sends all pending bytes, then shuts down and lets the peer read them before
  // the socket is closed.
  void CloseWhenFlushed();
  bool IsOpen() const { return socket_.is_open(); }

  // Round-trip time measured by the kernel (TCP_INFO); nullopt if unknown.
  std::optional<Millis> RoundTrip();

 private:
  void SetOptions();
  void WaitReadable();
  void ReadNow();
  void WaitWritable();
  void Flush();
  void DropSent();
  void End(StreamEnd how);
  void EndWith(const std::exception& error);
  void Linger();

  Loop* const loop_;
  boost::asio::ip::tcp::socket socket_;
  Handlers handlers_;
  std::function<void()> on_closed_;
  // The first `sent_` bytes of it have been passed to the kernel.
  std::string unsent_;
  size_t sent_ = 0;
  size_t bytes_written_ = 0;
  bool close_when_flushed_ = false;
  bool lingering_ = false;
  size_t linger_bytes_ = 0;
  bool was_refused_ = false;
  Loop::TimerId timer_ = 0;
};

}  // namespace hibiscuspick::edge
