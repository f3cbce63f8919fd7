#include "hibiscuspick/edge/http_session.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hibiscuspick::edge {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kBacklog = 512;

// A caller may pipeline requests. More bytes than this before the current reply
// end the connection, which bounds memory.
constexpr size_t kMostPipelined = 1 << 20;

// Delay before the next accept after a failure, such as no free descriptors.
constexpr Millis kAcceptPause{50};

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
  ArmIdle();
}

void HttpSession::ArmIdle() {
  loop_->Cancel(timer_);
  timer_ = loop_->At(loop_->now() + policy_->limits().idle_timeout,
                     [self = shared_from_this()] { self->OnTimer(); });
}

void HttpSession::OnTimer() {
  timer_ = 0;
  if (busy_) return;
  if (reader_ && reader_->started()) {
    Refuse(ReadState::kMore);
    return;
  }
  End();
}

void HttpSession::OnBytes(std::string_view bytes) {
  in_.append(bytes);
  if (busy_) {
    if (in_.size() > kMostPipelined) OnEnd();
    return;
  }
  ReadOn();
}

void HttpSession::ReadOn() {
  if (in_.empty()) return;
  const auto limits = policy_->limits();
  if (!reader_) {
    reader_ =
        std::make_unique<RequestReader>(limits.header_bytes, limits.body_bytes);
    continued_ = false;
    loop_->Cancel(timer_);
    timer_ = loop_->At(loop_->now() + limits.header_timeout,
                       [self = shared_from_this()] { self->OnTimer(); });
  }
  const ReadState state = reader_->Read(&in_);
  if (state == ReadState::kMore) {
    if (!continued_ && reader_->WantsContinue()) {
      continued_ = true;
      stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  if (state != ReadState::kDone) {
    Refuse(state);
    return;
  }
  loop_->Cancel(std::exchange(timer_, 0));
  HttpRequest request = reader_->Take();
  reader_.reset();
  if (is_first_) round_trip_ = stream_->RoundTrip();
  // On a new connection the caller has also waited for the TCP handshake.
  if (round_trip_) request.on_the_way = *round_trip_ * (is_first_ ? 2 : 1);
  is_first_ = false;
  busy_ = true;
  to_head_ = request.method == "HEAD";
  keep_alive_ = request.keep_alive;
  policy_->on_request(shared_from_this(), std::move(request));
}

// Answers a malformed, oversized or incomplete request and closes the
// connection, since the start of the next request is unknown.
void HttpSession::Refuse(ReadState state) {
  HttpReply reply;
  reply.status = state == ReadState::kMore           ? 408
                 : state == ReadState::kHeaderTooBig ? 431
                 : state == ReadState::kBodyTooBig   ? 413
                                                     : 400;
  stream_->Write(ToText(reply, true, false));
  End();
}

void HttpSession::Reply(const HttpReply& reply) {
  if (!busy_ || !stream_->IsOpen()) return;
  busy_ = false;
  on_gone_ = nullptr;
  const bool closes = !keep_alive_ || policy_->closing();
  stream_->Write(ToText(reply, closes, to_head_));
  if (closes) {
    End();
    return;
  }
  ArmIdle();
  if (!in_.empty()) {
    // Posted, so that a long series of pipelined requests does not recurse.
    loop_->Post([self = shared_from_this()] {
      if (!self->busy_ && self->stream_->IsOpen()) self->ReadOn();
    });
  }
}

void HttpSession::OnEnd() {
  busy_ = false;
  if (on_gone_) std::exchange(on_gone_, nullptr)();
  End();
}

void HttpSession::Abort() {
  loop_->Cancel(std::exchange(timer_, 0));
  on_gone_ = nullptr;
  on_end_ = nullptr;
  stream_->Close();
}

void HttpSession::CloseIfIdle() {
  if (!busy_ && !(reader_ && reader_->started()) && in_.empty()) End();
}

void HttpSession::End() {
  loop_->Cancel(std::exchange(timer_, 0));
  on_gone_ = nullptr;
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
          loop_->At(loop_->now() + kAcceptPause, [this] { Accept(); });
          return;
        }
        Begin(std::move(socket));
        Accept();
      });
}

void HttpListener::Begin(tcp::socket socket) {
  // Weak reference: a strong one in its own callback would keep the session
  // alive.
  auto holder = std::make_shared<std::weak_ptr<HttpSession>>();
  auto session = std::make_shared<HttpSession>(
      loop_, std::move(socket), &policy_, [this, holder] {
        if (const auto it = holder->lock()) sessions_.erase(it);
      });
  *holder = session;
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
    if (!ec) Begin(std::move(socket));
  }
  acceptor_.close(ec);
}

void HttpListener::CloseIdle() {
  const std::vector<std::shared_ptr<HttpSession>> all(sessions_.begin(),
                                                      sessions_.end());
  for (const auto& it : all) it->CloseIfIdle();
}

size_t HttpListener::busy() const {
  return static_cast<size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](auto& it) { return it->IsBusy(); }));
}

}  // namespace hibiscuspick::edge
