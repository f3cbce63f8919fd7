#include <atomic>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

#include "executor_fixture.h"
#include "fake_backend.h"
#include "hibiscuspick/dispatch/part_executor.h"

namespace hibiscuspick::dispatch {
namespace {

// Blocks handlers until it is opened.
class Gate {
 public:
  void Wait() {
    std::unique_lock lock(mutex_);
    open_changed_.wait(lock, [this] { return open_; });
  }
  void Open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    open_changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable open_changed_;
  bool open_ = false;
};

// A deadline long enough for the request to reach the server even on a busy
// machine; the tests are about what happens afterwards.
constexpr Millis kArrivalDeadline{1500};

// A server whose address nothing listens on.
settings::BackendServer UnreachableServer(const std::string& id) {
  FakeBackend gone(id);
  gone.Start();
  auto config = gone.Config();
  gone.Stop();
  return config;
}

}  // namespace

// A reply arrives after its attempt's deadline on a connection that is still
// open. If the connection were reused, the next attempt would read the late
// reply as its own.
BOOST_AUTO_TEST_CASE(a_timed_out_connection_is_never_used_again) {
  Gate gate;
  std::mutex mutex;
  std::vector<int> ports;
  FakeBackend b1("b1");
  b1.on_query = [&](const auto& request, auto&) {
    bool first = false;
    {
      const std::lock_guard lock(mutex);
      first = ports.empty();
      ports.push_back(request.remote_port);
    }
    if (first) gate.Wait();
  };
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes late_outcomes;
  executor.Run(MakePart(config, 1, kArrivalDeadline), late_outcomes.Sink());
  BOOST_REQUIRE(late_outcomes.WaitFor(1));
  BOOST_TEST((late_outcomes.Of("p0").code == Code::kDeadlineExceeded));
  gate.Open();
  Outcomes next;
  auto part = MakePart(config, 1);
  part.origin.part = PartId(10);
  part.shards[0].shard = ShardId("p1");
  executor.Run(part, next.Sink());
  BOOST_REQUIRE(next.WaitFor(1));
  BOOST_REQUIRE(next.Of("p1").hits.size() == 1u);
  BOOST_TEST(next.Of("p1").hits[0].id == "doc-p1");
  const std::lock_guard lock(mutex);
  BOOST_REQUIRE(ports.size() == 2u);
  BOOST_TEST(ports[0] != ports[1]);
}

// More shards than slots arrive at once. With more attempts than slots the
// server would shed some or delay urgent ones.
BOOST_AUTO_TEST_CASE(a_server_never_runs_more_than_its_slots) {
  std::atomic<int> running{0};
  std::atomic<int> most{0};
  FakeBackend b1("b1");
  b1.on_query = [&](const auto&, auto&) {
    const int n = ++running;
    int seen = most;
    while (n > seen && !most.compare_exchange_weak(seen, n)) {
    }
    std::this_thread::sleep_for(Millis(2).ToMicros());
    --running;
  };
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config(2)});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 40), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(40));
  BOOST_TEST(most.load() <= 2);
  BOOST_TEST((outcomes.Of("p39").code == Code::kOk));
}

// Nothing listens on the addresses of all replicas. The shards fail with
// kConnectFailed, and `ran` is kNo.
BOOST_AUTO_TEST_CASE(unreachable_replicas_fail_without_running) {
  const auto config =
      MakeGroupConfig({UnreachableServer("b1"), UnreachableServer("b2")});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 3), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(3));
  for (const char* shard : {"p0", "p1", "p2"}) {
    BOOST_TEST((outcomes.Of(shard).code == Code::kConnectFailed));
    BOOST_TEST((outcomes.Of(shard).ran == Ran::kNo));
  }
}

// One of two replicas refuses connections. Every shard is still answered.
BOOST_AUTO_TEST_CASE(one_unreachable_replica_is_replaced) {
  FakeBackend b2("b2");
  b2.Start();
  const auto config = MakeGroupConfig({UnreachableServer("b1"), b2.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 20), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(20));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST((outcomes.Of("p" + std::to_string(i)).code == Code::kOk));
  }
}

// A replica hangs in the middle of an attempt. The hedge at the other one
// answers, and the first attempt is cancelled rather than left running.
BOOST_AUTO_TEST_CASE(a_straggler_is_hedged_and_cancelled) {
  Gate gate;
  std::mutex mutex;
  std::string straggler;
  FakeBackend b1("b1");
  FakeBackend b2("b2");
  const auto hang_first = [&](const auto& request, auto&) {
    {
      const std::lock_guard lock(mutex);
      if (!straggler.empty()) return;
      straggler = request.get_header_value("X-Attempt-Id");
    }
    gate.Wait();
  };
  b1.on_query = hang_first;
  b2.on_query = hang_first;
  b1.Start();
  b2.Start();
  limits::GroupPolicy policy;
  policy.hedge.default_delay = Millis(20);
  const auto config = MakeGroupConfig({b1.Config(), b2.Config()}, policy);
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 1), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(1));
  BOOST_TEST((outcomes.Of("p0").code == Code::kOk));
  BOOST_TEST(outcomes.Of("p0").attempts == 2u);
  while (!b1.WasCancelled(straggler) && !b2.WasCancelled(straggler)) {
    std::this_thread::yield();
  }
  const auto metrics = executor.Metrics();
  BOOST_REQUIRE(metrics.groups.size() == 1u);
  BOOST_TEST(metrics.groups[0].counters.hedges == 1u);
  gate.Open();
}

// A server reports a drain in a reply. It finishes its attempts and gets no new
// ones, and the report is passed on.
BOOST_AUTO_TEST_CASE(a_draining_server_gets_no_new_attempts) {
  FakeBackend b1("b1");
  FakeBackend b2("b2");
  b1.on_query = [](const auto&, auto& response) {
    response.set_header("X-Draining", "true");
    response.set_header("X-Server-Incarnation", "12");
  };
  b1.Start();
  b2.Start();
  std::mutex mutex;
  std::set<std::pair<std::string, uint64_t>> reports;
  PartExecutor executor(
      TestOptions(),
      [&](const auto& server, Incarnation incarnation, bool draining) {
        const std::lock_guard lock(mutex);
        if (draining) reports.insert({server.text, incarnation.value});
      });
  const auto config = MakeGroupConfig({b1.Config(1), b2.Config(1)});
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 40), outcomes.Sink());
  BOOST_REQUIRE(outcomes.WaitFor(40));
  BOOST_TEST((outcomes.Of("p39").code == Code::kOk));
  BOOST_TEST(b1.attempts().size() == 1u);
  executor.Stop();
  const std::lock_guard lock(mutex);
  const std::set<std::pair<std::string, uint64_t>> expected = {{"b1", 12}};
  BOOST_TEST((reports == expected));
}

// The instance stops while a query runs. The part still gets its outcomes, once
// each, and Stop does not wait for the backend server.
BOOST_AUTO_TEST_CASE(stop_delivers_every_outcome_once) {
  Gate gate;
  FakeBackend b1("b1");
  b1.on_query = [&](const auto&, auto&) { gate.Wait(); };
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  Outcomes outcomes;
  executor.Run(MakePart(config, 5), outcomes.Sink());
  while (b1.attempts().empty()) std::this_thread::yield();
  executor.Stop();
  BOOST_TEST(outcomes.Count() == 5u);
  BOOST_TEST(outcomes.MaxDeliveries() == 1);
  BOOST_TEST((outcomes.Of("p4").code == Code::kCancelled));
  gate.Open();
}

}  // namespace hibiscuspick::dispatch
