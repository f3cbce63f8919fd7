// The work of a backend server stand-in: reading a request, waiting for a slot
// and for the work's time, and the answer, right or wrong.
#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "backend_attempt.h"
#include "hibiscuspick/standins/backend_standin.h"
#include "hibiscuspick/standins/shard_answer.h"
#include "http_json.h"

namespace hibiscuspick::standins {
namespace {

constexpr std::string_view kShardPrefix = "/v1/shards/";
constexpr std::string_view kQuerySuffix = "/query";
constexpr std::string_view kRecordSuffix = "/record";
constexpr std::string_view kAttemptPrefix = "/v1/attempts/";

// How often a silent reply looks whether its caller has gone.
constexpr std::chrono::milliseconds kLookSlice{20};

// The shard of "/v1/shards/<shard><suffix>", empty if it is another path.
std::string_view ShardOf(std::string_view path, std::string_view suffix) {
  if (!path.starts_with(kShardPrefix) || !path.ends_with(suffix)) return {};
  const size_t around = kShardPrefix.size() + suffix.size();
  if (path.size() <= around) return {};
  return path.substr(kShardPrefix.size(), path.size() - around);
}

size_t LanePlace(const std::string& name) {
  const auto lane = ParseLane(name);
  return lane ? LaneIndex(*lane) : kLaneCount;
}

// A wait on a condition variable until an instant of SteadyNow, cut into at
// most a minute so that "never" needs no instant of the library's clock.
void WaitUntil(std::condition_variable& wake,
               std::unique_lock<std::mutex>& lock, Millis until) {
  constexpr Millis kLongest{60000};
  const Millis left = Min(until - SteadyNow(), kLongest);
  if (left > Millis(0)) wake.wait_for(lock, left.ToMicros());
}

// A reply's head and a part of its body, as a server that dies while writing
// leaves them.
std::string CutOffReply(const httplib::Response& response) {
  std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  for (const auto& [name, value] : response.headers) {
    if (name == "Content-Type") continue;
    text.append(name).append(": ").append(value).append("\r\n");
  }
  const size_t size = response.body.size();
  text += "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  return text + response.body.substr(0, size / 2);
}

void AnswerEndlessly(httplib::Response& response) {
  response.body.clear();
  response.headers.erase("Content-Length");
  response.set_chunked_content_provider(
      kJsonType, [](size_t, httplib::DataSink& sink) {
        static const std::string block(16384, ' ');
        return sink.write(block.data(), block.size());
      });
}

void Replace(httplib::Response& response, const char* name,
             const std::string& value) {
  response.headers.erase(name);
  response.set_header(name, value);
}

// Spoils a reply that is right so far. kLate and kSilent are waits and not
// done here.
void Spoil(FaultKind kind, httplib::Response& response) {
  switch (kind) {
    case FaultKind::kLate:
    case FaultKind::kSilent:
      return;
    case FaultKind::kCutOff:
      http::SendRaw(CutOffReply(response));
      return http::DropCaller();
    case FaultKind::kGarbage:
      http::SendRaw("\x01\x02 this is not HTTP\r\n\r\n");
      return http::DropCaller();
    case FaultKind::kClosed:
      return http::DropCaller();
    case FaultKind::kBadJson:
      return Answer(response, 200, std::string("{\"hits\": [{\"id\": "));
    case FaultKind::kEndless:
      return AnswerEndlessly(response);
    case FaultKind::kError:
      return AnswerError(response, 500, "told to fail");
    case FaultKind::kIncomplete: {
      auto body = ParseJson(response.body);
      if (!IsOk(body)) return;
      ValueOf(body)["complete"] = false;
      return Answer(response, 200, ValueOf(body));
    }
    case FaultKind::kWrongAttempt:
      return Replace(response, "X-Attempt-Id", "of-another-attempt");
    case FaultKind::kWrongSnapshot:
      return Replace(response, "X-Snapshot", "999999999");
    case FaultKind::kWrongServer:
      return Replace(response, "X-Server-Id", "another-server");
  }
}

}  // namespace

void BackendStandin::HandleWork(const httplib::Request& request,
                                httplib::Response& response) {
  Entry entry;
  entry.shard = std::string(ShardOf(request.path, kQuerySuffix));
  if (entry.shard.empty()) {
    entry.shard = std::string(ShardOf(request.path, kRecordSuffix));
    entry.is_record = true;
  }
  if (entry.shard.empty()) return AnswerError(response, 404, "no such call");
  entry.attempt_id = request.get_header_value("X-Attempt-Id");
  entry.snapshot = request.get_header_value("X-Snapshot");
  entry.lane = LanePlace(request.get_header_value("X-Lane"));
  entry.record_key = request.get_header_value("X-Record-Key");
  const bool has_key = !entry.is_record || !entry.record_key.empty();
  if (entry.attempt_id.empty() || !has_key) {
    return AnswerError(response, 400, "X-Attempt-Id or X-Record-Key missing");
  }
  const auto version = ParseNumber(entry.snapshot);
  if (!version && !(entry.is_record && entry.snapshot.empty())) {
    return AnswerError(response, 400, "X-Snapshot is not a number");
  }
  entry.version = version.value_or(0);
  const std::string deadline = request.get_header_value("X-Deadline-Ms");
  if (const auto left = ParseNumber(deadline)) {
    entry.deadline = SteadyNow() + Millis(static_cast<double>(*left));
  }
  auto body = ParseJson(request.body);
  if (!IsOk(body) || !ValueOf(body).is_object()) {
    return AnswerError(response, 400, "the body is not a JSON object");
  }
  entry.body = std::move(ValueOf(body));
  RunWork(entry, response);
}

void BackendStandin::RunWork(const Entry& entry, httplib::Response& response) {
  std::unique_lock lock(mutex_);
  ++stats_.arrived;
  if (settings_.draining) {
    ++stats_.arrived_draining;
    stats_.last_arrival_after_drain = SteadyNow() - drained_at_;
  }
  Mark(entry, response);
  const auto& held = settings_.held;
  if (!entry.snapshot.empty() &&
      std::find(held.begin(), held.end(), entry.version) == held.end()) {
    ++stats_.version_not_held;
    return Answer(response, 409, Json{{"held", held}});
  }
  const Ticket ticket = ++last_ticket_;
  Attempt attempt;
  attempt.lane = entry.lane;
  attempt.record_key = entry.record_key;
  const Admission admission =
      settings_.shedding ? Admission::kShed : Admit(slots_, ticket);
  if (admission == Admission::kShed) {
    ++stats_.shed;
    response.set_header("X-Not-Run", "true");
    return AnswerError(response, 503, "shed");
  }
  attempts_[ticket] = &attempt;
  if (!by_attempt_id_.emplace(entry.attempt_id, ticket).second) {
    ++stats_.repeated_attempts;
  }
  if (admission == Admission::kRunning) StartRunning(ticket);
  stats_.running_most = std::max(stats_.running_most, slots_.running.size());
  stats_.queued_most = std::max(stats_.queued_most, slots_.queue.size());
  while (!stopping_ && attempt.state != Attempt::State::kCancelled) {
    const Millis until = Min(attempt.done_at, entry.deadline);
    if (until <= SteadyNow()) break;
    WaitUntil(attempt.wake, lock, until);
  }
  LeaveSlots(ticket);
  attempts_.erase(ticket);
  const auto named = by_attempt_id_.find(entry.attempt_id);
  if (named != by_attempt_id_.end() && named->second == ticket) {
    by_attempt_id_.erase(named);
  }
  if (stopping_) return http::DropCaller();
  if (attempt.state == Attempt::State::kCancelled) {
    return AnswerError(response, 410, "cancelled");
  }
  if (attempt.done_at > SteadyNow()) {
    ++stats_.expired;
    return AnswerError(response, 504, "the deadline has passed");
  }
  const auto fault = TakeFault(settings_.faults, entry.shard, random_);
  if (fault) ++stats_.faults;
  if (fault && fault->kind == FaultKind::kLate) {
    stopped_.wait_for(lock, fault->delay.ToMicros(),
                      [this] { return stopping_; });
  }
  while (fault && fault->kind == FaultKind::kSilent && !stopping_ &&
         !http::CallerGone()) {
    stopped_.wait_for(lock, kLookSlice);
  }
  const uint64_t documents = settings_.documents;
  lock.unlock();
  AnswerWork(entry, attempt, documents, response);
  if (fault) Spoil(fault->kind, response);
}

void BackendStandin::StartRunning(Ticket ticket) {
  Attempt& attempt = *attempts_.at(ticket);
  const Millis now = SteadyNow();
  attempt.state = Attempt::State::kRunning;
  attempt.done_at =
      now + DrawServiceTime(settings_.service_time, now - started_at_, random_);
  ++stats_.executed[attempt.lane];
  if (!attempt.record_key.empty()) {
    attempt.execution = ++stats_.records[attempt.record_key];
  }
  attempt.wake.notify_all();
}

void BackendStandin::LeaveSlots(Ticket ticket) {
  const auto next = Leave(slots_, ticket);
  if (next && !stopping_) StartRunning(*next);
}

void BackendStandin::Mark(const Entry& entry, httplib::Response& response) {
  response.set_header("X-Attempt-Id", entry.attempt_id);
  response.set_header("X-Snapshot", entry.snapshot);
  response.set_header("X-Server-Id", id_);
  if (settings_.tells_incarnation) {
    response.set_header("X-Server-Incarnation", std::to_string(incarnation_));
  }
  if (settings_.draining) response.set_header("X-Draining", "true");
}

void BackendStandin::AnswerWork(const Entry& entry, const Attempt& attempt,
                                uint64_t documents,
                                httplib::Response& response) {
  if (entry.is_record) {
    return Answer(response, 200,
                  Json{{"key", entry.record_key},
                       {"execution", attempt.execution},
                       {"server", id_}});
  }
  const auto query = entry.body.find("query");
  const std::string mark =
      query == entry.body.end() ? "" : QueryMark(DumpJson(*query));
  ShardQuestion question;
  question.shard = entry.shard;
  question.version = entry.version;
  const auto limit = entry.body.find("limit");
  if (limit != entry.body.end() && limit->is_number_unsigned()) {
    question.limit = limit->get<uint32_t>();
  }
  question.documents = documents;
  question.mark = mark;
  Answer(response, 200, AnswerText(question, true));
}

void BackendStandin::HandleCancel(const httplib::Request& request,
                                  httplib::Response& response) {
  if (!request.path.starts_with(kAttemptPrefix)) {
    return AnswerError(response, 404, "no such call");
  }
  const std::string id = request.path.substr(kAttemptPrefix.size());
  const std::lock_guard lock(mutex_);
  const auto it = by_attempt_id_.find(id);
  if (it == by_attempt_id_.end()) {
    return AnswerError(response, 404, "not running and not waiting here");
  }
  const Ticket ticket = it->second;
  Attempt& attempt = *attempts_.at(ticket);
  const bool was_running = attempt.state == Attempt::State::kRunning;
  if (attempt.state != Attempt::State::kCancelled) {
    ++(was_running ? stats_.cancelled_running : stats_.cancelled_queued);
  }
  attempt.state = Attempt::State::kCancelled;
  attempt.wake.notify_all();
  // Free for the next at once, without waiting for the attempt's own thread.
  LeaveSlots(ticket);
  Answer(response, 200,
         Json{{"cancelled", true}, {"was_running", was_running}});
}

}  // namespace hibiscuspick::standins
