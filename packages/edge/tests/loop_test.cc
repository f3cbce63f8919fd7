#include "hibiscuspick/edge/loop.h"

#include <boost/test/unit_test.hpp>
#include <functional>

namespace hibiscuspick::edge {
namespace {

// Failure: a timer that sets itself again at a past time starves the sockets.
BOOST_AUTO_TEST_CASE(TimersSetAtPastTimesDoNotStarveSockets) {
  constexpr int kTooMany = 1000;
  Loop loop;
  int runs = 0;
  const Millis past = SteadyNow() - Millis(10);
  std::function<void()> set_again = [&] {
    if (++runs < kTooMany) loop.RunAt(past, set_again);
  };
  loop.RunAt(past, set_again);
  loop.RunAt(past, [&] { loop.Post([&] { loop.Stop(); }); });
  loop.Run();
  BOOST_TEST(runs < kTooMany);
}

// Failure: a timer runs though another of the same time has cancelled it.
BOOST_AUTO_TEST_CASE(DueTimersCanBeCancelled) {
  Loop loop;
  const Millis past = SteadyNow() - Millis(10);
  Loop::TimerId cancelled = 0;
  bool ran = false;
  loop.RunAt(past, [&] { loop.Cancel(cancelled); });
  cancelled = loop.RunAt(past + Millis(1), [&] { ran = true; });
  loop.RunAt(past + Millis(2), [&] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(!ran);
}

}  // namespace
}  // namespace hibiscuspick::edge
