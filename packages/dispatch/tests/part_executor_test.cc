#include "hibiscuspick/dispatch/part_executor.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "executor_fixture.h"
#include "fake_backend.h"

namespace hibiscuspick::dispatch {

BOOST_AUTO_TEST_CASE(a_part_of_many_shards_is_answered) {
  FakeBackend b1("b1");
  FakeBackend b2("b2");
  b1.Start();
  b2.Start();
  const auto config = MakeGroupConfig({b1.Config(), b2.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 30), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(30));
  for (int i = 0; i < 30; ++i) {
    const std::string shard = "p" + std::to_string(i);
    const auto outcome = outcomes.Of(shard);
    BOOST_TEST((outcome.code == Code::kOk));
    BOOST_REQUIRE(outcome.hits.size() == 1u);
    BOOST_TEST(outcome.hits[0].id == "doc-" + shard);
    BOOST_TEST(outcome.hits[0].fields == R"({"n":1})");
  }
  executor.Stop();
  BOOST_TEST(outcomes.MaxDeliveries() == 1);
  BOOST_TEST(executor.InFlight() == 0u);
  BOOST_TEST(!b1.SawAttemptTwice());
}

BOOST_AUTO_TEST_CASE(a_shard_of_an_unknown_service_did_not_run) {
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({});
  Outcomes outcomes;
  executor.Run(MakePart(MakeGroupConfig({}), 2), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(2));
  BOOST_TEST((outcomes.Of("p0").code == Code::kNoServer));
  BOOST_TEST((outcomes.Of("p0").ran == Ran::kNo));
  BOOST_TEST(executor.InFlight() == 0u);
}

// A caller disconnects while its query runs. Its attempt is cancelled at the
// backend server, and the slot is used for the next query.
BOOST_AUTO_TEST_CASE(cancel_frees_the_slot_and_notifies_the_server) {
  std::atomic<bool> hang{true};
  std::atomic<bool> release{false};
  FakeBackend b1("b1");
  b1.on_query = [&](const auto&, auto&) {
    if (!hang.exchange(false)) return;
    while (!release) std::this_thread::yield();
  };
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config(1)});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes gone;
  auto part = MakePart(config, 1);
  executor.Run(part, gone.Sink());
  while (b1.attempts().empty()) std::this_thread::yield();
  executor.Cancel(part.origin);
  Outcomes next;
  part.origin.part = PartId(10);
  executor.Run(part, next.Sink());
  BOOST_REQUIRE(next.WaitFor(1));
  BOOST_TEST((next.Of("p0").code == Code::kOk));
  BOOST_TEST(b1.WasCancelled(b1.attempts()[0]));
  BOOST_TEST(gone.Count() == 0u);
  release = true;
}

}  // namespace hibiscuspick::dispatch
