// Second attempts of a query: retries, hedges and deferred shards.
#include <algorithm>
#include <utility>
#include <vector>

#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/engine/fan_out.h"

namespace hibiscuspick::edge {
namespace {

// A part fails after this many refusals by servers: each costs budget and shows
// that the service is full.
constexpr int kMaxRefusals = 3;

}  // namespace

void QueryRun::RetryPart(size_t i, bool may_have_run) {
  auto& part = parts_[i];
  if (!part.open.empty() || part.queue_key || part.held) return;
  const bool may_repeat =
      !may_have_run || route_->idempotency == engine::Idempotency::kIdempotent;
  if (!may_repeat || !HasAttemptLeft(part) || part.refusals > kMaxRefusals) {
    part.failed = true;
    return;
  }
  if (!MaySend(i, may_have_run)) return;
  // A request that was never sent costs the servers nothing and is no extra
  // attempt.
  const bool is_extra = may_have_run || part.refusals > 0;
  const bool is_urgent =
      !mechanisms().urgent_retries_only ||
      engine::NeedsRetry(parts_.size(), FailedPartCount(), NeededPartCount());
  const ExtraAttempt kind = !is_extra   ? ExtraAttempt::kNone
                            : is_urgent ? ExtraAttempt::kUrgent
                                        : ExtraAttempt::kOptional;
  if (TryStartPart(i, kind)) return;
  if (kind == ExtraAttempt::kOptional || !MayWait(part, is_extra)) {
    part.failed = true;
    return;
  }
  EnqueuePart(i, is_extra);
}

// Whether a server can still take the part. A part that waited for a server on
// which it may already have run, or for budget, was held until the deadline and
// kept the parts behind it in the queue from starting.
bool QueryRun::MayWait(const Part& part, bool is_extra) const {
  auto& backends = *context_->backends;
  return backends.HasAvailableServer(part.service, allowed_data_centres(),
                                     part.may_have_run_on) &&
         (!is_extra || backends.HasExtraAttempt(budget_service_, 0));
}

bool QueryRun::MayHedge(const Part& part) const {
  return mechanisms().hedging &&
         route_->idempotency == engine::Idempotency::kIdempotent &&
         route_->attempts > 1 && part.open.size() == 1 && HasAttemptLeft(part);
}

bool QueryRun::HasAttemptLeft(const Part& part) const {
  return part.may_have_run_on.size() < static_cast<size_t>(route_->attempts);
}

// Number of parts needed, of the parts of this query; a partial query for a
// peer has only some of the route's shards.
size_t QueryRun::NeededPartCount() const {
  if (!route_->gather) return 1;
  const double min_coverage = route_->gather->min_coverage;
  return shard_indices_.empty()
             ? engine::PartsNeeded(min_coverage, parts_.size())
             : engine::PartsNeededOfSubset(min_coverage, parts_.size());
}

// Handles late parts: queries deferred shards in their place and, as the budget
// allows, a second server for the late ones.
void QueryRun::HedgeParts() {
  std::vector<engine::PendingPart> missing;
  for (size_t i = 0; i < parts_.size(); ++i) {
    const auto& part = parts_[i];
    if (part.IsOver()) continue;
    engine::PendingPart view;
    view.index = i;
    // The relay that queries it also hedges it.
    view.open_attempts = part.relayed ? 0 : static_cast<int>(part.open.size());
    view.sent_at = part.open.empty() ? kNever : part.open[0].started_at;
    view.deferred = part.deferred;
    view.may_hedge = MayHedge(part);
    missing.push_back(view);
  }
  const auto received = static_cast<size_t>(std::count_if(
      parts_.begin(), parts_.end(), [](auto& it) { return it.received; }));
  const auto plan =
      engine::PlanHedges(std::move(missing), received, NeededPartCount(),
                         context_->loop->now() - route_latency_->hedge_after);
  for (const size_t i : plan.start_deferred) StartPart(i);
  for (const size_t i : plan.urgent) {
    if (MayHedgeNow()) TryStartPart(i, ExtraAttempt::kUrgent);
  }
  for (const size_t i : plan.optional) {
    if (MayHedgeNow()) TryStartPart(i, ExtraAttempt::kOptional);
  }
}

Millis QueryRun::NextHedgeTime() const {
  Millis next_time = kNever;
  const Millis now = context_->loop->now();
  bool is_held = awaiting_checks_;
  for (const auto& part : parts_) {
    is_held = is_held || (part.held && !part.IsOver());
    if (part.IsOver() || !MayHedge(part)) continue;
    // A hedge that is due but found no server or no budget is tried again after
    // a quarter of the hedge delay.
    Millis at = part.open[0].started_at + route_latency_->hedge_after;
    if (at <= now) {
      at = now + Max(route_latency_->hedge_after * 0.25, Millis(2));
    }
    next_time = Min(next_time, at);
  }
  // Attempts that have become late no longer hold back others.
  if (is_held) next_time = Min(next_time, now + route_latency_->hedge_after);
  return next_time;
}

// Queries deferred shards once they are needed for the minimum coverage: other
// parts have failed, or the target has passed.
void QueryRun::StartDeferredParts() {
  const auto progress = Progress();
  size_t requested = 0;
  for (const auto& it : parts_) requested += !it.failed && !it.deferred ? 1 : 0;
  const bool past_target = context_->loop->now() >= deadlines_.answer_at;
  for (size_t i = 0; i < parts_.size(); ++i) {
    if (!parts_[i].deferred) continue;
    if (requested >= progress.needed &&
        !(past_target && progress.received < progress.needed)) {
      continue;
    }
    StartPart(i);
    ++requested;
  }
}

}  // namespace hibiscuspick::edge
