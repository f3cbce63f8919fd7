#include "hibiscuspick/edge/http_channel.h"

#include <atomic>
#include <cstdint>
#include <utility>

namespace hibiscuspick::edge {
namespace {

std::atomic<uint64_t> last_channel_id{0};

}  // namespace

HttpChannel::HttpChannel(Loop* loop)
    : loop_(loop),
      id_(++last_channel_id),
      stream_(std::make_shared<ByteStream>(loop)) {}

void HttpChannel::Connect(const Address& address, Millis timeout,
                          std::function<void(bool)> done) {
  auto self = shared_from_this();
  stream_->Connect(address, timeout, [self, done = std::move(done)](bool ok) {
    self->open_ = ok;
    self->idle_since_ = self->loop_->now();
    if (ok) {
      self->stream_->Start({[self](auto bytes) { self->OnBytes(bytes); },
                            [self](auto how) { self->OnEnd(how); }});
    }
    done(ok);
  });
}

std::unique_ptr<ReplyReader> HttpChannel::MakeReader() const {
  return std::make_unique<ReplyReader>(
      exchange_.is_head,
      MessageLimits{kMaxReplyHeaderBytes, exchange_.max_reply_bytes});
}

void HttpChannel::Send(Exchange exchange) {
  busy_ = true;
  exchange_ = std::move(exchange);
  reader_ = MakeReader();
  written_before_ = stream_->bytes_written();
  reply_bytes_ = 0;
  extra_replies_ = 0;
  ++exchanges_;
  defect_ = ReplyDefect::kNone;
  skipped_unnamed_ = false;
  if (byte_counters_) byte_counters_->sent->Add(exchange_.text.size());
  stream_->Write(std::exchange(exchange_.text, std::string()));
}

void HttpChannel::OnBytes(std::string_view bytes) {
  if (!busy_) {
    Close();
    return;
  }
  reply_bytes_ += bytes.size();
  if (byte_counters_) byte_counters_->received->Add(bytes.size());
  buffer_.append(bytes);
  while (busy_ && !buffer_.empty() && ParseReply()) {
  }
  if (busy_ && !IsWithinLimits()) Exceed(LimitedElement::kExtraReplies);
  if (!busy_ || exchange_.memory == nullptr) return;
  HttpChannel* largest = exchange_.memory->Update(this, reply_bytes_);
  if (largest) largest->Exceed(LimitedElement::kReplyMemory);
}

// Parses buffered bytes. Returns true if a reply to another request was
// skipped.
bool HttpChannel::ParseReply() {
  const ReadState state = reader_->Read(&buffer_);
  switch (state) {
    case ReadState::kMore:
      return false;
    case ReadState::kMalformed:
      Reject(ReplyDefect::kSyntax);
      return false;
    case ReadState::kUnknownFraming:
      Reject(ReplyDefect::kFraming);
      return false;
    case ReadState::kHeaderTooBig:
    case ReadState::kBodyTooBig:
    case ReadState::kFramingTooBig:
      Exceed(ElementOf(state));
      return false;
    case ReadState::kDone:
      break;
  }
  HttpReply reply = reader_->Take();
  const ReplyUse use =
      IsInterim(reply.status) ? ReplyUse::kSkip : Judge(reply).use;
  if (use == ReplyUse::kSkip) {
    ++extra_replies_;
    reader_ = MakeReader();
    return IsWithinLimits();
  }
  Finish(
      use == ReplyUse::kReject ? ExchangeEnd::kRejected : ExchangeEnd::kReply,
      std::move(reply));
  return false;
}

ReplyVerdict HttpChannel::Judge(const HttpReply& reply) {
  const bool is_first = exchanges_ == 1 && defect_ == ReplyDefect::kNone;
  const auto verdict = JudgeReply(reply, exchange_.expectation, is_first);
  if (verdict.defect == ReplyDefect::kNone) return verdict;
  defect_ = verdict.defect;
  if (verdict.use == ReplyUse::kSkip &&
      verdict.defect == ReplyDefect::kNoRequestId) {
    skipped_unnamed_ = true;
  }
  if (const auto* it = loop_->exchange_counters()) it->CountDefect(defect_);
  return verdict;
}

void HttpChannel::Reject(ReplyDefect defect) {
  if (!busy_) return;
  defect_ = defect;
  if (const auto* it = loop_->exchange_counters()) it->CountDefect(defect);
  Finish(ExchangeEnd::kRejected, {});
}

// Whether the replies before the one to this request are few and small enough.
bool HttpChannel::IsWithinLimits() {
  return extra_replies_ <= kMaxExtraReplies &&
         reply_bytes_ <= 2 * (kMaxReplyHeaderBytes + exchange_.max_reply_bytes);
}

void HttpChannel::Exceed(LimitedElement element) {
  if (!busy_) return;
  exceeded_ = element;
  if (const auto* it = loop_->exchange_counters()) it->CountReply(element);
  Finish(ExchangeEnd::kTooLarge, {});
}

void HttpChannel::OnEnd(StreamEnd how) {
  open_ = false;
  if (!busy_) return;
  if (how == StreamEnd::kOrderly && reader_->ReadEnd() == ReadState::kDone) {
    HttpReply reply = reader_->Take();
    const ReplyUse use = Judge(reply).use;
    if (use != ReplyUse::kSkip) {
      Finish(use == ReplyUse::kReject ? ExchangeEnd::kRejected
                                      : ExchangeEnd::kReply,
             std::move(reply));
      return;
    }
  }
  const bool is_unsent = stream_->bytes_written() == written_before_;
  Finish(is_unsent ? ExchangeEnd::kUnsent : ExchangeEnd::kBroken, {});
}

void HttpChannel::Finish(ExchangeEnd end, HttpReply reply) {
  busy_ = false;
  idle_since_ = loop_->now();
  const bool reusable = end == ExchangeEnd::kReply && reply.keep_alive &&
                        !reply.until_close && defect_ == ReplyDefect::kNone &&
                        buffer_.empty() && stream_->IsFlushed();
  if (exchange_.memory) exchange_.memory->Remove(this);
  const auto on_reply = std::exchange(exchange_.on_reply, nullptr);
  exchange_ = {};
  if (!reusable) Close();
  if (end == ExchangeEnd::kRejected) reply = {};
  if (on_reply) on_reply(end, std::move(reply));
}

void HttpChannel::Close() {
  open_ = false;
  busy_ = false;
  if (exchange_.memory) exchange_.memory->Remove(this);
  exchange_.memory = nullptr;
  exchange_.on_reply = nullptr;
  stream_->Close();
}

}  // namespace hibiscuspick::edge
