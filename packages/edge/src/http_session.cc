#include "hibiscuspick/edge/http_session.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "hibiscuspick/edge/exchange_limits.h"

namespace hibiscuspick::edge {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kBacklog = 512;

// A caller may pipeline requests. More bytes than this before the current reply
// end the connection, which bounds memory.
constexpr size_t kMaxPipelinedBytes = 1 << 20;

// Delay before the next accept after a failure, such as no free descriptors.
constexpr Millis kAcceptRetryDelay{50};

}  // namespace

HttpSession::HttpSession(Loop* loop, tcp::socket socket,
                         const SessionPolicy* policy,
                         std::function<void()> on_end)
    : loop_(loop),
      policy_(policy),
      on_end_(std::move(on_end)),
      stream_(std::make_shared<ByteStream>(loop, std::move(socket))) {}

void HttpSession::Start() {
  auto self = shared_from_this();
  stream_->Start({[self](auto bytes) { self->OnBytes(bytes); },
                  [self](auto) { self->OnEnd(); }});
  StartIdleTimer();
}

void HttpSession::StartIdleTimer() {
  loop_->Cancel(timer_);
  timer_ = loop_->RunAt(loop_->now() + policy_->limits().idle_timeout,
                        [self = shared_from_this()] { self->OnTimer(); });
}

void HttpSession::OnTimer() {
  timer_ = 0;
  if (busy_) return;
  if (reader_ && reader_->started()) {
    RejectRequest(ReadState::kMore);
    return;
  }
  End();
}

void HttpSession::OnBytes(std::string_view bytes) {
  buffer_.append(bytes);
  if (busy_) {
    if (buffer_.size() > kMaxPipelinedBytes) OnEnd();
    return;
  }
  ReadRequest();
}

void HttpSession::ReadRequest() {
  if (buffer_.empty()) return;
  const auto limits = policy_->limits();
  if (!reader_) {
    reader_ = std::make_unique<RequestReader>(
        MessageLimits{limits.header_bytes, limits.body_bytes});
    sent_continue_ = false;
    loop_->Cancel(timer_);
    timer_ = loop_->RunAt(loop_->now() + limits.header_timeout,
                          [self = shared_from_this()] { self->OnTimer(); });
  }
  const ReadState state = reader_->Read(&buffer_);
  if (state == ReadState::kMore) {
    if (!sent_continue_ && reader_->ExpectsContinue()) {
      sent_continue_ = true;
      stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  if (state != ReadState::kDone) {
    RejectRequest(state);
    return;
  }
  loop_->Cancel(std::exchange(timer_, 0));
  HttpRequest request = reader_->Take();
  reader_.reset();
  if (is_first_request_) round_trip_ = stream_->RoundTrip();
  // On a new connection the caller has also waited for the TCP handshake.
  if (round_trip_) {
    request.network_time = *round_trip_ * (is_first_request_ ? 2 : 1);
  }
  is_first_request_ = false;
  busy_ = true;
  is_head_ = request.method == "HEAD";
  keep_alive_ = request.keep_alive;
  policy_->on_request(shared_from_this(), std::move(request));
}

// Answers a malformed, oversized or incomplete request and closes the
// connection, since the start of the next request is unknown.
void HttpSession::RejectRequest(ReadState state) {
  HttpReply reply;
  reply.status = state == ReadState::kMore           ? 408
                 : state == ReadState::kHeaderTooBig ? 431
                 : state == ReadState::kMalformed    ? 400
                                                     : 413;
  const auto* counters = loop_->exchange_counters();
  if (counters != nullptr && state != ReadState::kMore &&
      state != ReadState::kMalformed) {
    counters->CountRequest(ElementOf(state));
  }
  stream_->Write(ToText(reply, true, false));
  End();
}

void HttpSession::Reply(const HttpReply& reply) {
  if (!busy_ || !stream_->IsOpen()) return;
  busy_ = false;
  on_disconnect_ = nullptr;
  const bool closes = !keep_alive_ || policy_->closing();
  stream_->Write(ToText(reply, closes, is_head_));
  if (closes) {
    End();
    return;
  }
  StartIdleTimer();
  if (!buffer_.empty()) {
    // Posted, so that a long series of pipelined requests does not recurse.
    loop_->Post([self = shared_from_this()] {
      if (!self->busy_ && self->stream_->IsOpen()) self->ReadRequest();
    });
  }
}

void HttpSession::OnEnd() {
  busy_ = false;
  if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
  End();
}

void HttpSession::Abort() {
  loop_->Cancel(std::exchange(timer_, 0));
  on_disconnect_ = nullptr;
  on_end_ = nullptr;
  stream_->Close();
}

void HttpSession::CloseIfIdle() {
  if (!busy_ && !(reader_ && reader_->started()) && buffer_.empty()) End();
}

void HttpSession::End() {
  loop_->Cancel(std::exchange(timer_, 0));
  on_disconnect_ = nullptr;
  stream_->CloseWhenFlushed();
  if (on_end_) std::exchange(on_end_, nullptr)();
}

HttpListener::HttpListener(Loop* loop, SessionPolicy policy)
    : loop_(loop), policy_(std::move(policy)), acceptor_(loop->io()) {}

HttpListener::~HttpListener() {
  for (const auto& it : sessions_) it->Abort();
}

Result<Done> HttpListener::Listen(const Address& address) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address.ip, ec);
  if (!ec) acceptor_.open(tcp::v4(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(tcp::endpoint(ip, address.port), ec);
  if (!ec) acceptor_.listen(kBacklog, ec);
  if (ec) return Error{Code::kInvalidValue, ToText(address), ec.message()};
  Accept();
  return Done{};
}

void HttpListener::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
          loop_->RunAt(loop_->now() + kAcceptRetryDelay, [this] { Accept(); });
          return;
        }
        StartSession(std::move(socket));
        Accept();
      });
}

void HttpListener::StartSession(tcp::socket socket) {
  // Weak reference: a strong one in its own callback would keep the session
  // alive.
  auto weak_session = std::make_shared<std::weak_ptr<HttpSession>>();
  auto session = std::make_shared<HttpSession>(
      loop_, std::move(socket), &policy_, [this, weak_session] {
        if (const auto it = weak_session->lock()) sessions_.erase(it);
      });
  *weak_session = session;
  sessions_.insert(session);
  session->Start();
}

// Accepts connections from the listen queue first, since closing the listener
// would reset them together with the requests already sent.
void HttpListener::StopAccepting() {
  if (!acceptor_.is_open()) return;
  boost::system::error_code ec;
  acceptor_.cancel(ec);
  acceptor_.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(loop_->io());
    acceptor_.accept(socket, ec);
    if (!ec) StartSession(std::move(socket));
  }
  acceptor_.close(ec);
}

void HttpListener::CloseIdle() {
  const std::vector<std::shared_ptr<HttpSession>> all(sessions_.begin(),
                                                      sessions_.end());
  for (const auto& it : all) it->CloseIfIdle();
}

size_t HttpListener::busy_sessions() const {
  return static_cast<size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](auto& it) { return it->IsBusy(); }));
}

}  // namespace hibiscuspick::edge
