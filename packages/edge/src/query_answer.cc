// How a request ends: answer, failure, cancellation.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/edge/request_quarantine.h"
#include "hibiscuspick/engine/refusal.h"

namespace hibiscuspick::edge {
namespace {

// Tolerance for answers sent by the timer of the answer time.
constexpr Millis kAnswerTimeTolerance{5};

}  // namespace

std::string_view FaultName(QueryFault fault) {
  switch (fault) {
    case QueryFault::kNone:
      return "none";
    case QueryFault::kNoServer:
      return "no_server";
    case QueryFault::kShed:
      return "shed";
    case QueryFault::kNoRoom:
      return "no_room";
    case QueryFault::kOverloaded:
      return "overloaded";
    case QueryFault::kServersFailed:
      return "servers_failed";
    case QueryFault::kServersEnded:
      return "servers_ended";
    case QueryFault::kQuarantined:
      return "quarantined";
    case QueryFault::kTimeUp:
      return "time_up";
    case QueryFault::kStopping:
      return "stopping";
  }
  return "unknown";
}

bool QueryRun::MayHaveRun() const {
  // A part that a peer still has may be running there.
  return std::any_of(parts_.begin(), parts_.end(), [](auto& it) {
    return !it.may_have_run_on.empty() || it.relayed;
  });
}

QueryFault QueryRun::FaultOfFailedParts() const {
  const bool stopped =
      engine::DecideSend(SendStateNow()) == engine::SendDecision::kStop;
  if (MayHaveRun()) {
    return stopped ? QueryFault::kServersEnded : QueryFault::kServersFailed;
  }
  if (stopped) return QueryFault::kQuarantined;
  const bool was_refused = std::any_of(
      parts_.begin(), parts_.end(), [](auto& it) { return it.refusals > 0; });
  return was_refused ? QueryFault::kShed : QueryFault::kNoServer;
}

bool QueryRun::HasCertainlyNotRun() const {
  return !MayHaveRun() && std::none_of(parts_.begin(), parts_.end(),
                                       [](auto& it) { return it.relayed; });
}

void QueryRun::Answer() {
  if (route_->gather) {
    Finish(MergedReply(), QueryFault::kNone);
    return;
  }
  HttpReply reply = std::move(parts_[0].reply);
  reply.headers = CallerHeaders(reply.headers);
  Finish(std::move(reply), QueryFault::kNone);
}

HttpReply QueryRun::MergedReply() const {
  const auto& names = *context_->names;
  HttpReply reply;
  reply.status = 200;
  std::string stamps;
  std::vector<std::string_view> bodies(merged_bodies_.begin(),
                                       merged_bodies_.end());
  size_t received = 0;
  for (const auto& it : parts_) {
    if (!it.received || it.excluded) continue;
    ++received;
    if (!stamps.empty()) stamps += ", ";
    stamps += FindHeader(it.reply.headers, names.stamp);
    bodies.push_back(it.reply.body);
  }
  reply.headers.push_back({names.request_id, request_id_});
  reply.headers.push_back({names.part_stamps, std::move(stamps)});
  reply.headers.push_back(
      {names.parts_missing, std::to_string(parts_.size() - received)});
  reply.headers.push_back({"Content-Type", "application/octet-stream"});
  reply.body = engine::MergeTop(bodies, route_->gather->top);
  return reply;
}

HttpReply QueryRun::ErrorReply(int status, QueryFault fault) const {
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back({context_->names->request_id, request_id_});
  reply.headers.push_back({"Content-Type", "application/json"});
  if (status == 503) {
    reply.headers.push_back({"Retry-After", engine::InSeconds(retry_after_)});
  }
  reply.body = R"({"error":")" + std::string(FaultName(fault)) + R"("})";
  return reply;
}

void QueryRun::Fail(QueryFault fault) {
  if (!MayHaveRun()) retry_after_ = RetryAfter(fault);
  // For a plain request the server's own reply is passed to the caller, unless
  // its status would tell the caller that nothing has run.
  if (!route_->gather && parts_[0].failure &&
      fault == QueryFault::kServersFailed &&
      !engine::PromisesNotRun(parts_[0].failure->status)) {
    HttpReply reply = std::move(*parts_[0].failure);
    reply.headers = CallerHeaders(reply.headers);
    Finish(std::move(reply), fault);
    return;
  }
  const bool may_have_run = MayHaveRun();
  const int status = !may_have_run ? 503
                     : fault == QueryFault::kServersFailed ||
                             fault == QueryFault::kServersEnded
                         ? 502
                         : 504;
  Finish(ErrorReply(status, fault), fault);
}

std::string QueryRun::DescribeCapacity() const {
  return fmt::format(
      "capacity: queue wait {:.0f} ms, service time {:.0f} ms, target in "
      "{:.0f} ms, retry after {:.0f} ms",
      refusal_estimate_.queue_wait.count, refusal_estimate_.service_time.count,
      (deadlines_.answer_at - started_at_).count, retry_after_.count);
}

std::string QueryRun::DescribeMissing() const {
  constexpr size_t kMaxNamed = 3;
  std::string text;
  size_t named = 0;
  for (const auto& it : parts_) {
    if (it.received || named == kMaxNamed) continue;
    ++named;
    if (!text.empty()) text += " ";
    text += it.service.text;
    if (!it.may_have_run_on.empty()) {
      const auto& last = it.may_have_run_on.back().text;
      text += "@" + (last.empty() ? "a-peer" : last);
    }
    if (it.queue_key) text += "(queued)";
    if (it.held) text += "(held)";
    if (it.failed) text += "(failed)";
  }
  return text;
}

QueryOutcome QueryRun::OutcomeOf(HttpReply reply, QueryFault fault) const {
  QueryOutcome outcome;
  const auto progress = Progress();
  outcome.reply = std::move(reply);
  outcome.fault = fault;
  outcome.shards = progress.shards;
  outcome.shards_received = progress.received;
  outcome.extra_attempts = extra_attempts_;
  outcome.shards_deferred = static_cast<size_t>(std::count_if(
      parts_.begin(), parts_.end(), [](auto& it) { return it.deferred; }));
  outcome.may_have_run = MayHaveRun();
  outcome.latency = context_->loop->now() - started_at_;
  outcome.deprioritized = deprioritized_;
  outcome.late =
      context_->loop->now() > deadlines_.answer_at + kAnswerTimeTolerance;
  if (outcome.late || fault != QueryFault::kNone) {
    outcome.missing_detail = fault == QueryFault::kOverloaded
                                 ? DescribeCapacity()
                                 : DescribeMissing();
  }
  return outcome;
}

void QueryRun::Finish(HttpReply reply, QueryFault fault) {
  const bool in_time = context_->loop->now() < deadlines_.deadline;
  std::vector<size_t> open_shards;
  if (!shard_indices_.empty() && fault == QueryFault::kNone && in_time) {
    open_shards = OpenShards();
  }
  if (fault == QueryFault::kNone) RecordServed();
  QueryOutcome outcome = OutcomeOf(std::move(reply), fault);
  if (!shard_indices_.empty()) {
    outcome.shard_states =
        ShardStatesNow(open_shards.empty(), fault == QueryFault::kNone);
  }
  outcome.open_shards = std::move(open_shards);
  if (outcome.open_shards.empty()) {
    StopParts(false);
  } else {
    awaiting_resume_ = true;
    context_->loop->Cancel(std::exchange(timer_, 0));
    for (auto& it : parts_) it.excluded = it.excluded || it.received;
  }
  if (const auto on_done = std::exchange(on_done_, nullptr)) on_done(outcome);
  if (at_answer_timer_) {
    engine::AddLag(&context_->answer_lag, SteadyNow() - deadlines_.answer_at);
  }
}

void QueryRun::Cancel() {
  if (done_) return;
  on_done_ = nullptr;
  StopParts(true);
}

void QueryRun::AnswerNow() {
  if (done_) return;
  if (awaiting_resume_) {
    StopParts(false);
    return;
  }
  const auto progress = Progress();
  if (progress.received >= progress.needed) {
    Answer();
  } else {
    Fail(QueryFault::kStopping);
  }
}

void QueryRun::StopParts(bool caller_left) {
  done_ = true;
  context_->loop->Cancel(std::exchange(timer_, 0));
  if (caller_left) {
    for (const auto& cancel : cancel_relays_) cancel();
  }
  cancel_relays_.clear();
  for (auto& part : parts_) {
    if (part.held) ReleasePart(&part);
    if (part.queue_key) {
      context_->backends->RemoveQueued(part.service, *part.queue_key);
      part.queue_key.reset();
    }
    for (const auto& it : std::exchange(part.open, {})) {
      context_->backends->Abandon(it.id, caller_left);
    }
  }
}

}  // namespace hibiscuspick::edge
