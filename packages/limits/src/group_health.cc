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
  const double most = std::floor(servers * state.policy.ejection.max_share);
  return ejected + 1 <= static_cast<int>(most);
}

void SetServerTimer(const Step& step, uint32_t index, Millis at) {
  step.state->timers.insert({at, TimerKind::kServer, index});
}

void EjectServer(const Step& step, uint32_t index, Code code) {
  GroupState& state = *step.state;
  ServerState& server = state.servers[index];
  Eject(&server, state.policy.ejection, step.now, step.random);
  ++state.counters.ejections;
  SetServerTimer(step, index, server.ejected_until);
  Decision decision;
  decision.kind = DecisionKind::kEject;
  decision.server = index;
  decision.code = code;
  step.actions->emplace_back(decision);
}

void PauseServer(const Step& step, uint32_t index) {
  ServerState& server = step.state->servers[index];
  const double part = 0.5 + 0.5 * step.random->Fraction();
  server.paused_until = step.now + step.state->policy.retry.pause * part;
  SetServerTimer(step, index, server.paused_until);
}

void NoteFailure(const Step& step, uint32_t index, Code code) {
  GroupState& state = *step.state;
  ServerState& server = state.servers[index];
  ++server.failures_in_row;
  if (server.ejected) {
    EjectServer(step, index, code);
    return;
  }
  if (server.failures_in_row < state.policy.ejection.failures) return;
  if (MayEjectOneMore(state)) EjectServer(step, index, code);
}

void NoteAlive(const Step& step, uint32_t index) {
  ServerState& server = step.state->servers[index];
  server.failures_in_row = 0;
  if (server.ejected) {
    server.ejected = false;
    server.cold_since = step.now;
    Decision decision;
    decision.kind = DecisionKind::kRestore;
    decision.server = index;
    step.actions->emplace_back(decision);
    return;
  }
  const Millis good_since = server.cold_since;
  if (step.now - good_since > step.state->policy.ejection.max_span) {
    server.ejections = 0;
  }
}

}  // namespace

void NoteResult(const Step& step, uint32_t index, Code code) {
  switch (code) {
    case Code::kOk:
    case Code::kVersionNotHeld:
    case Code::kRecordFailed:
      NoteAlive(step, index);
      return;
    case Code::kCancelled:
    case Code::kDeadlineExceeded:
      // Already handled by RecordAbandoned.
      return;
    case Code::kShed:
      ++step.state->counters.sheds;
      PauseServer(step, index);
      return;
    case Code::kConnectFailed:
      PauseServer(step, index);
      NoteFailure(step, index, code);
      return;
    default:
      NoteFailure(step, index, code);
      return;
  }
}

void NoteAbandoned(const Step& step, const AttemptState& attempt) {
  GroupState& state = *step.state;
  ServerState& server = state.servers[attempt.server];
  const Millis elapsed = step.now - attempt.handed_at;
  LatencySketch* sketch = &state.latency[LaneIndex(attempt.lane)];
  const bool known = sketch->total >= kEnoughSamples;
  // The elapsed time is a lower bound of the latency. Without these samples the
  // slow attempts that lose to their hedges would be missing from the tail of
  // the distribution, and hedges would start earlier and earlier.
  if (known && elapsed >= Quantile(*sketch, state.policy.hedge.quantile)) {
    AddSample(sketch, elapsed);
  }
  if (elapsed > server.latency) RecordLatency(&server, elapsed, step.now);
  const bool at_deadline =
      step.now + state.policy.slot_grace >= attempt.deadline;
  if (!at_deadline) return;
  if (known && elapsed < Quantile(*sketch, kSlowQuantile)) return;
  NoteFailure(step, attempt.server, Code::kDeadlineExceeded);
}

}  // namespace hibiscuspick::limits::internal
