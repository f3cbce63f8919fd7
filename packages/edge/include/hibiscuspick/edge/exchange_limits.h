// Limits on what is received, and counters of what exceeds them.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <unordered_map>

#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/reply_check.h"
#include "hibiscuspick/metrics/registry.h"

namespace hibiscuspick::edge {

// What exceeded a limit.
enum class LimitedElement {
  kHeaders,
  kBody,
  // Chunk headers and trailers.
  kFraming,
  // Interim replies, and replies to other requests, before the reply.
  kExtraReplies,
  // All replies that are being received; see ReplyMemory.
  kReplyMemory,
};
inline constexpr size_t kLimitedElementCount =
    static_cast<size_t>(LimitedElement::kReplyMemory) + 1;
std::string_view ElementName(LimitedElement element);
// Of a reader's state kHeaderTooBig, kBodyTooBig or kFramingTooBig.
LimitedElement ElementOf(ReadState state);

// Replies that may precede the reply to a request, including interim ones.
inline constexpr int kMaxExtraReplies = 16;

// Of all replies that are being received from backend servers.
inline constexpr size_t kMaxReplyMemory = 16 << 20;

// What all connections of a listener held too much of.
enum class ConnectionLimit { kConnections, kBytes };
inline constexpr size_t kConnectionLimitCount =
    static_cast<size_t>(ConnectionLimit::kBytes) + 1;

class ExchangeCounters {
 public:
  // `registry` must outlive this object.
  explicit ExchangeCounters(metrics::Registry* registry);

  // Thread-safe.
  void CountRequest(LimitedElement it) const {
    requests_[static_cast<size_t>(it)]->Add();
  }
  void CountReply(LimitedElement it) const {
    replies_[static_cast<size_t>(it)]->Add();
  }
  void CountDefect(ReplyDefect it) const {
    defects_[static_cast<size_t>(it)]->Add();
  }
  void CountException() const { exceptions_->Add(); }
  // Connections of clients that were closed or refused because all of them
  // together held too much.
  void CountClosed(ConnectionLimit it) const {
    closed_[static_cast<size_t>(it)]->Add();
  }
  // A complete request that was refused for want of memory.
  void CountOverload() const { overload_->Add(); }

 private:
  std::array<metrics::Counter*, kLimitedElementCount> requests_{};
  std::array<metrics::Counter*, kLimitedElementCount> replies_{};
  std::array<metrics::Counter*, kReplyDefectCount> defects_{};
  std::array<metrics::Counter*, kConnectionLimitCount> closed_{};
  metrics::Counter* exceptions_;
  metrics::Counter* overload_;
};

class HttpChannel;

// The bytes received so far of the replies on a set of channels. Each may be
// small enough by itself while all of them use up the process's memory.
class ReplyMemory {
 public:
  explicit ReplyMemory(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Records that `n` bytes of a reply have been received. Returns the channel
  // with the most bytes if the limit is exceeded, otherwise null.
  HttpChannel* Update(HttpChannel* channel, size_t n);
  // Before the channel's exchange ends.
  void Remove(HttpChannel* channel);
  size_t bytes() const { return bytes_; }

 private:
  const size_t max_bytes_;
  size_t bytes_ = 0;
  std::unordered_map<HttpChannel*, size_t> by_channel_;
};

}  // namespace hibiscuspick::edge
