#include "hibiscuspick/edge/http_session.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/exchange_limits.h"
#include "hibiscuspick/engine/refusal.h"

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

// Capacity that a session without received bytes may keep.
constexpr size_t kKeptBytes = 4096;

// The largest messages that the connections of a listener may hold at once,
// however small its share of the memory is.
constexpr size_t kMessagesThatFit = 4;

// A request's body is held by the query and by the attempt that is being sent.
constexpr size_t kCopiesOfBody = 2;

constexpr int kOverloadStatus = 503;

// Enough for the load balancer to send the retry to another instance.
constexpr Millis kOverloadRetryAfter{50};

// Nothing of the request has run, and nothing will.
HttpReply OverloadReply(int status) {
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back(
      {"Retry-After", engine::InSeconds(kOverloadRetryAfter)});
  reply.body = R"({"error":"overloaded"})";
  return reply;
}

}  // namespace

void ReplyOverloaded(HttpSession* session, int status) {
  session->Reply(OverloadReply(status));
}

HttpSession::HttpSession(ConnectionId id, Loop* loop, tcp::socket socket,
                         const SessionPolicy* policy, HttpListener* listener)
    : id_(id),
      loop_(loop),
      policy_(policy),
      listener_(listener),
      stream_(std::make_shared<ByteStream>(loop, std::move(socket))) {}

void HttpSession::Start() {
  auto self = shared_from_this();
  stream_->set_on_closed([self] {
    auto* listener = std::exchange(self->listener_, nullptr);
    if (listener != nullptr) listener->OnClosed(self->id_);
  });
  stream_->Start({[self](auto bytes) { self->OnBytes(bytes); },
                  [self](auto) { self->OnEnd(); },
                  [self] {
                    self->ReportBuffered();
                    self->CloseForBytes();
                  }});
  StartIdleTimer();
}

void HttpSession::Enter(engine::ConnectionPhase phase) {
  if (listener_) listener_->table_.SetPhase(id_, phase, loop_->now());
}

void HttpSession::ReportBuffered() {
  if (!listener_) return;
  const size_t received = buffer_.empty() ? 0 : buffer_.capacity();
  const size_t body = reader_ ? reader_->body_capacity() : 0;
  listener_->SetBuffered(id_, received + body + stream_->unsent_capacity());
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

// Only where no query is calling, since it ends those of other sessions.
void HttpSession::CloseForBytes() {
  if (listener_) listener_->CloseForBytes();
}

void HttpSession::OnBytes(std::string_view bytes) {
  if (ended_) return;
  buffer_.append(bytes);
  if (!busy_) {
    ReadRequest();
  } else if (buffer_.size() > kMaxPipelinedBytes) {
    OnEnd();
  }
  ReportBuffered();
  CloseForBytes();
}

void HttpSession::ReadRequest() {
  if (buffer_.empty()) return;
  const auto limits = policy_->limits();
  if (!reader_) {
    reader_ = std::make_unique<RequestReader>(
        MessageLimits{limits.header_bytes, limits.body_bytes});
    sent_continue_ = false;
    // The first request counts from the connection's beginning.
    if (!is_first_request_) Enter(engine::ConnectionPhase::kReceiving);
    loop_->Cancel(timer_);
    timer_ = loop_->RunAt(loop_->now() + limits.header_timeout,
                          [self = shared_from_this()] { self->OnTimer(); });
  }
  const ReadState state = reader_->Read(&buffer_);
  const size_t capacity = buffer_.capacity();
  if (capacity > kKeptBytes && buffer_.size() < capacity / 4) {
    buffer_.shrink_to_fit();
  }
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
  if (!listener_ || listener_->Admit(id_, request)) {
    policy_->on_request(shared_from_this(), std::move(request));
    return;
  }
  if (const auto* it = loop_->exchange_counters()) it->CountOverload();
  if (policy_->on_overload) {
    policy_->on_overload(shared_from_this(), std::move(request));
  } else {
    ReplyOverloaded(this, kOverloadStatus);
  }
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
  Enter(engine::ConnectionPhase::kIdle);
  ReportBuffered();
  StartIdleTimer();
  if (!buffer_.empty()) {
    // Posted, so that a long series of pipelined requests does not recurse.
    loop_->Post([self = shared_from_this()] {
      if (self->busy_ || !self->stream_->IsOpen()) return;
      self->ReadRequest();
      self->ReportBuffered();
      self->CloseForBytes();
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
  listener_ = nullptr;
  stream_->Close();
}

void HttpSession::CloseIfIdle() {
  if (!busy_ && !HasPartOfRequest()) End();
}

void HttpSession::Evict(bool answer) {
  if (!ended_ && HasPartOfRequest() && stream_->IsFlushed()) {
    stream_->Write(ToText(OverloadReply(kOverloadStatus), true, false));
    if (answer) {
      End();
      return;
    }
  }
  OnEnd();
  stream_->Close();
}

void HttpSession::End() {
  if (std::exchange(ended_, true)) return;
  loop_->Cancel(std::exchange(timer_, 0));
  on_disconnect_ = nullptr;
  reader_.reset();
  std::string().swap(buffer_);
  Enter(engine::ConnectionPhase::kClosing);
  stream_->CloseWhenFlushed();
  ReportBuffered();
}

HttpListener::HttpListener(Loop* loop, SessionPolicy policy)
    : loop_(loop), policy_(std::move(policy)), acceptor_(loop->io()) {}

HttpListener::~HttpListener() {
  loop_->Cancel(close_timer_);
  for (const auto& [id, it] : sessions_) it->Abort();
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
  if (!MakeRoom()) {
    RefuseConnection(&socket);
    return;
  }
  const ConnectionId id(++last_id_);
  auto session = std::make_shared<HttpSession>(id, loop_, std::move(socket),
                                               &policy_, this);
  sessions_.emplace(id, session);
  table_.Add(id, loop_->now());
  session->Start();
}

// Closes connections until there is room for another; false if all that are
// left serve requests.
bool HttpListener::MakeRoom() {
  while (table_.IsFull()) {
    const auto id = table_.ToCloseForNew();
    if (!id) return false;
    if (const auto* it = loop_->exchange_counters()) {
      it->CountClosed(ConnectionLimit::kConnections);
    }
    const auto session = sessions_.at(*id);
    session->Evict(false);
  }
  return true;
}

// All connections serve requests, so that the client is better off elsewhere.
void HttpListener::RefuseConnection(tcp::socket* socket) {
  if (const auto* it = loop_->exchange_counters()) {
    it->CountClosed(ConnectionLimit::kConnections);
  }
  boost::system::error_code ec;
  socket->non_blocking(true, ec);
  const auto text = ToText(OverloadReply(kOverloadStatus), true, false);
  (void)socket->write_some(asio::buffer(text), ec);
  socket->close(ec);
}

void HttpListener::OnClosed(ConnectionId id) {
  table_.Remove(id);
  sessions_.erase(id);
}

void HttpListener::EnsureMessagesFit() {
  const auto limits = policy_.limits();
  table_.EnsureFits(kMessagesThatFit *
                    (limits.header_bytes + limits.body_bytes));
}

void HttpListener::SetBuffered(ConnectionId id, size_t bytes) {
  table_.SetBuffered(id, bytes);
  if (!table_.IsOverBytes() || close_timer_ != 0) return;
  close_timer_ = loop_->RunAt(loop_->now(), [this] {
    close_timer_ = 0;
    CloseForBytes();
  });
}

void HttpListener::CloseForBytes() {
  if (!table_.IsOverBytes()) return;
  EnsureMessagesFit();
  const auto closed = table_.ToCloseForBytes(loop_->now());
  if (!closed.empty() && TakeLine(&log_lines_, loop_->now())) {
    Log(Part::kFront)
        .warn("{} of {} connections closed: they hold {} bytes, {} allowed",
              closed.size(), table_.size(), table_.bytes(),
              table_.limits().bytes);
    log_lines_.left_out = 0;
  }
  for (const ConnectionId id : closed) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) continue;
    if (const auto* it = loop_->exchange_counters()) {
      it->CountClosed(ConnectionLimit::kBytes);
    }
    const auto session = found->second;
    session->Evict(true);
  }
}

bool HttpListener::Admit(ConnectionId id, const HttpRequest& request) {
  EnsureMessagesFit();
  size_t bytes = request.target.size() + kCopiesOfBody * request.body.size();
  for (const auto& it : request.headers) {
    bytes += it.name.size() + it.value.size();
  }
  return table_.Admit(id, bytes, loop_->now());
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
  std::vector<std::shared_ptr<HttpSession>> all;
  for (const auto& [id, it] : sessions_) all.push_back(it);
  for (const auto& it : all) it->CloseIfIdle();
}

size_t HttpListener::busy_sessions() const {
  return static_cast<size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](auto& it) { return it.second->IsBusy(); }));
}

}  // namespace hibiscuspick::edge
