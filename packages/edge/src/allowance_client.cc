#include "hibiscuspick/edge/allowance_client.h"

#include <utility>

#include "hibiscuspick/edge/allowance_wire.h"

namespace hibiscuspick::edge {
namespace {

// Later replies are not awaited: granted tokens expire after this time. The
// leases notice a peer that is silent much earlier.
constexpr Millis kMessageTimeout{1000};

// Retry-After while no list of instances is known: the load balancer sends the
// retry to another instance.
constexpr Millis kUnknownListRetryAfter{50};

// Rounds of messages to the own pools within one call; further ones are left to
// the next iteration of the loop.
constexpr int kMaxRounds = 4;

// Removes what refuses requests: these are answered as without a counting
// instance.
void DropRefusals(engine::AllowanceReply* reply) {
  std::erase_if(reply->accounts, [](const auto& it) {
    return it.tokens <= 0 && it.ask_again <= Millis(0);
  });
  for (auto& it : reply->accounts) {
    if (it.ask_again <= Millis(0)) it.retry_after = Millis(0);
  }
}

}  // namespace

void AllowanceClient::SetContext(const engine::LeaseContext& context,
                                 const engine::EntryInstances& instances) {
  entry_instances_ = instances;
  // A higher limit applies at once.
  if (context.config_version != leases_.context.config_version) {
    remote_refusals_ = {};
  }
  if (!context.enabled) {
    leases_ = {};
    for (const auto& it : std::exchange(on_settled_, {})) it();
    loop_->Cancel(std::exchange(timer_, 0));
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& [ticket, it] : waiting) it.on_token({});
    return;
  }
  engine::SetLeaseContext(&leases_, context, SteadyNow());
  Advance();
}

std::function<void()> AllowanceClient::Take(
    const engine::ClientAccount& account, bool is_retry, OnToken on_token) {
  if (leases_.context.own.empty()) {
    on_token({engine::TokenOutcomeKind::kNoCountingInstance, 0,
              kUnknownListRetryAfter, Millis(0)});
    return {};
  }
  const auto outcome = engine::RequestToken(
      &leases_, account.id, account.allowance, is_retry, SteadyNow());
  if (outcome.kind != engine::TokenOutcomeKind::kWaiting) {
    Advance();
    on_token(outcome);
    return {};
  }
  const uint64_t ticket = outcome.ticket;
  waiting_[ticket] = {account.id, std::move(on_token)};
  Advance();
  if (!waiting_.contains(ticket)) return {};
  return [this, ticket] {
    const auto node = waiting_.extract(ticket);
    if (node.empty()) return;
    engine::CancelToken(&leases_, node.mapped().account, ticket);
    Advance();
  };
}

void AllowanceClient::WhenSettled(std::function<void()> done) {
  on_settled_.push_back(std::move(done));
  Advance();
}

void AllowanceClient::Return(const ClientAccountId& account) {
  engine::ReturnToken(&leases_, account, SteadyNow());
  Advance();
}

std::optional<engine::EarlyRefusal> AllowanceClient::RefuseEarly(
    const engine::ClientAccount& account) {
  const Millis now = SteadyNow();
  const auto remote = engine::RefuseEarly(&remote_refusals_, account.id, now);
  if (remote) return remote;
  const auto found = leases_.accounts.find(account.id);
  if (found == leases_.accounts.end() || found->second.refuse_until <= now) {
    return std::nullopt;
  }
  const auto outcome =
      engine::RequestToken(&leases_, account.id, account.allowance, false, now);
  using Kind = engine::TokenOutcomeKind;
  if (outcome.kind == Kind::kAboveAllowance) {
    return engine::EarlyRefusal{outcome.retry_after, outcome.age};
  }
  // The instance that runs the request takes the token.
  if (outcome.kind == Kind::kGranted) Return(account.id);
  if (outcome.kind == Kind::kWaiting) {
    engine::CancelToken(&leases_, account.id, outcome.ticket);
  }
  return std::nullopt;
}

engine::TokenGrant AllowanceClient::RefusalOf(
    const ClientAccountId& account) const {
  engine::TokenGrant refusal;
  refusal.account = account;
  const auto found = leases_.accounts.find(account);
  if (found == leases_.accounts.end()) return refusal;
  const Millis now = SteadyNow();
  const auto& it = found->second;
  refusal.refuse_for = Max(it.refuse_until - now, Millis(0));
  refusal.retry_after = Max(it.next_place - now, Millis(0));
  refusal.refused_spacing = it.refused_spacing;
  return refusal;
}

void AllowanceClient::RecordRefusal(const engine::TokenGrant& refusal) {
  engine::RecordRemoteRefusal(&remote_refusals_, refusal, entry_instances_,
                              SteadyNow());
}

double AllowanceClient::TokensHeld(const ClientAccountId& account) const {
  double tokens = 0;
  const auto found = leases_.accounts.find(account);
  if (found == leases_.accounts.end()) return tokens;
  for (const auto& it : found->second.leases) tokens += it.tokens;
  return tokens;
}

void AllowanceClient::Advance() {
  if (advancing_) {
    advance_again_ = true;
    return;
  }
  advancing_ = true;
  loop_->Cancel(std::exchange(timer_, 0));
  int rounds = 0;
  while (AdvanceOnce()) {
    if (++rounds < kMaxRounds) continue;
    timer_ = loop_->RunAt(loop_->now(), [this] { Advance(); });
    break;
  }
  advancing_ = false;
}

// Returns whether there may be more to do at once.
bool AllowanceClient::AdvanceOnce() {
  advance_again_ = false;
  const auto actions = engine::AdvanceLeases(&leases_, SteadyNow());
  for (const auto& it : actions.messages) Send(it);
  for (const auto& it : actions.outcomes) {
    const auto node = waiting_.extract(it.ticket);
    if (!node.empty()) node.mapped().on_token(it);
  }
  if (!on_settled_.empty() && engine::AreLoansSettled(leases_, SteadyNow())) {
    for (const auto& it : std::exchange(on_settled_, {})) it();
  }
  if (advance_again_) return true;
  if (actions.next_at < kNever) {
    timer_ = loop_->RunAt(actions.next_at, [this] { Advance(); });
  }
  return false;
}

// Whether this instance counts with its own share alone, though others of its
// data centre should lend it theirs or count themselves. Then it doesn't know
// whether the allowance is used up.
bool AllowanceClient::CountsAlone() const {
  const auto& candidates = leases_.context.candidates;
  const bool is_only_candidate =
      candidates.size() == 1 && candidates.front() == leases_.context.own;
  return !is_only_candidate && !own_server_->IsLentByOthers();
}

void AllowanceClient::Send(const engine::AllowanceMessage& message) {
  if (message.to == leases_.context.own) {
    auto reply = own_server_->Handle(message.request);
    if (CountsAlone()) DropRefusals(&reply);
    OnReply(message, reply);
    return;
  }
  messages_->Send(
      message.to, kAllowancePath, EncodeAllowanceRequest(message.request),
      kMessageTimeout, [this, sent = message](const auto& body) {
        OnReply(sent, body ? DecodeAllowanceReply(*body) : std::nullopt);
      });
}

void AllowanceClient::OnReply(
    const engine::AllowanceMessage& sent,
    const std::optional<engine::AllowanceReply>& reply) {
  if (reply) {
    engine::HandleLeaseReply(&leases_, sent, *reply, SteadyNow());
  } else {
    engine::HandleLeaseFailure(&leases_, sent, SteadyNow());
  }
  Advance();
}

}  // namespace hibiscuspick::edge
