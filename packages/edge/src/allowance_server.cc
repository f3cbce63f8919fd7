#include "hibiscuspick/edge/allowance_server.h"

#include <algorithm>
#include <random>
#include <utility>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/allowance_wire.h"

namespace hibiscuspick::edge {
namespace {

constexpr Millis kRefreshInterval{500};

// A reply that comes later is of no use: the requests that wait have ended.
constexpr Millis kMessageTimeout{1000};

constexpr int kOkStatus = 200;
constexpr int kMalformedStatus = 400;
// A peer with another configuration or without these settings.
constexpr int kNotCountingStatus = 503;

uint64_t RandomProcess() {
  std::random_device device;
  const uint64_t high = device();
  constexpr int kHighShift = 32;
  return std::max<uint64_t>(high << kHighShift | device(), 1);
}

}  // namespace

// The decisions take SteadyNow() instead of the loop's time: an instance that
// hangs within an iteration must not continue with an old time, at which its
// loans had not ended.
AllowanceServer::AllowanceServer(Loop* loop, PeerMessages* messages)
    : loop_(loop), messages_(messages), process_(RandomProcess()) {}

void AllowanceServer::SetContext(
    std::optional<engine::AllowancePoolContext> context) {
  context_ = std::move(context);
  loop_->Cancel(std::exchange(refresh_timer_, 0));
  if (context_) {
    context_->process = process_;
    Refresh();
    return;
  }
  loop_->Cancel(std::exchange(exchange_timer_, 0));
  pools_ = {};
  CheckLoans();
}

void AllowanceServer::Refresh() {
  engine::SetPoolContext(&pools_, *context_, SteadyNow());
  CheckLoans();
  refresh_timer_ =
      loop_->RunAt(SteadyNow() + kRefreshInterval, [this] { Refresh(); });
}

engine::AllowanceReply AllowanceServer::Handle(
    const engine::AllowanceRequest& request) {
  auto reply = engine::HandleAllowanceRequest(&pools_, request, SteadyNow());
  SendExchanges();
  CheckLoans();
  return reply;
}

AllowanceServer::Answer AllowanceServer::HandleEncoded(std::string_view text) {
  if (!context_) return {kNotCountingStatus, ""};
  const auto request = DecodeAllowanceRequest(text);
  if (!request) {
    Log(Part::kMembers).warn("malformed message about allowances ignored");
    return {kMalformedStatus, ""};
  }
  return {kOkStatus, EncodeAllowanceReply(Handle(*request))};
}

bool AllowanceServer::IsLentByOthers() const {
  const auto& loans = pools_.loans;
  return loans.size() > loans.count(pools_.context.own);
}

void AllowanceServer::WhenNotLent(std::function<void()> done) {
  on_not_lent_.push_back(std::move(done));
  CheckLoans();
}

void AllowanceServer::CheckLoans() {
  if (on_not_lent_.empty() || IsLentByOthers()) return;
  for (const auto& it : std::exchange(on_not_lent_, {})) it();
}

void AllowanceServer::SendExchanges() {
  if (!context_) return;
  loop_->Cancel(std::exchange(exchange_timer_, 0));
  const auto exchanges = engine::TakeExchangeMessages(&pools_, SteadyNow());
  for (const auto& it : exchanges.messages) {
    messages_->Send(it.to, kAllowancePath, EncodeAllowanceRequest(it.request),
                    kMessageTimeout, [this, sent = it](const auto& body) {
                      OnExchangeReply(sent, body);
                    });
  }
  if (exchanges.next_at < kNever) {
    exchange_timer_ =
        loop_->RunAt(exchanges.next_at, [this] { SendExchanges(); });
  }
}

void AllowanceServer::OnExchangeReply(const engine::AllowanceMessage& sent,
                                      const std::optional<std::string>& body) {
  if (!context_) return;
  const auto reply = body ? DecodeAllowanceReply(*body) : std::nullopt;
  if (reply) {
    engine::HandleExchangeReply(&pools_, sent, *reply, SteadyNow());
  } else {
    engine::HandleExchangeFailure(&pools_, sent, SteadyNow());
  }
  SendExchanges();
}

}  // namespace hibiscuspick::edge
