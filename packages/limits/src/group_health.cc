#include <algorithm>
#include <cmath>

#include "group_internal.h"

namespace hibiscuspick::limits::internal {
namespace {

// An attempt that times out counts as a failure of its server only if it ran
// longer than this quantile of the lane's latency. Otherwise the deadline was
// just short.
constexpr double kSlowQuantile = 0.99;

bool MayEjectOneMore(const GroupState& state) {
  int servers = 0;
  int ejected = 0;
  for (const auto& it : state.servers) {
    if (it.removed) continue;
    ++servers;
    if (it.ejected) ++ejected;
  }
  // A network fault at this instance makes every server look failed. Without
  // the cap all of them would be ejected and the service would be unavailable.
  const double max_ejected =
      std::floor(servers * state.policy.ejection.max_share);
  return ejected + 1 <= static_cast<int>(max_ejected);
}

void SetServerTimer(const EventContext& ctx, uint32_t index, Millis at) {
  ctx.state->timers.insert({at, TimerKind::kServer, index});
}

void EjectServer(const EventContext& ctx, uint32_t index, Code code) {
  GroupState& state = *ctx.state;
  ServerState& server = state.servers[index];
  Eject(&server, state.policy.ejection, ctx.now, ctx.random);
  ++state.counters.ejections;
  SetServerTimer(ctx, index, server.ejected_until);
  Decision decision;
  decision.kind = DecisionKind::kEject;
  decision.server = index;
  decision.code = code;
  ctx.actions->emplace_back(decision);
}

void BackOffServer(const EventContext& ctx, uint32_t index) {
  ServerState& server = ctx.state->servers[index];
  const double fraction = 0.5 + 0.5 * ctx.random->Fraction();
  server.backoff_until = ctx.now + ctx.state->policy.retry.backoff * fraction;
  SetServerTimer(ctx, index, server.backoff_until);
}

void RecordFailure(const EventContext& ctx, uint32_t index, Code code) {
  GroupState& state = *ctx.state;
  ServerState& server = state.servers[index];
  ++server.consecutive_failures;
  if (server.ejected) {
    EjectServer(ctx, index, code);
    return;
  }
  if (server.consecutive_failures < state.policy.ejection.failures) return;
  if (MayEjectOneMore(state)) EjectServer(ctx, index, code);
}

void RecordSuccess(const EventContext& ctx, uint32_t index) {
  ServerState& server = ctx.state->servers[index];
  server.consecutive_failures = 0;
  if (server.ejected) {
    server.ejected = false;
    server.slow_start_began = ctx.now;
    Decision decision;
    decision.kind = DecisionKind::kRestore;
    decision.server = index;
    ctx.actions->emplace_back(decision);
    return;
  }
  const Millis healthy_since = server.slow_start_began;
  if (ctx.now - healthy_since > ctx.state->policy.ejection.max_duration) {
    server.ejections = 0;
  }
}

}  // namespace

void RecordResult(const EventContext& ctx, uint32_t index, Code code) {
  switch (code) {
    case Code::kOk:
    case Code::kVersionNotHeld:
    case Code::kRecordFailed:
      RecordSuccess(ctx, index);
      return;
    case Code::kCancelled:
    case Code::kDeadlineExceeded:
      // Already handled by RecordAbandoned.
      return;
    case Code::kShed:
      ++ctx.state->counters.sheds;
      BackOffServer(ctx, index);
      return;
    case Code::kConnectFailed:
      BackOffServer(ctx, index);
      RecordFailure(ctx, index, code);
      return;
    default:
      RecordFailure(ctx, index, code);
      return;
  }
}

void RecordAbandoned(const EventContext& ctx, const AttemptState& attempt) {
  GroupState& state = *ctx.state;
  ServerState& server = state.servers[attempt.server];
  const Millis elapsed = ctx.now - attempt.sent_at;
  LatencySketch* sketch = &state.latency[LaneIndex(attempt.lane)];
  const bool known = sketch->total >= kMinSamples;
  // The elapsed time is a lower bound of the latency. Without these samples the
  // slow attempts that lose to their hedges would be missing from the tail of
  // the distribution, and hedges would start earlier and earlier.
  if (known && elapsed >= Quantile(*sketch, state.policy.hedge.quantile)) {
    AddSample(sketch, elapsed);
  }
  if (elapsed > server.latency) RecordLatency(&server, elapsed, ctx.now);
  const bool at_deadline =
      ctx.now + state.policy.slot_grace >= attempt.deadline;
  if (!at_deadline) return;
  if (known && elapsed < Quantile(*sketch, kSlowQuantile)) return;
  RecordFailure(ctx, attempt.server, Code::kDeadlineExceeded);
}

}  // namespace hibiscuspick::limits::internal
