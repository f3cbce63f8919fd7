#include "hibiscuspick/routing/query_runner.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "query_driver.h"

namespace hibiscuspick::routing {

// A time only reached by a hang, also on a slow machine.
constexpr Millis kHang{60000};

QueryRequest LongQuery() {
  QueryRequest request;
  request.deadline = kHang;
  request.values.owner_timeout = kHang;
  request.values.prefer = settings::Prefer::kCoverage;
  return request;
}

std::vector<limits::ShardOutcome> AnswerAll(const limits::PartRequest& part) {
  std::vector<limits::ShardOutcome> outcomes;
  for (const auto& it : part.shards)
    outcomes.push_back(Answered(it.shard.text));
  return outcomes;
}

RunnerPorts QuietPorts() {
  RunnerPorts ports;
  ports.send_part = [](const InstanceId&, const limits::PartRequest&) {};
  ports.run_local = [](const limits::PartRequest&) {};
  ports.cancel_part = [](const InstanceId&, PartId) {};
  ports.candidates = [](const ServiceId&) {
    return std::vector{InstanceId("self")};
  };
  return ports;
}

Plans OnePlan() { return {TestPlan(7, 6)}; }

BOOST_AUTO_TEST_CASE(queries_of_many_threads_get_their_own_answers) {
  QueryRunner* target = nullptr;
  std::mutex mutex;
  std::vector<limits::PartRequest> parts;
  std::condition_variable wake;
  bool stopping = false;
  RunnerPorts ports = QuietPorts();
  ports.run_local = [&](const limits::PartRequest& part) {
    const std::lock_guard lock(mutex);
    parts.push_back(part);
    wake.notify_one();
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), ports);
  target = &runner;
  std::thread worker([&] {
    std::unique_lock lock(mutex);
    for (;;) {
      wake.wait(lock, [&] { return stopping || !parts.empty(); });
      if (parts.empty()) return;
      const auto part = parts.back();
      parts.pop_back();
      lock.unlock();
      auto outcomes = AnswerAll(part);
      outcomes[0].hits.push_back({part.query, 1, "{}"});
      target->OnOutcomes(part.origin.part, outcomes);
      target->OnOutcomes(part.origin.part, std::move(outcomes));
      lock.lock();
    }
  });
  std::atomic<int> right{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; n < 50; ++n) {
        QueryRequest request = LongQuery();
        request.query = std::to_string(i) + "/" + std::to_string(n);
        const Answer answer =
            runner.Run(request, SteadyNow(), OnePlan, [] { return false; });
        if (answer.coverage == 1 && answer.hits.at(0).hit.id == request.query) {
          ++right;
        }
      }
    });
  }
  for (auto& it : callers) it.join();
  {
    const std::lock_guard lock(mutex);
    stopping = true;
  }
  wake.notify_all();
  worker.join();
  BOOST_TEST(right == 400);
  BOOST_TEST(runner.running() == 0U);
}

// The local executor may deliver outcomes on the calling thread before
// run_local returns. A runner that held a lock meanwhile would deadlock.
BOOST_AUTO_TEST_CASE(outcomes_may_come_from_within_the_send) {
  QueryRunner* target = nullptr;
  RunnerPorts ports = QuietPorts();
  ports.run_local = [&](const limits::PartRequest& part) {
    target->OnOutcomes(part.origin.part, AnswerAll(part));
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), ports);
  target = &runner;
  const Answer answer =
      runner.Run(LongQuery(), SteadyNow(), OnePlan, [] { return false; });
  BOOST_TEST(answer.coverage == 1);
}

// The connection to the owner fails during the send. The query continues at the
// next instance instead of waiting for the deadline.
BOOST_AUTO_TEST_CASE(a_send_that_fails_at_once_is_asked_elsewhere) {
  QueryRunner* target = nullptr;
  RunnerPorts ports = QuietPorts();
  ports.candidates = [](const ServiceId&) {
    return std::vector{InstanceId("a"), InstanceId("self")};
  };
  ports.send_part = [&](const InstanceId& to, const limits::PartRequest&) {
    target->OnPeerFailed(to);
  };
  ports.run_local = [&](const limits::PartRequest& part) {
    target->OnOutcomes(part.origin.part, AnswerAll(part));
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), ports);
  target = &runner;
  const Answer answer =
      runner.Run(LongQuery(), SteadyNow(), OnePlan, [] { return false; });
  BOOST_TEST(answer.coverage == 1);
  BOOST_TEST(answer.asked_again == 1U);
}

BOOST_AUTO_TEST_CASE(a_caller_gone_ends_the_wait) {
  std::atomic<int> cancelled{0};
  RunnerPorts ports = QuietPorts();
  ports.cancel_part = [&](const InstanceId&, PartId) { ++cancelled; };
  QueryRunner runner(InstanceId("self"), Incarnation(1), ports);
  const Answer answer =
      runner.Run(LongQuery(), SteadyNow(), OnePlan, [] { return true; });
  BOOST_TEST((answer.code == Code::kCallerGone));
  BOOST_TEST(cancelled == 1);
}

// An owner hangs while its connections stay open. After a few timeouts, queries
// go to the second owner at once; when the first answers a probe, it is used
// again as before.
BOOST_AUTO_TEST_CASE(a_hanging_owner_is_soon_passed_over) {
  QueryRunner* target = nullptr;
  std::atomic<bool> hangs{true};
  std::atomic<int> asked{0};
  RunnerPorts ports = QuietPorts();
  ports.candidates = [](const ServiceId&) {
    return std::vector{InstanceId("a"), InstanceId("b"), InstanceId("self")};
  };
  ports.send_part = [&](const InstanceId& to, const limits::PartRequest& part) {
    if (to.text == "a") ++asked;
    if (to.text == "a" && hangs) return;
    target->OnOutcomes(part.origin.part, AnswerAll(part));
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), ports);
  target = &runner;
  QueryRequest request = LongQuery();
  request.values.owner_timeout = Millis(1);
  const auto run = [&] {
    return runner.Run(request, SteadyNow(), OnePlan, [] { return false; });
  };
  // Occasional probes add to the timeouts, on a slow machine more often.
  int waited = 0;
  for (int i = 0; i < 50; ++i) {
    const Answer answer = run();
    BOOST_TEST(answer.coverage == 1);
    if (answer.asked_again > 0) ++waited;
  }
  BOOST_TEST(waited >= static_cast<int>(kSuspectAfter));
  BOOST_TEST(waited == asked);
  hangs = false;
  asked = 0;
  while (asked < 5) run();
  BOOST_TEST(run().asked_again == 0U);
}

// A shard refused a version. Later queries pin the older version from the start
// instead of each paying for a restart.
BOOST_AUTO_TEST_CASE(what_one_query_learns_of_versions_the_next_one_uses) {
  QueryRunner* target = nullptr;
  std::vector<uint64_t> versions;
  RunnerPorts ports = QuietPorts();
  ports.run_local = [&](const limits::PartRequest& part) {
    versions.push_back(part.version.value);
    auto outcomes = AnswerAll(part);
    if (part.version == IndexVersion(8)) outcomes[0] = Refused("p1", {7});
    target->OnOutcomes(part.origin.part, outcomes);
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), ports);
  target = &runner;
  const auto plans = [] { return Plans{TestPlan(8, 6), TestPlan(7, 6)}; };
  for (int i = 0; i < 2; ++i) {
    const Answer answer =
        runner.Run(LongQuery(), SteadyNow(), plans, [] { return false; });
    BOOST_TEST(answer.version.value == 7U);
    BOOST_TEST(answer.coverage == 1);
  }
  const std::vector<uint64_t> expected{8, 7, 7};
  BOOST_TEST(versions == expected, boost::test_tools::per_element());
}

}  // namespace hibiscuspick::routing
