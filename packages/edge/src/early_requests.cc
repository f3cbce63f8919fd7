#include "hibiscuspick/edge/early_requests.h"

#include <algorithm>
#include <utility>

namespace hibiscuspick::edge {
namespace {

// Counted from the start of listening; five times the duration of a normal
// start.
constexpr Millis kLongestHold{250};

// Limit of held requests; a normal start holds some dozens.
constexpr size_t kMostHeld = 256;

// Reduces the deadline header by the time the request was held.
void TakeOff(std::vector<Header>* headers, std::string_view name,
             Millis waited) {
  for (auto& it : *headers) {
    if (!SameName(it.name, name)) continue;
    const auto said = WholeNumber(it.value);
    if (!said) return;
    const auto left = *said - static_cast<int64_t>(waited.count);
    it.value = std::to_string(std::max<int64_t>(left, 1));
  }
}

}  // namespace

EarlyRequests::EarlyRequests(Loop* loop, std::string deadline_header,
                             Serve serve)
    : loop_(loop),
      deadline_header_(std::move(deadline_header)),
      serve_(std::move(serve)) {}

void EarlyRequests::Begin() {
  holding_ = true;
  loop_->At(SteadyNow() + kLongestHold, [this] { Release(); });
}

bool EarlyRequests::Hold(const std::shared_ptr<HttpSession>& session,
                         HttpRequest* request) {
  if (!holding_ || held_.size() >= kMostHeld) return false;
  session->set_on_gone([this, gone = session.get()] {
    std::erase_if(held_, [gone](auto& it) { return it.session.get() == gone; });
  });
  held_.push_back({session, std::move(*request), loop_->now()});
  return true;
}

void EarlyRequests::Release() {
  holding_ = false;
  for (auto& it : std::exchange(held_, {})) {
    TakeOff(&it.request.headers, deadline_header_, loop_->now() - it.came);
    it.session->set_on_gone(nullptr);
    serve_(it.session, std::move(it.request));
  }
}

}  // namespace hibiscuspick::edge
