#include "hibiscuspick/edge/exchange_limits.h"

#include <algorithm>
#include <string>

namespace hibiscuspick::edge {
namespace {

// In the order of LimitedElement.
constexpr std::array<std::string_view, kLimitedElementCount> kElementNames = {
    "headers", "body", "framing", "extra_replies", "reply_memory"};

// In the order of ConnectionLimit.
constexpr std::array<std::string_view, kConnectionLimitCount>
    kConnectionLimitNames = {"connections", "bytes"};

// Replies below this are not recorded, so that the usual ones cost nothing.
constexpr size_t kMinRecordedBytes = 32768;

}  // namespace

std::string_view ElementName(LimitedElement element) {
  return kElementNames[static_cast<size_t>(element)];
}

LimitedElement ElementOf(ReadState state) {
  return state == ReadState::kHeaderTooBig ? LimitedElement::kHeaders
         : state == ReadState::kBodyTooBig ? LimitedElement::kBody
                                           : LimitedElement::kFraming;
}

ExchangeCounters::ExchangeCounters(metrics::Registry* registry)
    : exceptions_(&registry->GetCounter(
          "hibiscuspick_edge_exchange_exceptions_total",
          "Connections that were closed because of an exception")),
      overload_(&registry->GetCounter(
          "hibiscuspick_edge_overload_refusals_total",
          "Requests that were refused for want of memory")) {
  for (size_t i = 0; i < kConnectionLimitCount; ++i) {
    closed_[i] = &registry->GetCounter(
        "hibiscuspick_edge_closed_connections_total",
        "Connections of clients that were closed because all of them together "
        "held too much, by what they held",
        {{"limit", std::string(kConnectionLimitNames[i])}});
  }
  for (size_t i = 0; i < kLimitedElementCount; ++i) {
    const metrics::Labels labels = {{"element", std::string(kElementNames[i])}};
    requests_[i] = &registry->GetCounter(
        "hibiscuspick_edge_oversized_requests_total",
        "Requests that exceeded a limit, by what exceeded it", labels);
    replies_[i] = &registry->GetCounter(
        "hibiscuspick_edge_oversized_replies_total",
        "Replies that exceeded a limit, by what exceeded it", labels);
  }
  for (size_t i = 0; i < kReplyDefectCount; ++i) {
    const auto defect = static_cast<ReplyDefect>(i);
    if (defect == ReplyDefect::kNone) continue;
    defects_[i] = &registry->GetCounter(
        "hibiscuspick_edge_rejected_replies_total",
        "Replies that were not taken as answers, by the reason",
        {{"reason", std::string(DefectName(defect))}});
  }
}

HttpChannel* ReplyMemory::Update(HttpChannel* channel, size_t n) {
  if (n < kMinRecordedBytes) return nullptr;
  auto& held = by_channel_[channel];
  bytes_ += n - held;
  held = n;
  if (bytes_ <= max_bytes_) return nullptr;
  const auto largest =
      std::max_element(by_channel_.begin(), by_channel_.end(),
                       [](auto& a, auto& b) { return a.second < b.second; });
  return largest->first;
}

void ReplyMemory::Remove(HttpChannel* channel) {
  const auto found = by_channel_.find(channel);
  if (found == by_channel_.end()) return;
  bytes_ -= found->second;
  by_channel_.erase(found);
}

}  // namespace hibiscuspick::edge
