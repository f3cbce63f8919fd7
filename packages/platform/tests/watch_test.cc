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

BOOST_AUTO_TEST_CASE(only_watching_instances_ask) {
  hp::Random random(1);
  hpp::WatchState state;
  BOOST_TEST((NextAction(state, Millis(0)) == WatchAction::kRest));
  SetWatching(&state, true, kOptions, Millis(0), &random);
  BOOST_TEST((NextAction(state, Millis(1)) == WatchAction::kListWhole));
  AfterAnswer(&state, WatchAction::kListWhole, {}, {}, kOptions, Millis(1),
              &random);
  BOOST_TEST((NextAction(state, Millis(1)) == WatchAction::kWatch));
  BOOST_TEST((NextAction(state, kOptions.whole_interval * 2) ==
              WatchAction::kListWhole));
  SetWatching(&state, false, kOptions, Millis(2), &random);
  BOOST_TEST((NextAction(state, Millis(3)) == WatchAction::kRest));
  state.whole_wanted = true;
  BOOST_TEST((NextAction(state, Millis(3)) == WatchAction::kListWhole));
}

// A platform restored from a backup answers each watch at once, since its
// revision is below the requested one. Without a backoff the watching instances
// would call it in a tight loop.
BOOST_AUTO_TEST_CASE(an_answer_from_the_past_is_rested_on) {
  hp::Random random(1);
  hpp::WatchState state;
  SetWatching(&state, true, kOptions, Millis(0), &random);
  for (int i = 0; i < 20; ++i) {
    AfterAnswer(&state, WatchAction::kWatch, Revision(9), Revision(3), kOptions,
                Millis(1), &random);
  }
  BOOST_TEST(state.not_before.count > 1);
  BOOST_TEST((NextAction(state, Millis(1)) == WatchAction::kRest));
  BOOST_TEST(state.seen.value == 0);
  AfterAnswer(&state, WatchAction::kWatch, Revision(9), Revision(9), kOptions,
              Millis(10000), &random);
  BOOST_TEST((NextAction(state, Millis(10000)) == WatchAction::kWatch));
}

// The platform fails for a while during a watch. The loop must continue by
// itself, report the failures, and miss no change written in between.
BOOST_AUTO_TEST_CASE(the_loop_outlives_an_outage_and_misses_nothing) {
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
      [&](const hp::Result<hpp::WatchNews>& result) {
        const std::lock_guard lock(mutex);
        if (IsOk(result)) {
          const auto& news = ValueOf(result);
          ApplyFromPlatform(&store, news.delta, news.known);
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
  loop.WantWhole();
  BOOST_REQUIRE(wait_for(1));
  loop.SetWatching(true);
  platform.Store("routes/b", 2, std::nullopt);
  BOOST_REQUIRE(wait_for(2));
  loop.Stop();
  BOOST_TEST(failures == 3);
  BOOST_TEST(store.objects.size() == 2);
}
