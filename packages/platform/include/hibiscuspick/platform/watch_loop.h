// Runs the thread that watches the platform's configuration and passes the
// results to the control thread.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/platform/watch.h"
#include "hibiscuspick/settings/config_store.h"

namespace hibiscuspick::platform {

// One reply, also if nothing changed: it confirms the known configuration as
// the newest. Input of settings::ApplyFromPlatform.
struct WatchResult {
  settings::ConfigDelta delta;
  // The highest known revision when the call was made.
  Revision known;
};

// Converts the platform's changes to a delta of the configuration store.
settings::ConfigDelta ToDelta(Revision after, const Changes& changes);

class WatchLoop {
 public:
  // Receives a reply, or the error if the platform is unreachable.
  using Sink = std::function<void(const Result<WatchResult>&)>;
  // Returns a current revision of the ConfigStore. Called on the loop's thread
  // with its lock held: must not call back into the loop.
  using RevisionReader = std::function<Revision()>;

  // `calls` should be used by this loop only, because Stop closes them. `sink`
  // is called on the loop's thread and must not block for long. `complete_to`
  // returns the store's watermark, from which the loop watches, and `newest`
  // the store's highest revision, by which a restored platform is detected.
  // Without `newest` the watermark is used, and a restore to a revision between
  // the watermark and a newer single write goes undetected. Starts without
  // watching.
  WatchLoop(Calls calls, WatchOptions options, uint64_t seed,
            RevisionReader complete_to, Sink sink,
            const RevisionReader& newest = nullptr);
  ~WatchLoop();
  WatchLoop(const WatchLoop&) = delete;
  WatchLoop& operator=(const WatchLoop&) = delete;

  void SetWatching(bool watching);

  // Requests one full list as soon as the platform replies.
  void RequestFullList();

  // Aborts a running watch and joins the thread.
  void Stop();

 private:
  void Run();
  // The action and the known revisions when the platform is called.
  struct Request {
    WatchAction action = WatchAction::kWait;
    Revision complete_to;
    Revision newest;
  };
  Result<WatchResult> SendRequest(const Request& request);
  void RecordOutcome(const Request& request, const Result<WatchResult>& result);

  const Calls calls_;
  const WatchOptions options_;
  const RevisionReader complete_to_;
  const RevisionReader newest_;
  const Sink sink_;
  std::mutex mutex_;
  std::condition_variable wake_;
  WatchState state_;
  Random random_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hibiscuspick::platform
