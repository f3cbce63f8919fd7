// A TCP connection on a loop: bytes in by callback, bytes out in order.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/edge/loop.h"

namespace hibiscuspick::edge {

enum class StreamEnd {
  // The other side ended its stream in order.
  kOrderly,
  // Reset, timed out by the kernel or otherwise broken.
  kBroken,
};

// Waits for readiness and then reads into a buffer that all streams of a
// thread share, so that an idle connection holds no buffer. Handlers may close
// the stream; after Close none is called any more. Made by std::make_shared,
// since waits in flight keep it alive.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
 public:
  struct Handlers {
    // Bytes came; valid only during the call.
    std::function<void(std::string_view)> on_bytes;
    std::function<void(StreamEnd)> on_end;
  };

  explicit ByteStream(Loop* loop);
  ByteStream(Loop* loop, boost::asio::ip::tcp::socket socket);

  // Connects; `done` is told once whether it succeeded within `timeout`.
  void Connect(const Address& address, Millis timeout,
               std::function<void(bool)> done);

  // Begins to read. The handlers are kept until Close.
  void Start(Handlers handlers);

  void Write(const std::string& text);
  // Whether the kernel has taken all that was written.
  bool IsFlushed() const { return unsent_.empty(); }

  // Ends at once; what the kernel has taken is still delivered, unless bytes
  // from the other side are left unread, in which case the kernel resets.
  void Close();
  // Ends after all is written, and lets the other side read it first.
  void CloseWhenFlushed();
  bool IsOpen() const { return socket_.is_open(); }

  // The way to the other side and back, as the kernel has measured it; nothing
  // where it doesn't say.
  std::optional<Millis> RoundTrip();

 private:
  void SetOptions();
  void WaitReadable();
  void ReadNow();
  void WaitWritable();
  void Flush();
  void End(StreamEnd how);
  void Linger();

  Loop* const loop_;
  boost::asio::ip::tcp::socket socket_;
  Handlers handlers_;
  std::string unsent_;
  bool close_when_flushed_ = false;
  bool lingering_ = false;
  Loop::TimerId timer_ = 0;
};

}  // namespace hibiscuspick::edge
