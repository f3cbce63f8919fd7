// How a request ends: answer, failure, cancellation.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_run.h"

namespace hibiscuspick::edge {
namespace {

constexpr double kSecond = 1000;

// Tolerance for answers sent by the timer of the answer time.
constexpr Millis kClockSlack{5};

// Retry-After of a data centre that is cut off. It cannot serve callers until
// the load balancer has moved them elsewhere, which takes two health checks one
// second apart. Callers told to return after 50 ms were refused again and gave
// up.
constexpr Millis kBalancerNotices{2000};

// Retry-After while evacuated: an operator ends an evacuation, which takes
// seconds at least.
constexpr Millis kEvacuationLasts{2000};

}  // namespace

std::string_view FaultName(QueryFault fault) {
  switch (fault) {
    case QueryFault::kNone:
      return "none";
    case QueryFault::kNoServer:
      return "no_server";
    case QueryFault::kNoRoom:
      return "no_room";
    case QueryFault::kOverloaded:
      return "overloaded";
    case QueryFault::kServersFailed:
      return "servers_failed";
    case QueryFault::kTimeUp:
      return "time_up";
    case QueryFault::kStopping:
      return "stopping";
  }
  return "unknown";
}

bool QueryRun::MayHaveRun() const {
  return std::any_of(parts_.begin(), parts_.end(),
                     [](auto& it) { return !it.ran_on.empty(); });
}

void QueryRun::Answer() {
  if (route_->gather) {
    Finish(GatherReply(), QueryFault::kNone);
    return;
  }
  HttpReply reply = std::move(parts_[0].reply);
  reply.headers = EndToEnd(reply.headers);
  Finish(std::move(reply), QueryFault::kNone);
}

HttpReply QueryRun::GatherReply() const {
  const auto& names = *context_->names;
  HttpReply reply;
  reply.status = 200;
  std::string stamps;
  std::vector<std::string_view> bodies(merged_.begin(), merged_.end());
  std::vector<size_t> places;
  size_t in = 0;
  for (size_t i = 0; i < parts_.size(); ++i) {
    const auto& it = parts_[i];
    if (!it.in || it.settled) continue;
    ++in;
    if (!stamps.empty()) stamps += ", ";
    stamps += FindHeader(it.reply.headers, names.stamp);
    bodies.push_back(it.reply.body);
    if (!places_.empty()) places.push_back(places_[i]);
  }
  reply.headers.push_back({names.request_id, request_id_});
  reply.headers.push_back({names.part_stamps, std::move(stamps)});
  reply.headers.push_back(
      {names.parts_missing, std::to_string(parts_.size() - in)});
  if (!places_.empty()) {
    reply.headers.push_back({std::string(kShardsInHeader), JoinPlaces(places)});
  }
  reply.headers.push_back({"Content-Type", "application/octet-stream"});
  reply.body = engine::MergeTop(bodies, route_->gather->top);
  return reply;
}

HttpReply QueryRun::OwnReply(int status, QueryFault fault) const {
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back({context_->names->request_id, request_id_});
  reply.headers.push_back({"Content-Type", "application/json"});
  if (status == 503) {
    reply.headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", retry_after_.count / kSecond)});
  }
  reply.body = R"({"error":")" + std::string(FaultName(fault)) + R"("})";
  return reply;
}

// Retry-After when no server was available.
Millis QueryRun::BackAfterNoServer() const {
  const auto& backends = *context_->backends;
  if (backends.IsCutOff()) return kBalancerNotices;
  const bool evacuated =
      std::any_of(parts_.begin(), parts_.end(),
                  [&](auto& it) { return backends.IsEvacuated(it.service); });
  return evacuated ? kEvacuationLasts : backends.policy().probe_interval;
}

void QueryRun::Fail(QueryFault fault) {
  if (fault == QueryFault::kNoServer) retry_after_ = BackAfterNoServer();
  // For a plain request the server's own reply is passed to the caller,
  // whatever its status.
  if (!route_->gather && parts_[0].failure &&
      fault == QueryFault::kServersFailed) {
    HttpReply reply = std::move(*parts_[0].failure);
    reply.headers = EndToEnd(reply.headers);
    Finish(std::move(reply), fault);
    return;
  }
  const bool ran = MayHaveRun();
  const int status = !ran                                  ? 503
                     : fault == QueryFault::kServersFailed ? 502
                                                           : 504;
  Finish(OwnReply(status, fault), fault);
}

std::string QueryRun::RefusalText() const {
  return fmt::format(
      "capacity: queue wait {:.0f} ms, service time {:.0f} ms, target in "
      "{:.0f} ms",
      refused_by_.queue_wait.count, refused_by_.service_time.count,
      (clocks_.answer_at - began_).count);
}

std::string QueryRun::LackingText() const {
  constexpr size_t kMostNamed = 3;
  std::string text;
  size_t named = 0;
  for (const auto& it : parts_) {
    if (it.in || named == kMostNamed) continue;
    ++named;
    if (!text.empty()) text += " ";
    text += it.service.text;
    if (!it.ran_on.empty()) {
      const auto& last = it.ran_on.back().text;
      text += "@" + (last.empty() ? "a-peer" : last);
    }
    if (it.waiting) text += "(queued)";
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
  outcome.shards_in = progress.received;
  outcome.extras = extras_;
  outcome.kept_back = static_cast<size_t>(std::count_if(
      parts_.begin(), parts_.end(), [](auto& it) { return it.deferred; }));
  outcome.ran = MayHaveRun();
  outcome.took = context_->loop->now() - began_;
  outcome.behind = behind_;
  outcome.late = context_->loop->now() > clocks_.answer_at + kClockSlack;
  if (outcome.late || fault != QueryFault::kNone) {
    outcome.lacking =
        fault == QueryFault::kOverloaded ? RefusalText() : LackingText();
  }
  return outcome;
}

void QueryRun::Finish(HttpReply reply, QueryFault fault) {
  if (!places_.empty()) {
    reply.headers.push_back(
        {std::string(kShardsSpentHeader), JoinPlaces(SpentPlaces())});
  }
  QueryOutcome outcome = OutcomeOf(std::move(reply), fault);
  const bool in_time = context_->loop->now() < clocks_.deadline;
  if (!places_.empty() && fault == QueryFault::kNone && in_time) {
    outcome.open = OpenPlaces();
  }
  if (outcome.open.empty()) {
    StopParts(false);
  } else {
    resting_ = true;
    context_->loop->Cancel(std::exchange(timer_, 0));
    for (auto& it : parts_) it.settled = it.settled || it.in;
  }
  if (const auto on_done = std::exchange(on_done_, nullptr)) on_done(outcome);
  if (by_clock_) {
    engine::AddLag(&context_->answer_lag, SteadyNow() - clocks_.answer_at);
  }
}

void QueryRun::Cancel() {
  if (done_) return;
  on_done_ = nullptr;
  StopParts(true);
}

void QueryRun::GiveUp() {
  if (done_) return;
  if (resting_) {
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
    for (const auto& give_up : relays_) give_up();
  }
  relays_.clear();
  for (auto& part : parts_) {
    if (part.waiting) {
      context_->backends->Withdraw(part.service, *part.waiting);
      part.waiting.reset();
    }
    for (const auto& it : std::exchange(part.open, {})) {
      context_->backends->Abandon(it.id, caller_left);
    }
  }
}

}  // namespace hibiscuspick::edge
