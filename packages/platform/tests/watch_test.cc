#include "hibiscuspick/platform/watch.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <vector>

#include "fake_platform.h"
#include "hibiscuspick/platform/watch_loop.h"

namespace hp = hibiscuspick;
namespace hpp = hibiscuspick::platform;
using hp::Millis;
using hp::Revision;
using hpp::WatchAction;

namespace {

const hpp::WatchOptions kOptions;

}  // namespace

BOOST_AUTO_TEST_CASE(only_watchers_call_the_platform) {
  hp::Random random(1);
  hpp::WatchState state;
  BOOST_TEST((NextAction(state, Millis(0)) == WatchAction::kWait));
  SetWatching(&state, true, kOptions, Millis(0), &random);
  BOOST_TEST((NextAction(state, Millis(1)) == WatchAction::kListAll));
  AfterAnswer(&state, WatchAction::kListAll, {}, {}, kOptions, Millis(1),
              &random);
  BOOST_TEST((NextAction(state, Millis(1)) == WatchAction::kWatch));
  BOOST_TEST((NextAction(state, kOptions.full_list_interval * 2) ==
              WatchAction::kListAll));
  SetWatching(&state, false, kOptions, Millis(2), &random);
  BOOST_TEST((NextAction(state, Millis(3)) == WatchAction::kWait));
  state.full_list_requested = true;
  BOOST_TEST((NextAction(state, Millis(3)) == WatchAction::kListAll));
}

// A platform restored from a backup answers each watch at once, since its
// revision is below the requested one. Without a backoff the watching instances
// would call it in a tight loop.
BOOST_AUTO_TEST_CASE(reply_from_a_restored_platform_causes_backoff) {
  hp::Random random(1);
  hpp::WatchState state;
  SetWatching(&state, true, kOptions, Millis(0), &random);
  for (int i = 0; i < 20; ++i) {
    AfterAnswer(&state, WatchAction::kWatch, Revision(9), Revision(3), kOptions,
                Millis(1), &random);
  }
  BOOST_TEST(state.not_before.count > 1);
  BOOST_TEST((NextAction(state, Millis(1)) == WatchAction::kWait));
  BOOST_TEST(state.seen.value == 0);
  AfterAnswer(&state, WatchAction::kWatch, Revision(9), Revision(9), kOptions,
              Millis(10000), &random);
  BOOST_TEST((NextAction(state, Millis(10000)) == WatchAction::kWatch));
}

// The platform fails for a while during a watch. The loop must continue by
// itself, report the failures, and miss no change written in between.
BOOST_AUTO_TEST_CASE(loop_survives_an_outage_without_missing_changes) {
  hpp::FakePlatform platform;
  platform.Store("routes/a", 1, std::nullopt);
  platform.failing_reads = 3;
  std::mutex mutex;
  std::condition_variable wake;
  hp::settings::ConfigStore store;
  int failures = 0;
  hpp::WatchOptions options;
  options.backoff = {Millis(1), Millis(2)};
  hpp::WatchLoop loop(
      platform.MakeCalls(), options, 1,
      [&] {
        const std::lock_guard lock(mutex);
        return store.complete_to;
      },
      [&](const hp::Result<hpp::WatchResult>& result) {
        const std::lock_guard lock(mutex);
        if (IsOk(result)) {
          const auto& update = ValueOf(result);
          ApplyFromPlatform(&store, update.delta, update.known);
        } else {
          ++failures;
        }
        wake.notify_all();
      });
  const auto wait_for = [&](uint64_t revision) {
    std::unique_lock lock(mutex);
    return wake.wait_for(lock, std::chrono::seconds(60),
                         [&] { return store.complete_to.value >= revision; });
  };
  loop.RequestFullList();
  BOOST_REQUIRE(wait_for(1));
  loop.SetWatching(true);
  platform.Store("routes/b", 2, std::nullopt);
  BOOST_REQUIRE(wait_for(2));
  loop.Stop();
  BOOST_TEST(failures == 3);
  BOOST_TEST(store.objects.size() == 2);
}
