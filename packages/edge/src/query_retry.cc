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
constexpr int kMostRefusals = 3;

}  // namespace

void QueryRun::RetryPart(size_t i, bool ran) {
  auto& part = parts_[i];
  if (!part.open.empty() || part.waiting) return;
  const bool may_repeat =
      !ran || route_->idempotency == engine::Idempotency::kIdempotent;
  if (!may_repeat || !HasAttemptLeft(part) || part.refusals > kMostRefusals) {
    part.failed = true;
    return;
  }
  // A request that was never sent costs the servers nothing and is no extra
  // attempt.
  const bool extra = ran || part.refusals > 0;
  const bool needed =
      !Uses().needed_retries ||
      engine::NeedsRetry(parts_.size(), FailedParts(), NeededOfAll());
  const Extra kind = !extra   ? Extra::kNone
                     : needed ? Extra::kNeeded
                              : Extra::kOptional;
  if (TryPart(i, kind)) return;
  auto& backends = *context_->backends;
  if (!backends.HasServerInReach(part.service, route_->allowed_data_centres) ||
      kind == Extra::kOptional ||
      (extra && !backends.HasExtra(budget_of_, 0))) {
    part.failed = true;
    return;
  }
  WaitForRoom(i, extra);
}

bool QueryRun::MayHedge(const Part& part) const {
  return Uses().hedging &&
         route_->idempotency == engine::Idempotency::kIdempotent &&
         route_->attempts > 1 && part.open.size() == 1 && HasAttemptLeft(part);
}

bool QueryRun::HasAttemptLeft(const Part& part) const {
  return part.ran_on.size() < static_cast<size_t>(route_->attempts);
}

// Number of parts needed, of the parts of this query; a partial query for a
// peer has only some of the route's shards.
size_t QueryRun::NeededOfAll() const {
  if (!route_->gather) return 1;
  const double share = route_->gather->min_coverage;
  return places_.empty() ? engine::PartsNeeded(share, parts_.size())
                         : engine::PartsNeededOfSubset(share, parts_.size());
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
    view.sent_at = part.open.empty() ? kNever : part.open[0].since;
    view.deferred = part.deferred;
    view.may_hedge = MayHedge(part);
    missing.push_back(view);
  }
  const auto in = static_cast<size_t>(std::count_if(
      parts_.begin(), parts_.end(), [](auto& it) { return it.in; }));
  const auto plan =
      engine::PlanHedges(std::move(missing), in, NeededOfAll(),
                         context_->loop->now() - pace_->hedge_after);
  for (const size_t i : plan.start_deferred) StartPart(i);
  for (const size_t i : plan.urgent) TryPart(i, Extra::kNeeded);
  for (const size_t i : plan.optional) TryPart(i, Extra::kOptional);
}

Millis QueryRun::NextHedge() const {
  Millis next = kNever;
  const Millis now = context_->loop->now();
  for (const auto& part : parts_) {
    if (part.IsOver() || !MayHedge(part)) continue;
    // A hedge that is due but found no server or no budget is tried again after
    // a quarter of the hedge delay.
    Millis at = part.open[0].since + pace_->hedge_after;
    if (at <= now) at = now + Max(pace_->hedge_after * 0.25, Millis(2));
    next = Min(next, at);
  }
  return next;
}

// Queries deferred shards once they are needed for the minimum coverage: other
// parts have failed, or the target has passed.
void QueryRun::StartKeptBack() {
  const auto progress = Progress();
  size_t asked = 0;
  for (const auto& it : parts_) asked += !it.failed && !it.deferred ? 1 : 0;
  const bool late = context_->loop->now() >= clocks_.answer_at;
  for (size_t i = 0; i < parts_.size(); ++i) {
    if (!parts_[i].deferred) continue;
    if (asked >= progress.needed &&
        !(late && progress.received < progress.needed)) {
      continue;
    }
    StartPart(i);
    ++asked;
  }
}

}  // namespace hibiscuspick::edge
