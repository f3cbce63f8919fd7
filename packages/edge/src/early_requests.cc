#include "hibiscuspick/edge/early_requests.h"

#include <algorithm>
#include <utility>

namespace hibiscuspick::edge {
namespace {

// Counted from the start of listening; five times the duration of a normal
// start.
constexpr Millis kMaxHoldTime{250};

// Limit of held requests; a normal start holds some dozens.
constexpr size_t kMaxHeldRequests = 256;

// Reduces the deadline header by the time the request was held.
void DeductWait(std::vector<Header>* headers, std::string_view name,
                Millis waited) {
  for (auto& it : *headers) {
    if (!EqualsIgnoreCase(it.name, name)) continue;
    const auto deadline = ParseInteger(it.value);
    if (!deadline) return;
    const auto left = *deadline - static_cast<int64_t>(waited.count);
    it.value = std::to_string(std::max<int64_t>(left, 1));
  }
}

}  // namespace

EarlyRequests::EarlyRequests(Loop* loop, std::string deadline_header,
                             Serve serve)
    : loop_(loop),
      deadline_header_(std::move(deadline_header)),
      serve_(std::move(serve)) {}

void EarlyRequests::StartHolding() {
  holding_ = true;
  loop_->RunAt(SteadyNow() + kMaxHoldTime, [this] { Release(); });
}

bool EarlyRequests::Hold(const std::shared_ptr<HttpSession>& session,
                         HttpRequest* request) {
  if (!holding_ || held_.size() >= kMaxHeldRequests) return false;
  session->set_on_disconnect([this, disconnected = session.get()] {
    std::erase_if(held_, [disconnected](auto& it) {
      return it.session.get() == disconnected;
    });
  });
  held_.push_back({session, std::move(*request), loop_->now()});
  return true;
}

void EarlyRequests::Release() {
  holding_ = false;
  for (auto& it : std::exchange(held_, {})) {
    DeductWait(&it.request.headers, deadline_header_,
               loop_->now() - it.arrived_at);
    it.session->set_on_disconnect(nullptr);
    serve_(it.session, std::move(it.request));
  }
}

}  // namespace hibiscuspick::edge
