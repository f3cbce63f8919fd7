#include "hibiscuspick/platform/watch_loop.h"

#include <algorithm>
#include <utility>

namespace hibiscuspick::platform {

settings::ConfigDelta ToDelta(Revision after, const Changes& changes) {
  settings::ConfigDelta delta{after, changes.complete_to, {}};
  for (const auto& it : changes.objects) {
    delta.objects.push_back({it.name, it.version, DumpJson(it.value)});
  }
  return delta;
}

WatchLoop::WatchLoop(Calls calls, WatchOptions options, uint64_t seed,
                     RevisionReader complete_to, Sink sink,
                     const RevisionReader& newest)
    : calls_(std::move(calls)),
      options_(options),
      complete_to_(std::move(complete_to)),
      newest_(newest ? newest : complete_to_),
      sink_(std::move(sink)),
      random_(seed) {
  thread_ = std::thread([this] { Run(); });
}

WatchLoop::~WatchLoop() { Stop(); }

void WatchLoop::SetWatching(bool watching) {
  const std::lock_guard lock(mutex_);
  platform::SetWatching(&state_, watching, options_, SteadyNow(), &random_);
  wake_.notify_all();
}

void WatchLoop::RequestFullList() {
  const std::lock_guard lock(mutex_);
  state_.full_list_requested = true;
  wake_.notify_all();
}

void WatchLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (calls_.close) calls_.close();
  if (thread_.joinable()) thread_.join();
}

void WatchLoop::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const Millis now = SteadyNow();
    // `seen` may be ahead while the control thread applies the last reply.
    state_.seen = std::max(state_.seen, complete_to_());
    const WatchAction action = NextAction(state_, now);
    if (action == WatchAction::kWait) {
      wake_.wait_for(lock, (NextCheckTime(state_, now) - now).ToMicros());
      continue;
    }
    const Request request{action, state_.seen,
                          std::max(state_.seen, newest_())};
    lock.unlock();
    const auto result = SendRequest(request);
    lock.lock();
    RecordOutcome(request, result);
    if (stopping_) return;
    lock.unlock();
    sink_(result);
    lock.lock();
  }
}

Result<WatchResult> WatchLoop::SendRequest(const Request& request) {
  const bool list_all = request.action == WatchAction::kListAll;
  const Revision after = list_all ? Revision() : request.complete_to;
  const auto changes = list_all
                           ? calls_.list(kConfigKind, after)
                           : calls_.watch(kConfigKind, after, options_.wait);
  if (!IsOk(changes)) return ErrorOf(changes);
  return WatchResult{ToDelta(after, ValueOf(changes)), request.newest};
}

void WatchLoop::RecordOutcome(const Request& request,
                              const Result<WatchResult>& result) {
  const Millis now = SteadyNow();
  if (IsOk(result)) {
    AfterAnswer(&state_, request.action, request.newest,
                ValueOf(result).delta.complete_to, options_, now, &random_);
  } else {
    AfterFailure(&state_, options_, now, &random_);
  }
}

}  // namespace hibiscuspick::platform
