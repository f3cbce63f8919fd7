#include "hibiscuspick/standins/platform_standin.h"

#include <chrono>
#include <utility>

#include "http_json.h"

namespace hibiscuspick::standins {
namespace {

// Values up to a megabyte, as the platform promises.
constexpr size_t kMaxValue = 1 << 20;

// How often a waiting call looks whether its caller has gone.
constexpr std::chrono::milliseconds kLookSlice{100};

constexpr uint64_t kMaxWatchMs = 60000;

http::ServerLimits PlatformLimits() {
  http::ServerLimits limits;
  limits.max_body = kMaxValue;
  limits.max_connections = 4096;
  return limits;
}

// The version a write expects, 0 for "must not exist"; nothing if the request
// says neither or not a number.
std::optional<uint64_t> ExpectedVersion(const httplib::Request& request) {
  if (request.get_header_value("If-None-Match") == "*") return 0;
  std::string text = request.get_header_value("If-Match");
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return ParseNumber(text);
}

// The stored text goes out as it is; parsing a megabyte for each reader would
// cost more than all the rest.
std::string ObjectText(const Object& object) {
  return "{\"version\":" + std::to_string(object.version) +
         ",\"value\":" + (object.version == 0 ? "null" : object.value) + "}";
}

std::string ChangesText(const ChangeList& list) {
  std::string text =
      "{\"complete_to\":" + std::to_string(list.complete_to) + ",\"objects\":[";
  for (const Change& it : list.changes) {
    if (text.back() != '[') text += ',';
    text += "{\"name\":" + DumpJson(it.name) +
            ",\"version\":" + std::to_string(it.object.version) +
            ",\"value\":" + it.object.value + "}";
  }
  return text + "]}";
}

}  // namespace

PlatformStandin::PlatformStandin() : server_(PlatformLimits()) {
  AddObjectCalls();
  AddControlCalls();
}

PlatformStandin::~PlatformStandin() { Stop(); }

Result<Done> PlatformStandin::Start(const std::string& ip, uint16_t port) {
  return server_.Start(ip, port);
}

void PlatformStandin::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.Stop();
}

void PlatformStandin::AddObjectCalls() {
  server_.Get("/objects/([^/]+)/(.+)", [this](const auto& in, auto& out) {
    if (Enter(PlatformCall::kGet, out)) HandleGet(in, out);
  });
  server_.Get("/objects/([^/]+)", [this](const auto& in, auto& out) {
    const auto after = NumberParam(in, "after", 0);
    if (!Enter(PlatformCall::kList, out)) return;
    if (!after) return AnswerError(out, 400, "after is not a number");
    const std::lock_guard lock(mutex_);
    Answer(out, 200, ChangesText(ChangesAfter(store_, in.matches[1], *after)));
  });
  server_.Get("/watch/([^/]+)", [this](const auto& in, auto& out) {
    if (Enter(PlatformCall::kWatch, out)) HandleWatch(in, out);
  });
  server_.Put("/objects/([^/]+)/(.+)", [this](const auto& in, auto& out) {
    if (Enter(PlatformCall::kPut, out)) HandlePut(in, out);
  });
  server_.Get("/instances", [this](const auto&, auto& out) {
    if (!Enter(PlatformCall::kInstances, out)) return;
    const std::lock_guard lock(mutex_);
    Answer(out, 200, VisibleInstances(instances_, SteadyNow()));
  });
}

bool PlatformStandin::Enter(PlatformCall call, httplib::Response& response) {
  std::unique_lock lock(mutex_);
  const bool in_rate = CountCall(counts_, faults_, call, SteadyNow());
  if (faults_.outage == Outage::kSilent) {
    WaitWhileSilent(lock);
    http::DropCaller();
    return false;
  }
  if (faults_.outage == Outage::kRefused || !in_rate) {
    ++counts_.refused;
    AnswerError(response, 503, in_rate ? "outage" : "over the rate");
    return false;
  }
  if (faults_.delay > Millis(0)) {
    changed_.wait_for(lock, faults_.delay.ToMicros(),
                      [this] { return stopping_; });
  }
  return true;
}

void PlatformStandin::WaitWhileSilent(std::unique_lock<std::mutex>& lock) {
  while (faults_.outage == Outage::kSilent && !stopping_) {
    changed_.wait_for(lock, kLookSlice);
    if (http::CallerGone()) return;
  }
}

void PlatformStandin::HandleGet(const httplib::Request& request,
                                httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  const auto object = Get(store_, request.matches[1], request.matches[2]);
  if (!object) return AnswerError(response, 404, "no such object");
  Answer(response, 200, ObjectText(*object));
}

void PlatformStandin::HandleWatch(const httplib::Request& request,
                                  httplib::Response& response) {
  const std::string kind = request.matches[1];
  const auto after = NumberParam(request, "after", 0);
  const auto wait_ms = NumberParam(request, "wait_ms", 0);
  if (!after || !wait_ms) {
    return AnswerError(response, 400, "after or wait_ms is not a number");
  }
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(std::min(*wait_ms, kMaxWatchMs));
  std::unique_lock lock(mutex_);
  while (!WatchReady(store_, kind, *after) && !stopping_ &&
         faults_.outage == Outage::kNone && !http::CallerGone()) {
    const auto slice = std::chrono::steady_clock::now() + kLookSlice;
    if (until <= slice) {
      const bool told =
          changed_.wait_until(lock, until) == std::cv_status::no_timeout;
      if (!told) break;
    } else {
      changed_.wait_until(lock, slice);
    }
  }
  // An outage that begins during the wait ends the watch without an answer, as
  // when the platform's server dies.
  if (faults_.outage != Outage::kNone) return http::DropCaller();
  Answer(response, 200, ChangesText(ChangesAfter(store_, kind, *after)));
}

void PlatformStandin::HandlePut(const httplib::Request& request,
                                httplib::Response& response) {
  const auto expected = ExpectedVersion(request);
  if (!expected) {
    return AnswerError(response, 428,
                       "If-Match: <version> or If-None-Match: * is needed");
  }
  const auto value = ParseJson(request.body);
  if (!IsOk(value)) {
    return AnswerError(response, 400, ErrorOf(value).message);
  }
  const std::lock_guard lock(mutex_);
  const auto outcome = Put(store_, request.matches[1], request.matches[2],
                           DumpJson(ValueOf(value)), *expected);
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    ++counts_.conflicts;
    return Answer(response, 412, ObjectText(conflict->current));
  }
  changed_.notify_all();
  if (TakeLostReply(faults_, counts_)) return http::DropCaller();
  Answer(response, 200, Json{{"version", std::get<uint64_t>(outcome)}});
}

void PlatformStandin::SetFaults(const PlatformFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
  changed_.notify_all();
}

PlatformFaults PlatformStandin::faults() {
  const std::lock_guard lock(mutex_);
  return faults_;
}

CallCounts PlatformStandin::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

void PlatformStandin::SetInstanceList(const Json& list) {
  const std::lock_guard lock(mutex_);
  SetInstances(instances_, DumpJson(list), SteadyNow());
}

void PlatformStandin::SetInstanceLag(Millis lag) {
  const std::lock_guard lock(mutex_);
  instances_.lag = lag;
}

uint64_t PlatformStandin::Backup() {
  const std::lock_guard lock(mutex_);
  return TakeBackup(store_);
}

bool PlatformStandin::RestoreTo(uint64_t revision) {
  const std::lock_guard lock(mutex_);
  const bool found = Restore(store_, revision);
  changed_.notify_all();
  return found;
}

}  // namespace hibiscuspick::standins
