#include "hibiscuspick/edge/query_run.h"

#include <algorithm>
#include <utility>

#include "hibiscuspick/engine/fan_out.h"

namespace hibiscuspick::edge {
namespace {

using engine::GatherStep;
using engine::Idempotency;

// A caller that has waited for longer than a connection setup takes is taken to
// be retrying.
constexpr Millis kReturningAfter{30};

// A shard expected to take more than this fraction of the time to the target is
// deferred if the minimum coverage can be reached without it.
constexpr double kDeferShare = 0.6;
constexpr double kNeverDefer = 1e9;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

QueryRun::QueryRun(QueryContext* context,
                   std::shared_ptr<const engine::TrafficConfig> config,
                   const engine::Route* route, engine::RouteLatency* pace,
                   HttpRequest request)
    : context_(context),
      config_(std::move(config)),
      route_(route),
      pace_(pace),
      request_(std::move(request)),
      request_id_(FindHeader(request_.headers, context->names->request_id)),
      began_(context->loop->now()) {
  const auto& names = *context_->names;
  for (auto& it : EndToEnd(request_.headers)) {
    // These headers are set by this instance and never taken from a caller.
    if (SameName(it.name, names.deadline)) continue;
    if (SameName(it.name, names.expect_instance)) continue;
    if (SameName(it.name, names.stamp)) continue;
    forwarded_.push_back(std::move(it));
  }
}

HandedClocks QueryRun::ClocksFor(const QueryContext& context,
                                 const engine::Route& route,
                                 engine::RouteLatency* pace,
                                 const HttpRequest& request) {
  HandedClocks clocks;
  clocks.end_in = route.timeout;
  Millis spent{0};
  const auto header = FindHeader(request.headers, context.names->deadline);
  if (const auto n = WholeNumber(header); n && *n > 0) {
    const Millis said(static_cast<double>(*n));
    spent = engine::TimeAlreadyWaited(pace, said);
    clocks.returning = spent > kReturningAfter;
    clocks.end_in = Min(clocks.end_in, said - context.end_margin);
  }
  const Millis margin = request.on_the_way
                            ? *request.on_the_way + context.own_margin
                            : context.answer_margin;
  clocks.answer_in = route.target - spent - margin;
  return clocks;
}

void QueryRun::ReadClocks() {
  const HandedClocks clocks =
      handed_ ? *handed_ : ClocksFor(*context_, *route_, pace_, request_);
  returning_ = clocks.returning;
  clocks_.deadline = began_ + Min(clocks.end_in, route_->timeout);
  Millis answer_in = clocks.answer_in;
  if (Uses().answer_lag) answer_in = answer_in - context_->answer_lag.typical();
  if (clocks.lags) {
    answer_in = engine::BestAnswerTime(
        *pace_, answer_in + engine::TypicalLag(*clocks.lags), *clocks.lags);
  }
  clocks_.answer_at = began_ + answer_in;
}

void QueryRun::Start(const std::vector<ServiceId>& services, OnDone on_done) {
  on_done_ = std::move(on_done);
  ReadClocks();
  parts_.resize(services.size());
  for (size_t i = 0; i < services.size(); ++i) {
    parts_[i].service = services[i];
  }
  const auto& group = route_->gather ? route_->gather->shards : services;
  budget_of_ = *std::min_element(group.begin(), group.end());
  // A partial query is counted by the instance that owns the query.
  if (places_.empty()) context_->backends->CountRequest(budget_of_);
  if (StartParts()) Check();
}

// Starts the immediate parts, or answers at once if the query is refused.
bool QueryRun::StartParts() {
  std::vector<std::optional<engine::ShardEstimate>> outlooks;
  for (const auto& it : parts_) {
    outlooks.push_back(context_->backends->Outlook(
        it.service, pace_->median, clocks_.answer_at,
        route_->allowed_data_centres));
  }
  const size_t needed = Progress().needed;
  const Millis to_target = clocks_.answer_at - began_;
  const auto admission = engine::Admit(
      outlooks, needed, {to_target, clocks_.deadline - began_, returning_});
  if (Uses().whole_query_refusal && !admission.admitted && places_.empty()) {
    retry_after_ = admission.retry_after;
    refused_by_ = admission.critical_shard;
    Fail(QueryFault::kOverloaded);
    return false;
  }
  behind_ = admission.deprioritized;
  // A peer that forwarded parts needs all of them.
  const bool keeps_back = Uses().kept_back_shards && places_.empty();
  const auto plan = engine::PlanFanOut(outlooks, needed, to_target,
                                       keeps_back ? kDeferShare : kNeverDefer);
  if (!plan.feasible) {
    Fail(QueryFault::kNoServer);
    return false;
  }
  for (const size_t i : plan.unreachable) parts_[i].failed = true;
  for (const size_t i : plan.deferred) parts_[i].deferred = true;
  for (const size_t i : RelayParts(plan.immediate)) StartPart(i);
  return true;
}

void QueryRun::StartPart(size_t i) {
  parts_[i].deferred = false;
  if (!TryPart(i, Extra::kNone)) WaitForRoom(i, false);
}

void QueryRun::WaitForRoom(size_t i, bool extra) {
  Waiting waiting;
  waiting.priority = route_->priority;
  waiting.due = clocks_.answer_at;
  waiting.behind = behind_;
  waiting.key_changed = [self = shared_from_this(), i](const WaitKey& key) {
    self->parts_[i].waiting = key;
  };
  waiting.start = [self = shared_from_this(), i, extra] {
    auto& it = self->parts_[i];
    if (self->done_ || it.in || it.failed) return true;
    if (!self->TryPart(i, extra ? Extra::kNeeded : Extra::kNone)) {
      const auto& backends = *self->context_->backends;
      if (backends.HasServerInReach(it.service,
                                    self->route_->allowed_data_centres)) {
        return false;
      }
      // The last available server was lost while the part waited.
      it.waiting.reset();
      it.failed = true;
      self->Check();
      return true;
    }
    it.waiting.reset();
    self->ArmTimer();
    return true;
  };
  parts_[i].waiting =
      context_->backends->Enqueue(parts_[i].service, std::move(waiting));
}

// Starts one attempt of the part. Returns false if no server takes it or, for
// an extra attempt, the budget is used up.
bool QueryRun::TryPart(size_t i, Extra extra) {
  auto& part = parts_[i];
  auto& backends = *context_->backends;
  const Millis now = context_->loop->now();
  const bool reserves = Uses().hedge_reserve && extra == Extra::kOptional;
  const double reserve = reserves ? engine::kUrgentReserve : 0;
  const bool is_extra = extra != Extra::kNone;
  if (is_extra && !backends.HasExtra(budget_of_, reserve)) return false;
  AttemptOrder order = OrderFor(i);
  order.only_unsuspected = !part.open.empty();
  const auto started = backends.TryStart(std::move(order));
  if (!started) return false;
  if (is_extra) {
    backends.TakeExtra(budget_of_);
    ++extras_;
  }
  part.open.push_back({started->id, started->server, now});
  return true;
}

AttemptOrder QueryRun::OrderFor(size_t i) {
  AttemptOrder order;
  order.service = parts_[i].service;
  order.budget_of = budget_of_;
  order.usual = pace_->median;
  order.overdue_after = pace_->hedge_after;
  order.excluded = parts_[i].ran_on;
  for (const auto& it : parts_[i].open) order.excluded.push_back(it.server);
  order.homes = &route_->allowed_data_centres;
  order.to_head = request_.method == "HEAD";
  order.once = route_->idempotency == Idempotency::kNotIdempotent;
  const auto self = shared_from_this();
  order.text_for = [self, i](const BackendServerId& server) {
    self->parts_[i].ran_on.push_back(server);
    return self->TextFor(server);
  };
  order.is_ours = [self](const HttpReply& reply) {
    return self->IsOurs(reply);
  };
  order.on_end = [self, i](AttemptResult result) {
    self->OnAttempt(i, std::move(result));
  };
  return order;
}

HttpRequest QueryRun::Forwarded() const {
  HttpRequest sent;
  sent.method = request_.method;
  sent.target = request_.target;
  sent.headers = forwarded_;
  sent.body = request_.body;
  return sent;
}

std::string QueryRun::TextFor(const BackendServerId& server) const {
  const auto& names = *context_->names;
  HttpRequest sent = Forwarded();
  const Millis left = Max(clocks_.deadline - context_->loop->now(), Millis(1));
  sent.headers.push_back(
      {names.deadline, std::to_string(static_cast<int64_t>(left.count))});
  sent.headers.push_back({names.expect_instance, server.text});
  return ToText(sent);
}

// A reply with another request's id is a late or duplicate reply to that
// request.
bool QueryRun::IsOurs(const HttpReply& reply) const {
  const auto id = FindHeader(reply.headers, context_->names->request_id);
  return id.empty() || id == request_id_;
}

bool QueryRun::IsGood(const HttpReply& reply) const {
  const auto& names = *context_->names;
  return IsSuccess(reply.status) &&
         !FindHeader(reply.headers, names.stamp).empty() &&
         FindHeader(reply.headers, names.request_id) == request_id_ &&
         FindHeader(reply.headers, "Content-Encoding").empty();
}

void QueryRun::NoteWarmup(const AttemptResult& result) {
  const auto said =
      WholeNumber(FindHeader(result.reply.headers, context_->names->warmup));
  if (!said || *said < 0) return;
  context_->backends->NoteWarmup(result, Millis(static_cast<double>(*said)));
}

void QueryRun::OnAttempt(size_t i, AttemptResult result) {
  auto& part = parts_[i];
  std::erase_if(part.open, [&](auto& it) { return it.id == result.id; });
  auto& backends = *context_->backends;
  const bool whole = result.end == AttemptEnd::kReply;
  if (whole) NoteWarmup(result);
  if (whole && IsGood(result.reply)) {
    backends.NoteReply(result, pace_->median);
    engine::AddLatency(pace_, result.latency, route_->target);
    if (done_ || part.in) return;
    part.in = true;
    part.reply = std::move(result.reply);
    for (const auto& it : std::exchange(part.open, {})) {
      backends.Abandon(it.id, false);
    }
    Check();
    return;
  }
  backends.NoteFailure(result);
  if (!done_ && !part.in) OnFailed(i, result);
  if (!done_) Check();
}

void QueryRun::OnFailed(size_t i, const AttemptResult& result) {
  auto& part = parts_[i];
  const auto& names = *context_->names;
  bool ran = result.end == AttemptEnd::kBroken;
  if (result.end == AttemptEnd::kReply) {
    constexpr int kMisdirected = 421;
    const bool foreign = result.reply.status == kMisdirected;
    ran = !foreign && FindHeader(result.reply.headers, names.not_run).empty();
    if (foreign) context_->backends->NoteForeign(result);
    if (ran) part.failure = result.reply;
  }
  if (!ran) {
    std::erase(part.ran_on, result.server);
    if (result.end == AttemptEnd::kReply) ++part.refusals;
  }
  RetryPart(i, ran);
}

size_t QueryRun::FailedParts() const {
  return static_cast<size_t>(std::count_if(parts_.begin(), parts_.end(),
                                           [](auto& it) { return it.failed; }));
}

engine::GatherProgress QueryRun::Progress() const {
  engine::GatherProgress progress;
  for (const auto& it : parts_) {
    if (it.settled) continue;
    ++progress.shards;
    progress.received += it.in ? 1 : 0;
    progress.failed += (it.failed || it.deferred) && !it.in ? 1 : 0;
  }
  if (places_.empty()) {
    progress.needed = NeededOfAll();
  } else {
    // What the peer needs, or as many parts as can still arrive.
    progress.needed = std::clamp<size_t>(
        wanted_, 1, std::max<size_t>(progress.shards - progress.failed, 1));
  }
  return progress;
}

void QueryRun::Check() {
  if (done_ || resting_) return;
  StartKeptBack();
  AskForRests();
  const auto progress = Progress();
  switch (engine::NextStep(progress, clocks_, context_->loop->now())) {
    case GatherStep::kAnswer:
      Answer();
      return;
    case GatherStep::kFail:
      Fail(MayHaveRun() ? QueryFault::kServersFailed : QueryFault::kNoServer);
      return;
    case GatherStep::kTimedOut:
      if (wanted_ > 0 && progress.received > 0) {
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
  if (done_ || resting_) return;
  context_->loop->Cancel(timer_);
  const Millis now = context_->loop->now();
  Millis next = Min(clocks_.deadline, NextHedge());
  if (clocks_.answer_at > now) next = Min(next, clocks_.answer_at);
  const bool by_answer_clock = next == clocks_.answer_at;
  timer_ =
      context_->loop->At(next, [self = shared_from_this(), by_answer_clock] {
        self->timer_ = 0;
        if (self->done_) return;
        // Only answers that waited for this timer measure the timer's lag; an
        // answer completed after it is late because of its parts.
        self->by_clock_ = by_answer_clock;
        self->HedgeParts();
        self->Check();
        self->by_clock_ = false;
      });
}

}  // namespace hibiscuspick::edge
