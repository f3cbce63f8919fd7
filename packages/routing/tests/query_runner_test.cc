#include "hibiscuspick/routing/query_runner.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "query_driver.h"

namespace hibiscuspick::routing {

// A time only reached by a hang, also on a slow machine.
constexpr Millis kHangTimeout{60000};

QueryRequest LongQuery() {
  QueryRequest request;
  request.deadline = kHangTimeout;
  request.values.owner_timeout = kHangTimeout;
  request.values.prefer = settings::Prefer::kCoverage;
  return request;
}

std::vector<limits::ShardOutcome> AnswerAll(const limits::PartRequest& part) {
  std::vector<limits::ShardOutcome> outcomes;
  for (const auto& it : part.shards)
    outcomes.push_back(Answered(it.shard.text));
  return outcomes;
}

RunnerCallbacks NoOpCallbacks() {
  RunnerCallbacks callbacks;
  callbacks.send_part = [](const InstanceId&, const limits::PartRequest&) {};
  callbacks.run_local = [](const limits::PartRequest&) {};
  callbacks.cancel_part = [](const InstanceId&, PartId) {};
  callbacks.candidates = [](const ServiceId&) {
    return std::vector{InstanceId("self")};
  };
  return callbacks;
}

Plans OnePlan() { return {TestPlan(7, 6)}; }

BOOST_AUTO_TEST_CASE(concurrent_queries_get_their_own_answers) {
  QueryRunner* target = nullptr;
  std::mutex mutex;
  std::vector<limits::PartRequest> parts;
  std::condition_variable wake;
  bool stopping = false;
  RunnerCallbacks callbacks = NoOpCallbacks();
  callbacks.run_local = [&](const limits::PartRequest& part) {
    const std::lock_guard lock(mutex);
    parts.push_back(part);
    wake.notify_one();
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), callbacks);
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
BOOST_AUTO_TEST_CASE(outcomes_may_arrive_during_the_send) {
  QueryRunner* target = nullptr;
  RunnerCallbacks callbacks = NoOpCallbacks();
  callbacks.run_local = [&](const limits::PartRequest& part) {
    target->OnOutcomes(part.origin.part, AnswerAll(part));
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), callbacks);
  target = &runner;
  const Answer answer =
      runner.Run(LongQuery(), SteadyNow(), OnePlan, [] { return false; });
  BOOST_TEST(answer.coverage == 1);
}

// The connection to the owner fails during the send. The query continues at the
// next instance instead of waiting for the deadline.
BOOST_AUTO_TEST_CASE(a_part_whose_send_fails_is_reassigned) {
  QueryRunner* target = nullptr;
  RunnerCallbacks callbacks = NoOpCallbacks();
  callbacks.candidates = [](const ServiceId&) {
    return std::vector{InstanceId("a"), InstanceId("self")};
  };
  callbacks.send_part = [&](const InstanceId& to, const limits::PartRequest&) {
    target->OnPeerFailed(to);
  };
  callbacks.run_local = [&](const limits::PartRequest& part) {
    target->OnOutcomes(part.origin.part, AnswerAll(part));
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), callbacks);
  target = &runner;
  const Answer answer =
      runner.Run(LongQuery(), SteadyNow(), OnePlan, [] { return false; });
  BOOST_TEST(answer.coverage == 1);
  BOOST_TEST(answer.parts_reassigned == 1U);
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_ends_the_query) {
  std::atomic<int> cancelled{0};
  RunnerCallbacks callbacks = NoOpCallbacks();
  callbacks.cancel_part = [&](const InstanceId&, PartId) { ++cancelled; };
  QueryRunner runner(InstanceId("self"), Incarnation(1), callbacks);
  const Answer answer =
      runner.Run(LongQuery(), SteadyNow(), OnePlan, [] { return true; });
  BOOST_TEST((answer.code == Code::kCallerGone));
  BOOST_TEST(cancelled == 1);
}

// An owner hangs while its connections stay open. After a few timeouts, queries
// go to the second owner at once; when the first answers a probe, it is used
// again as before.
BOOST_AUTO_TEST_CASE(a_hanging_owner_is_deprioritized) {
  QueryRunner* target = nullptr;
  std::atomic<bool> hangs{true};
  std::atomic<int> asked{0};
  RunnerCallbacks callbacks = NoOpCallbacks();
  callbacks.candidates = [](const ServiceId&) {
    return std::vector{InstanceId("a"), InstanceId("b"), InstanceId("self")};
  };
  callbacks.send_part = [&](const InstanceId& to,
                            const limits::PartRequest& part) {
    if (to.text == "a") ++asked;
    if (to.text == "a" && hangs) return;
    target->OnOutcomes(part.origin.part, AnswerAll(part));
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), callbacks);
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
    if (answer.parts_reassigned > 0) ++waited;
  }
  BOOST_TEST(waited >= static_cast<int>(kSuspectAfter));
  BOOST_TEST(waited == asked);
  hangs = false;
  asked = 0;
  while (asked < 5) run();
  BOOST_TEST(run().parts_reassigned == 0U);
}

// A shard refused a version. Later queries pin the older version from the start
// instead of each paying for a restart.
BOOST_AUTO_TEST_CASE(held_versions_are_shared_between_queries) {
  QueryRunner* target = nullptr;
  std::vector<uint64_t> versions;
  RunnerCallbacks callbacks = NoOpCallbacks();
  callbacks.run_local = [&](const limits::PartRequest& part) {
    versions.push_back(part.version.value);
    auto outcomes = AnswerAll(part);
    if (part.version == IndexVersion(8)) outcomes[0] = Refused("p1", {7});
    target->OnOutcomes(part.origin.part, outcomes);
  };
  QueryRunner runner(InstanceId("self"), Incarnation(1), callbacks);
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
