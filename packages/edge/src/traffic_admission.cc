// Refuses requests before they run: ambiguous and quarantined ones, and those
// above the allowances of client accounts.
#include <spdlog/fmt/fmt.h>

#include <utility>

#include "hibiscuspick/edge/allowance_wire.h"
#include "hibiscuspick/edge/caller_fields.h"
#include "hibiscuspick/edge/traffic_server.h"

namespace hibiscuspick::edge {
namespace {

constexpr int kBadRequestStatus = 400;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

constexpr double kMillisPerSecond = 1000;

}  // namespace

// A request that waits for a token of its account.
struct TrafficServer::TokenWait {
  std::shared_ptr<HttpSession> session;
  std::shared_ptr<const engine::TrafficConfig> config;
  HttpRequest request;
  const engine::Route* route = nullptr;
  std::optional<ForwardedQuery> forwarded;
  ForwardedDeadlines deadlines;
  Millis since;
  std::function<void()> cancel;
};

bool TrafficServer::RefuseAmbiguous(HttpSession* session,
                                    const HttpRequest& request) {
  const auto defect = CheckCallerFields(request.headers, settings_.names);
  if (defect == RequestDefect::kNone) return false;
  Refuse(session, request, kBadRequestStatus, DefectName(defect));
  return true;
}

bool TrafficServer::RefuseQuarantined(
    const std::shared_ptr<HttpSession>& session, const HttpRequest& request,
    const engine::Route& route) {
  if (quarantine_.IsEmpty()) return false;
  const auto treatment = quarantine_.TreatmentOf(FingerprintOf(request, route));
  if (treatment.kind != engine::Treatment::Kind::kRefuse) return false;
  Refuse(session.get(), request, 503, FaultName(QueryFault::kQuarantined),
         treatment.retry_after);
  return true;
}

void TrafficServer::SetCountingInstances(CountingInstances instances) {
  allowances_.SetInstances(std::move(instances));
}

const engine::ClientAccount* TrafficServer::AccountOf(
    const engine::TrafficConfig& config, const HttpRequest& request) {
  if (!config.accounts || request.account.empty()) return nullptr;
  return engine::FindAccount(*config.accounts, request.account);
}

void TrafficServer::Serve(
    const std::shared_ptr<HttpSession>& session,
    const std::shared_ptr<const engine::TrafficConfig>& config,
    HttpRequest request, const engine::Route& route,
    const std::optional<ForwardedQuery>& forwarded,
    const std::optional<ForwardedDeadlines>& deadlines) {
  const auto* account = AccountOf(*config, request);
  // A part of a query is counted where the whole query is run.
  const bool is_part = forwarded && !forwarded->shard_indices.empty();
  if (account == nullptr || is_part) {
    Run(session, config, std::move(request), route, forwarded,
        {{}, false, deadlines});
    return;
  }
  if (!allowances_.IsEnabled() || !account->allowance.IsLimited()) {
    account_metrics_.Count(account->id, AccountEvent::kAdmitted, loop_->now());
    Run(session, config, std::move(request), route, forwarded,
        {account->id, false, deadlines});
    return;
  }
  const auto wait = std::make_shared<TokenWait>();
  wait->session = session;
  wait->config = config;
  wait->route = &route;
  wait->forwarded = forwarded;
  wait->deadlines = deadlines ? *deadlines
                    : forwarded
                        ? forwarded->deadlines
                        : QueryRun::DeadlinesFor(
                              context_, route, RouteLatencyOf(route), request);
  wait->request = std::move(request);
  wait->since = loop_->now();
  auto cancel = allowances_.client().Take(
      *account, wait->deadlines.is_retry,
      [this, wait](const auto& outcome) { OnToken(wait, outcome); });
  if (!cancel) return;
  wait->cancel = std::move(cancel);
  token_waits_.insert(wait);
  session->set_on_disconnect([this, wait] {
    wait->cancel();
    token_waits_.erase(wait);
  });
}

void TrafficServer::OnToken(const std::shared_ptr<TokenWait>& wait,
                            const engine::TokenOutcome& outcome) {
  if (token_waits_.erase(wait) > 0) wait->session->set_on_disconnect(nullptr);
  const ClientAccountId account = wait->request.account;
  if (outcome.kind != engine::TokenOutcomeKind::kGranted) {
    const bool used_up =
        outcome.kind == engine::TokenOutcomeKind::kAboveAllowance;
    RefuseForAllowance(wait->session, wait->request, used_up,
                       {outcome.retry_after, outcome.age},
                       wait->forwarded.has_value());
    return;
  }
  account_metrics_.Count(account, AccountEvent::kAdmitted, loop_->now());
  Run(wait->session, wait->config, std::move(wait->request), *wait->route,
      wait->forwarded,
      {account, true, After(wait->deadlines, loop_->now() - wait->since)});
}

bool TrafficServer::RefuseEarly(const std::shared_ptr<HttpSession>& session,
                                const HttpRequest& request,
                                const engine::Route& route) {
  if (!allowances_.IsEnabled()) return false;
  const auto* account = AccountOf(*config_, request);
  if (account == nullptr || !account->allowance.IsLimited()) return false;
  // Callers who return have a place in the refill, and get their token first.
  const auto deadlines =
      QueryRun::DeadlinesFor(context_, route, RouteLatencyOf(route), request);
  if (deadlines.is_retry) return false;
  const auto refusal = allowances_.client().RefuseEarly(*account);
  if (!refusal) return false;
  RefuseForAllowance(session, request, true, *refusal, false);
  return true;
}

void TrafficServer::RefuseForAllowance(
    const std::shared_ptr<HttpSession>& session, const HttpRequest& request,
    bool used_up, const engine::EarlyRefusal& refusal, bool is_forwarded) {
  const auto id = FindHeader(request.headers, settings_.names.request_id);
  const std::string reason =
      used_up ? "above_allowance" : "no_counting_instance";
  QueryOutcome outcome;
  auto& reply = outcome.reply;
  reply.status = used_up ? kTooManyRequests : kUnavailable;
  reply.headers = {
      {settings_.names.request_id, std::string(id)},
      {"Retry-After",
       fmt::format("{:.3f}", refusal.retry_after.count / kMillisPerSecond)},
      {"Content-Type", "application/json"}};
  reply.body = R"({"error":")" + reason + R"("})";
  account_metrics_.Count(
      request.account,
      used_up ? AccountEvent::kAboveAllowance : AccountEvent::kAllowanceUnknown,
      loop_->now());
  request_log_.LogAllowanceRefusal(
      id, request.account, reply.status, reason, refusal,
      allowances_.client().TokensHeld(request.account), loop_->now());
  if (!is_forwarded) {
    session->Reply(reply);
    return;
  }
  std::optional<engine::TokenGrant> remembered;
  if (used_up) remembered = allowances_.client().RefusalOf(request.account);
  AnswerPeer(session, outcome, nullptr, remembered);
}

void TrafficServer::TakePeerRefusal(const ClientAccountId& account,
                                    std::optional<engine::TokenGrant> refusal) {
  if (!refusal || account.empty() || !allowances_.IsEnabled()) return;
  refusal->account = account;
  allowances_.client().RecordRefusal(*refusal);
}

void TrafficServer::CountEnd(const Admission& admission, const QueryRun* query,
                             const QueryOutcome& outcome) {
  if (admission.account.empty()) return;
  const auto count = [&](AccountEvent event) {
    account_metrics_.Count(admission.account, event, loop_->now());
  };
  if (outcome.late) count(AccountEvent::kLate);
  if (outcome.fault == QueryFault::kNone || outcome.may_have_run) return;
  count(AccountEvent::kNoCapacity);
  if (query != nullptr) ReturnToken(admission, *query);
}

void TrafficServer::ReturnToken(const Admission& admission,
                                const QueryRun& query) {
  if (!admission.has_token || !allowances_.IsEnabled()) return;
  if (query.HasCertainlyNotRun()) {
    allowances_.client().Return(admission.account);
  }
}

void TrafficServer::OnAllowanceMessage(
    const std::shared_ptr<HttpSession>& session, const HttpRequest& request) {
  const auto answer = allowances_.server().HandleEncoded(request.body);
  HttpReply reply;
  reply.status = answer.status;
  reply.headers.push_back({"Content-Type", "application/json"});
  reply.body = answer.body;
  session->Reply(reply);
}

// Refuses the requests that wait for tokens, since the instance is shutting
// down.
void TrafficServer::RefuseTokenWaits() {
  for (const auto& it : std::exchange(token_waits_, {})) {
    it->cancel();
    it->session->set_on_disconnect(nullptr);
    Refuse(it->session.get(), it->request, kUnavailable, "leaving");
  }
}

}  // namespace hibiscuspick::edge
