#include "hibiscuspick/edge/byte_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <exception>
#include <utility>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/exchange_limits.h"

namespace hibiscuspick::edge {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Code = boost::system::error_code;

constexpr size_t kReadBufferBytes = 65536;

// TCP keepalive interval and count, and the limit for unacknowledged data: a
// connection silenced by a partition or a lost path fails after four seconds
// instead of never.
constexpr int kKeepAliveSeconds = 2;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUnackedTimeoutMillis = 4000;

// How long to wait for the peer's end of stream after shutting down the send
// side, and how much to discard meanwhile. Closing with unread bytes would
// reset the connection and could discard the last answer in the peer's buffer.
constexpr Millis kLingerTime{500};
constexpr size_t kMaxLingerBytes = 1 << 20;

// Capacity that a stream without unsent bytes may keep.
constexpr size_t kKeptBytes = 4096;

std::array<char, kReadBufferBytes>& SharedBuffer() {
  thread_local std::array<char, kReadBufferBytes> buf;
  return buf;
}

void SetOption(int fd, int level, int name, int value) {
  // The options are optimisations, so an error is ignored.
  (void)setsockopt(fd, level, name, &value, sizeof(value));
}

// Handlers may own the stream's owner. They are destroyed in a later iteration,
// since one of them may be running.
void DestroyLater(Loop* loop, ByteStream::Handlers* handlers) {
  if (!handlers->on_bytes && !handlers->on_end && !handlers->on_progress) {
    return;
  }
  loop->Post([dropped = std::make_shared<ByteStream::Handlers>(
                  std::exchange(*handlers, ByteStream::Handlers()))] {});
}

}  // namespace

ByteStream::ByteStream(Loop* loop) : loop_(loop), socket_(loop->io()) {}

ByteStream::ByteStream(Loop* loop, tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)) {
  SetOptions();
}

void ByteStream::SetOptions() {
  Code ec;
  socket_.non_blocking(true, ec);
  const int fd = socket_.native_handle();
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kUnackedTimeoutMillis));
}

void ByteStream::Connect(const Address& address, Millis timeout,
                         std::function<void(bool)> done) {
  Code ec;
  const auto ip = asio::ip::make_address(address.ip, ec);
  if (!ec) socket_.open(tcp::v4(), ec);
  if (ec) {
    loop_->Post([done = std::move(done)] { done(false); });
    return;
  }
  SetOptions();
  auto self = shared_from_this();
  auto shared_done =
      std::make_shared<std::function<void(bool)>>(std::move(done));
  timer_ = loop_->RunAt(loop_->now() + timeout, [self, shared_done] {
    self->timer_ = 0;
    self->Close();
    if (auto notify = std::exchange(*shared_done, nullptr)) notify(false);
  });
  socket_.async_connect(
      tcp::endpoint(ip, address.port), [self, shared_done](Code failure) {
        self->loop_->Cancel(std::exchange(self->timer_, 0));
        auto notify = std::exchange(*shared_done, nullptr);
        self->was_refused_ = failure == asio::error::connection_refused;
        if (failure) self->Close();
        if (notify) notify(!failure && self->IsOpen());
      });
}

std::optional<Millis> ByteStream::RoundTrip() {
  constexpr double kMicrosPerMilli = 1000;
  tcp_info info{};
  socklen_t n = sizeof(info);
  const int failed =
      getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n);
  if (failed != 0 || info.tcpi_rtt == 0) return std::nullopt;
  return Millis(info.tcpi_rtt / kMicrosPerMilli);
}

bool ByteStream::HasInput() {
  char byte = 0;
  const ssize_t n =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void ByteStream::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  WaitReadable();
}

void ByteStream::WaitReadable() {
  if (!IsOpen()) return;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](Code ec) {
                       if (!ec) self->ReadNow();
                     });
}

void ByteStream::ReadNow() {
  if (!IsOpen()) return;
  Code ec;
  auto& buf = SharedBuffer();
  const size_t n = socket_.read_some(asio::buffer(buf), ec);
  if (ec == asio::error::would_block || ec == asio::error::interrupted) {
    WaitReadable();
    return;
  }
  if (ec) {
    End(ec == asio::error::eof ? StreamEnd::kOrderly : StreamEnd::kBroken);
    return;
  }
  if (lingering_) {
    linger_bytes_ += n;
    if (linger_bytes_ > kMaxLingerBytes) Close();
  } else if (handlers_.on_bytes) {
    // Copied because the handler may close the stream, which destroys it.
    const auto on_bytes = handlers_.on_bytes;
    try {
      on_bytes(std::string_view(buf.data(), n));
    } catch (const std::exception& error) {
      EndWith(error);
      return;
    }
  }
  WaitReadable();
}

// Ends this connection alone: an exception that left the loop would end the
// process.
void ByteStream::EndWith(const std::exception& error) {
  Code ec;
  const auto peer = socket_.remote_endpoint(ec);
  Log(Part::kFront)
      .error("connection with {}:{} closed: exception {}",
             ec ? "?" : peer.address().to_string(), ec ? 0 : peer.port(),
             error.what());
  if (const auto* it = loop_->exchange_counters()) it->CountException();
  End(StreamEnd::kBroken);
}

void ByteStream::Write(const std::string& text) {
  if (!IsOpen() || close_when_flushed_) return;
  const bool waiting = !unsent_.empty();
  unsent_.append(text);
  if (!waiting) Flush();
}

void ByteStream::Flush() {
  Code ec;
  const size_t n = socket_.write_some(
      asio::buffer(unsent_.data() + sent_, unsent_.size() - sent_), ec);
  if (ec && ec != asio::error::would_block) {
    // Posted so that on_end is not called from within Write.
    loop_->Post([self = shared_from_this()] { self->End(StreamEnd::kBroken); });
    return;
  }
  bytes_written_ += ec ? 0 : n;
  sent_ += ec ? 0 : n;
  DropSent();
  if (!unsent_.empty()) {
    WaitWritable();
  } else if (close_when_flushed_) {
    Linger();
  }
}

// Moves the rest only when most has been sent, so that a peer that reads a
// large reply in small steps doesn't have it moved at each of them.
void ByteStream::DropSent() {
  if (sent_ == unsent_.size()) {
    unsent_.clear();
    if (unsent_.capacity() > kKeptBytes) unsent_.shrink_to_fit();
  } else if (sent_ > unsent_.size() / 2) {
    unsent_.erase(0, sent_);
    unsent_.shrink_to_fit();
  } else {
    return;
  }
  sent_ = 0;
}

void ByteStream::WaitWritable() {
  socket_.async_wait(tcp::socket::wait_write,
                     [self = shared_from_this()](Code ec) {
                       if (ec || !self->IsOpen()) return;
                       // Copied because Flush may drop the handlers.
                       const auto on_progress = self->handlers_.on_progress;
                       self->Flush();
                       if (on_progress) on_progress();
                     });
}

void ByteStream::End(StreamEnd how) {
  if (!IsOpen()) return;
  auto on_end = std::move(handlers_.on_end);
  const bool notify = !lingering_;
  Close();
  if (notify && on_end) on_end(how);
}

void ByteStream::Close() {
  loop_->Cancel(std::exchange(timer_, 0));
  Code ec;
  socket_.close(ec);
  DestroyLater(loop_, &handlers_);
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

void ByteStream::CloseWhenFlushed() {
  if (!IsOpen() || close_when_flushed_) return;
  close_when_flushed_ = true;
  if (unsent_.empty()) Linger();
}

// No handler is called from here on. If handlers were kept until the end of the
// lingering, they and their owner would outlive a loop that stops in the
// meantime.
void ByteStream::Linger() {
  lingering_ = true;
  DestroyLater(loop_, &handlers_);
  Code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  timer_ =
      loop_->RunAt(loop_->now() + kLingerTime, [self = shared_from_this()] {
        self->timer_ = 0;
        self->Close();
      });
}

}  // namespace hibiscuspick::edge
