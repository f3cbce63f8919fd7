// The thread that watches the platform's configuration and hands what it says
// to the control thread.
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

// One answer, also when nothing changed: it confirms that what is known is the
// newest. For settings::ApplyFromPlatform.
struct WatchNews {
  settings::ConfigDelta delta;
  // The highest revision known of when the platform was asked.
  Revision known;
};

// The platform's changes as the store takes them.
settings::ConfigDelta ToDelta(Revision after, const Changes& changes);

class WatchLoop {
 public:
  // An answer, or why there is none (the platform is unreachable).
  using Sink = std::function<void(const Result<WatchNews>&)>;
  // A revision of the ConfigStore now. Called by the loop's thread under its
  // lock: must not call back.
  using Known = std::function<Revision()>;

  // `calls` should be the loop's own: Stop closes them. `sink` is called by
  // the loop's thread and must not block long. `complete_to` gives the store's
  // watermark, after which is asked, and `newest` its highest revision, by
  // which a restored platform is told; without it the watermark stands in, and
  // a restore below single accepted writes goes unseen. Starts resting.
  WatchLoop(Calls calls, WatchOptions options, uint64_t seed, Known complete_to,
            Sink sink, const Known& newest = nullptr);
  ~WatchLoop();
  WatchLoop(const WatchLoop&) = delete;
  WatchLoop& operator=(const WatchLoop&) = delete;

  void SetWatching(bool watching);

  // Asks for one whole listing as soon as the platform answers.
  void WantWhole();

  // Ends a running watch and the thread.
  void Stop();

 private:
  void Run();
  // What is known when the platform is asked.
  struct Question {
    WatchAction action = WatchAction::kRest;
    Revision complete_to;
    Revision newest;
  };
  Result<WatchNews> Ask(const Question& question);
  void Conclude(const Question& question, const Result<WatchNews>& result);

  const Calls calls_;
  const WatchOptions options_;
  const Known complete_to_;
  const Known newest_;
  const Sink sink_;
  std::mutex mutex_;
  std::condition_variable wake_;
  WatchState state_;
  Random random_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hibiscuspick::platform
