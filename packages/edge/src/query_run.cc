#include "hibiscuspick/edge/query_run.h"

#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/caller_fields.h"
#include "hibiscuspick/edge/caller_identity.h"
#include "hibiscuspick/edge/request_quarantine.h"
#include "hibiscuspick/engine/fan_out.h"

namespace hibiscuspick::edge {
namespace {

using engine::GatherStep;
using engine::Idempotency;

// A caller that has waited for longer than a connection setup takes is taken to
// be retrying.
constexpr Millis kRetryThreshold{30};

// A shard expected to take more than this fraction of the time to the target is
// deferred if the minimum coverage can be reached without it.
constexpr double kDeferThreshold = 0.6;
constexpr double kNeverDefer = 1e9;

constexpr int kMisdirectedStatus = 421;

}  // namespace

QueryRun::QueryRun(QueryContext* context,
                   std::shared_ptr<const engine::TrafficConfig> config,
                   const engine::Route* route,
                   engine::RouteLatency* route_latency, HttpRequest request)
    : context_(context),
      config_(std::move(config)),
      route_(route),
      route_latency_(route_latency),
      request_(std::move(request)),
      request_id_(FindHeader(request_.headers, context->names->request_id)),
      started_at_(context->loop->now()) {
  fingerprint_ = FingerprintOf(request_, *route_);
  const auto& names = *context_->names;
  if (config_->accounts) {
    account_ = engine::FindAccount(*config_->accounts, request_.account);
  }
  if (account_ != nullptr) {
    common_data_centres_ = engine::CommonDataCentres(
        route_->allowed_data_centres, account_->allowed_data_centres);
  }
  for (auto& it : ForwardedHeaders(request_.headers, names)) {
    // These headers are set by this instance and never taken from a caller.
    if (EqualsIgnoreCase(it.name, names.deadline)) continue;
    if (EqualsIgnoreCase(it.name, names.expect_instance)) continue;
    if (EqualsIgnoreCase(it.name, names.stamp)) continue;
    if (config_->accounts && IsIdentityHeader(it.name, names)) continue;
    upstream_headers_.push_back(std::move(it));
  }
}

ForwardedDeadlines After(ForwardedDeadlines deadlines, Millis waited) {
  deadlines.answer_in = deadlines.answer_in - waited;
  deadlines.deadline_in = deadlines.deadline_in - waited;
  return deadlines;
}

ForwardedDeadlines QueryRun::DeadlinesFor(const QueryContext& context,
                                          const engine::Route& route,
                                          engine::RouteLatency* route_latency,
                                          const HttpRequest& request) {
  ForwardedDeadlines deadlines;
  deadlines.deadline_in = route.timeout;
  Millis already_waited{0};
  const auto header = FindHeader(request.headers, context.names->deadline);
  if (const auto n = ParseInteger(header); n && *n > 0) {
    const Millis deadline(static_cast<double>(*n));
    already_waited = engine::TimeAlreadyWaited(route_latency, deadline);
    deadlines.is_retry = already_waited > kRetryThreshold;
    deadlines.deadline_in =
        Min(deadlines.deadline_in, deadline - context.deadline_margin);
  }
  const Millis margin = request.network_time
                            ? *request.network_time + context.processing_margin
                            : context.answer_margin;
  deadlines.answer_in = route.target - already_waited - margin;
  return deadlines;
}

void QueryRun::SetDeadlines() {
  const ForwardedDeadlines deadlines =
      forwarded_deadlines_
          ? *forwarded_deadlines_
          : DeadlinesFor(*context_, *route_, route_latency_, request_);
  is_retry_ = deadlines.is_retry;
  deadlines_.deadline =
      started_at_ + Min(deadlines.deadline_in, route_->timeout);
  Millis answer_in = deadlines.answer_in;
  if (mechanisms().answer_lag_compensation) {
    answer_in = answer_in - context_->answer_lag.typical();
  }
  if (deadlines.lags) {
    answer_in = engine::BestAnswerTime(
        *route_latency_, answer_in + engine::TypicalLag(*deadlines.lags),
        *deadlines.lags);
  }
  deadlines_.answer_at = started_at_ + answer_in;
}

void QueryRun::Start(const std::vector<ServiceId>& services, OnDone on_done) {
  on_done_ = std::move(on_done);
  SetDeadlines();
  parts_.resize(services.size());
  for (size_t i = 0; i < services.size(); ++i) {
    parts_[i].service = services[i];
  }
  const auto& budget_services =
      route_->gather ? route_->gather->shards : services;
  budget_service_ =
      *std::min_element(budget_services.begin(), budget_services.end());
  // A partial query is counted by the instance that owns the query.
  if (shard_indices_.empty()) context_->backends->CountRequest(budget_service_);
  if (AdmitUnlessQuarantined() && StartParts()) Advance();
}

// Starts the immediate parts, or answers at once if the query is refused.
bool QueryRun::StartParts() {
  std::vector<std::optional<engine::ShardEstimate>> estimates;
  for (const auto& it : parts_) {
    estimates.push_back(context_->backends->EstimateShard(
        it.service, route_latency_->median, deadlines_.answer_at,
        allowed_data_centres()));
  }
  const size_t needed = Progress().needed;
  const Millis to_target = deadlines_.answer_at - started_at_;
  const auto admission =
      engine::Admit(estimates, needed,
                    {to_target, deadlines_.deadline - started_at_, is_retry_});
  if (mechanisms().whole_query_rejection && !admission.admitted &&
      shard_indices_.empty()) {
    retry_after_ = admission.retry_after;
    refusal_estimate_ = admission.critical_shard;
    Fail(QueryFault::kOverloaded);
    return false;
  }
  deprioritized_ = admission.deprioritized;
  // A peer that forwarded parts needs all of them.
  const bool may_defer = mechanisms().deferred_shards && shard_indices_.empty();
  const auto plan = engine::PlanFanOut(
      estimates, needed, to_target, may_defer ? kDeferThreshold : kNeverDefer);
  if (!plan.feasible) {
    Fail(QueryFault::kNoServer);
    return false;
  }
  for (const size_t i : plan.unreachable) parts_[i].failed = true;
  for (const size_t i : plan.deferred) parts_[i].deferred = true;
  const bool canary_first =
      context_->quarantine->TreatmentOf(fingerprint_).kind ==
      engine::Treatment::Kind::kCanary;
  auto immediate = canary_first ? plan.immediate : RelayParts(plan.immediate);
  if (canary_first) SortCanaries(&immediate);
  for (const size_t i : immediate) StartPart(i);
  return true;
}

void QueryRun::StartPart(size_t i) {
  parts_[i].deferred = false;
  if (!MaySend(i, false)) return;
  if (!TryStartPart(i, ExtraAttempt::kNone)) EnqueuePart(i, false);
}

void QueryRun::EnqueuePart(size_t i, bool extra) {
  QueuedPart queued_part;
  queued_part.priority = engine::PriorityFor(*route_, account_);
  queued_part.due = deadlines_.answer_at;
  queued_part.deprioritized = deprioritized_;
  queued_part.on_key_changed = [self = shared_from_this(),
                                i](const QueueKey& key) {
    self->parts_[i].queue_key = key;
  };
  queued_part.try_start = [self = shared_from_this(), i, extra] {
    auto& it = self->parts_[i];
    if (self->done_ || it.received || it.failed) return true;
    if (!self->MaySend(i, !it.may_have_run_on.empty())) {
      it.queue_key.reset();
      self->Advance();
      return true;
    }
    if (!self->TryStartPart(
            i, extra ? ExtraAttempt::kUrgent : ExtraAttempt::kNone)) {
      if (self->MayWait(it, extra)) return false;
      // The last available server, or the budget, was lost while the part
      // waited.
      it.queue_key.reset();
      it.failed = true;
      self->Advance();
      return true;
    }
    it.queue_key.reset();
    self->ArmTimer();
    return true;
  };
  parts_[i].queue_key =
      context_->backends->Enqueue(parts_[i].service, std::move(queued_part));
}

// Starts one attempt of the part. Returns false if no server takes it or, for
// an extra attempt, the budget is used up.
bool QueryRun::TryStartPart(size_t i, ExtraAttempt extra) {
  auto& part = parts_[i];
  auto& backends = *context_->backends;
  const Millis now = context_->loop->now();
  const bool reserves =
      mechanisms().hedge_reserve && extra == ExtraAttempt::kOptional;
  const double reserve = reserves ? engine::kUrgentReserve : 0;
  const bool is_extra = extra != ExtraAttempt::kNone;
  if (is_extra && !backends.HasExtraAttempt(budget_service_, reserve)) {
    return false;
  }
  AttemptSpec spec = AttemptSpecFor(i);
  spec.skip_suspected = !part.open.empty();
  const bool is_canary = IsCanary(part);
  const auto started = backends.TryStart(std::move(spec));
  if (!started) return false;
  if (is_extra) {
    backends.TakeExtraAttempt(budget_service_);
    ++extra_attempts_;
  }
  part.open.push_back({started->id, started->server, now, is_canary});
  return true;
}

AttemptSpec QueryRun::AttemptSpecFor(size_t i) {
  AttemptSpec spec;
  spec.request_id = request_id_;
  spec.service = parts_[i].service;
  spec.budget_service = budget_service_;
  spec.median_latency = route_latency_->median;
  spec.overdue_after = route_latency_->hedge_after;
  spec.excluded = parts_[i].may_have_run_on;
  spec.refused_by = parts_[i].refused_by;
  for (const auto& it : parts_[i].open) spec.excluded.push_back(it.server);
  spec.allowed_data_centres = &allowed_data_centres();
  spec.is_head = request_.method == "HEAD";
  spec.not_idempotent = route_->idempotency == Idempotency::kNotIdempotent;
  const auto self = shared_from_this();
  spec.refused_on = parts_[i].refused_on;
  spec.serialize_for = [self, i](const BackendServerId& server) {
    self->parts_[i].may_have_run_on.push_back(server);
    return self->SerializeFor(server);
  };
  spec.names = context_->names;
  spec.on_end = [self, i](AttemptResult result) {
    self->OnAttempt(i, std::move(result));
  };
  if (!context_->quarantine->enabled()) return spec;
  spec.may_send = [self](AttemptId id) {
    return engine::DecideSend(self->SendStateNow(id)) ==
           engine::SendDecision::kSend;
  };
  spec.on_connection_lost = [self, i](const AttemptResult& result) {
    self->OnConnectionLost(i, result);
  };
  return spec;
}

HttpRequest QueryRun::UpstreamRequest() const {
  HttpRequest sent;
  sent.method = request_.method;
  sent.target = request_.target;
  sent.headers = upstream_headers_;
  sent.body = request_.body;
  return sent;
}

std::string QueryRun::SerializeFor(const BackendServerId& server) const {
  const auto& names = *context_->names;
  HttpRequest sent = UpstreamRequest();
  const Millis left =
      Max(deadlines_.deadline - context_->loop->now(), Millis(1));
  sent.headers.push_back(
      {names.deadline, std::to_string(static_cast<int64_t>(left.count))});
  sent.headers.push_back({names.expect_instance, server.text});
  if (account_ != nullptr) {
    sent.headers.push_back({names.account, account_->id.text});
  }
  return ToText(sent);
}

void QueryRun::RecordWarmup(const AttemptResult& result) {
  const auto remaining =
      ParseInteger(FindHeader(result.reply.headers, context_->names->warmup));
  if (!remaining || *remaining < 0) return;
  context_->backends->RecordWarmup(result,
                                   Millis(static_cast<double>(*remaining)));
}

void QueryRun::OnAttempt(size_t i, AttemptResult result) {
  auto& part = parts_[i];
  const bool is_canary =
      std::any_of(part.open.begin(), part.open.end(),
                  [&](auto& it) { return it.id == result.id && it.is_canary; });
  std::erase_if(part.open, [&](auto& it) { return it.id == result.id; });
  if (result.end == AttemptEnd::kWithdrawn) {
    if (!done_ && !part.received) RetryPart(i, false);
    Advance();
    return;
  }
  auto& backends = *context_->backends;
  const bool has_reply = result.end == AttemptEnd::kReply;
  if (has_reply) RecordWarmup(result);
  if (has_reply && !IsRefusal(result) &&
      result.reply.status != kMisdirectedStatus) {
    OnServerSurvived(i, is_canary);
  }
  if (has_reply && IsSuccess(result.reply.status)) {
    backends.RecordReply(result, route_latency_->median);
    engine::AddLatency(route_latency_, result.latency, route_->target);
    if (done_ || part.received) return;
    part.received = true;
    part.reply = std::move(result.reply);
    for (const auto& it : std::exchange(part.open, {})) {
      backends.Abandon(it.id, false);
    }
    Advance();
    return;
  }
  // The budget allows a fan-out about one extra attempt in a hundred parts, so
  // that to it a server that refuses is as bad as one that fails.
  if (IsRefusal(result) && !route_->gather) {
    backends.RecordRefusal(result);
  } else {
    backends.RecordFailure(result);
  }
  if (!done_ && !part.received) OnFailedAttempt(i, result);
  if (!done_) Advance();
}

bool QueryRun::IsRefusal(const AttemptResult& result) const {
  return result.end == AttemptEnd::kReply &&
         !FindHeader(result.reply.headers, context_->names->not_run).empty();
}

void QueryRun::OnFailedAttempt(size_t i, const AttemptResult& result) {
  auto& part = parts_[i];
  bool may_have_run = result.end == AttemptEnd::kBroken;
  if (result.end == AttemptEnd::kReply) {
    const bool misdirected = result.reply.status == kMisdirectedStatus;
    may_have_run = !misdirected && !IsRefusal(result);
    if (misdirected) context_->backends->RecordMisdirected(result);
    if (may_have_run) part.failure = result.reply;
  }
  if (!may_have_run) {
    std::erase(part.may_have_run_on, result.server);
    if (result.end == AttemptEnd::kReply) {
      ++part.refusals;
      part.refused_by.push_back(result.server);
      part.refused_on.push_back(result.channel);
    }
  }
  RetryPart(i, may_have_run);
}

size_t QueryRun::FailedPartCount() const {
  return static_cast<size_t>(std::count_if(parts_.begin(), parts_.end(),
                                           [](auto& it) { return it.failed; }));
}

engine::GatherProgress QueryRun::Progress() const {
  engine::GatherProgress progress;
  for (const auto& it : parts_) {
    if (it.excluded) continue;
    ++progress.shards;
    progress.received += it.received ? 1 : 0;
    progress.failed += (it.failed || it.deferred) && !it.received ? 1 : 0;
  }
  if (shard_indices_.empty()) {
    progress.needed = NeededPartCount();
  } else {
    // What the peer needs, or as many parts as can still arrive.
    progress.needed = std::clamp<size_t>(
        needed_by_peer_, 1,
        std::max<size_t>(progress.shards - progress.failed, 1));
  }
  return progress;
}

void QueryRun::Advance() {
  if (done_ || awaiting_resume_) return;
  ReleaseHeldParts();
  StartDeferredParts();
  RequestRemainders();
  const auto progress = Progress();
  const Millis now = context_->loop->now();
  switch (engine::NextStep(progress, deadlines_, now)) {
    case GatherStep::kAnswer:
      Answer();
      return;
    case GatherStep::kFail:
      // The caller may retry at once: what its retry meets is decided first.
      awaiting_checks_ =
          engine::AwaitsChecks(IsServerCheckPending(), deadlines_, now);
      if (awaiting_checks_) {
        ArmTimer();
        return;
      }
      Fail(FaultOfFailedParts());
      return;
    case GatherStep::kTimedOut:
      if (needed_by_peer_ > 0 && progress.received > 0) {
        Answer();
        return;
      }
      Fail(MayHaveRun() ? QueryFault::kTimeUp : QueryFault::kNoRoom);
      return;
    case GatherStep::kWait:
      ArmTimer();
  }
}

void QueryRun::ArmTimer() {
  if (done_ || awaiting_resume_) return;
  context_->loop->Cancel(timer_);
  const Millis now = context_->loop->now();
  Millis next = Min(deadlines_.deadline, NextHedgeTime());
  if (deadlines_.answer_at > now) next = Min(next, deadlines_.answer_at);
  const bool by_answer_clock = next == deadlines_.answer_at;
  timer_ =
      context_->loop->RunAt(next, [self = shared_from_this(), by_answer_clock] {
        self->timer_ = 0;
        if (self->done_) return;
        // Only answers that waited for this timer measure the timer's lag; an
        // answer completed after it is late because of its parts.
        self->at_answer_timer_ = by_answer_clock;
        self->HedgeParts();
        self->Advance();
        self->at_answer_timer_ = false;
      });
}

}  // namespace hibiscuspick::edge
