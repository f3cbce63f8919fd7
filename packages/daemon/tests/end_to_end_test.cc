#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "test_fleet.h"

namespace {

using hibiscuspick::Eventually;
using hibiscuspick::Json;
using hibiscuspick::daemon::Call;
using hibiscuspick::daemon::CheckConsistent;
using hibiscuspick::daemon::FleetShape;
using hibiscuspick::daemon::HttpAnswer;
using hibiscuspick::daemon::TestFleet;
using hibiscuspick::http::MakeRequest;
using hibiscuspick::standins::Outage;

constexpr uint64_t kShards = 4;

// A load balancer that polls often and keeps sending for a while, well within
// the daemons' balancer_lag.
constexpr std::chrono::milliseconds kBalancerPoll{10};
constexpr std::chrono::milliseconds kBalancerLag{50};

uint64_t ShardsAnswered(const HttpAnswer& answer) {
  if (!answer.body.contains("coverage")) return 0;
  return answer.body["coverage"]["shards_answered"];
}

}  // namespace

BOOST_AUTO_TEST_CASE(every_instance_answers_completely_from_one_version) {
  TestFleet fleet({});
  fleet.Configure();
  for (size_t i = 0; i < 3; ++i) {
    for (const char* route : {"fast", "whole", "slow"}) {
      const auto answer = fleet.Query(i, route);
      BOOST_TEST(answer.status == 200);
      CheckConsistent(answer, kShards);
      BOOST_TEST(ShardsAnswered(answer) == kShards);
    }
  }
}

// One of a service's two backend servers dies, then the other. The caller gets
// complete answers as long as one is alive. After that, the answer must name
// the missing shard instead of claiming full coverage.
BOOST_AUTO_TEST_CASE(
    a_lost_replica_has_no_effect_and_a_lost_service_is_reported) {
  TestFleet fleet({});
  fleet.Configure();
  fleet.Server(1, 0).Kill();
  for (size_t i = 0; i < 3; ++i) {
    const auto answer = fleet.Query(i, "whole");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(ShardsAnswered(answer) == kShards);
  }
  fleet.Server(1, 1).Kill();
  for (size_t i = 0; i < 3; ++i) {
    const auto answer = fleet.Query(i, "whole", 500);
    BOOST_TEST(answer.status == 206);
    CheckConsistent(answer, kShards);
    BOOST_TEST(ShardsAnswered(answer) == kShards - 1);
    BOOST_TEST(answer.body["coverage"]["missing"][0]["shard"] == "p1");
  }
}

// The platform is down for a long time. Queries must continue with the known
// configuration and report its age; a change must be rejected rather than
// appear accepted.
BOOST_AUTO_TEST_CASE(queries_continue_without_the_platform) {
  TestFleet fleet({});
  fleet.Configure();
  fleet.SetOutage(Outage::kRefused);
  BOOST_REQUIRE(Eventually([&] {
    const auto answer = fleet.Query(0, "whole");
    BOOST_REQUIRE(answer.status == 200);
    return answer.body["snapshot"]["platform_reachable"] == false;
  }));
  const auto answer = fleet.Query(1, "whole");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(ShardsAnswered(answer) == kShards);
  const auto refused = fleet.Operate(
      0, "PUT", "/v1/routes/new",
      {{"snapshot", "all"}, {"lane", "urgent"}, {"prefer", "latency"}});
  BOOST_TEST(refused.status == 503);
  fleet.SetOutage(Outage::kNone);
  BOOST_TEST(Eventually([&] {
    return fleet.Query(0, "whole").body["snapshot"]["platform_reachable"] ==
           true;
  }));
}

// One instance accepts an operator's change. It must be in force there at once
// and everywhere soon, or callers get inconsistent answers.
BOOST_AUTO_TEST_CASE(an_accepted_change_is_in_force_everywhere) {
  TestFleet fleet({});
  fleet.Configure();
  const auto put = fleet.Operate(
      1, "PUT", "/v1/routes/new",
      {{"snapshot", "all"}, {"lane", "urgent"}, {"prefer", "latency"}});
  BOOST_REQUIRE(put.status == 200);
  const uint64_t version = put.body["version"];
  BOOST_TEST(fleet.VersionAt(1, "routes/new") == version);
  for (size_t i = 0; i < 3; ++i) {
    BOOST_TEST(Eventually(
        [&] { return fleet.VersionAt(i, "routes/new") == version; }));
    BOOST_TEST(fleet.Query(i, "new").status == 200);
  }
}

// A backend server reports in a reply that it is draining, while the platform
// is down. Unless the report spreads, instances that have not used the server
// since would send it work until it is gone.
BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_new_work_from_anyone) {
  TestFleet fleet({});
  fleet.Configure();
  fleet.SetOutage(Outage::kRefused);
  auto& leaving = fleet.Server(2, 0);
  BOOST_REQUIRE(IsOk(leaving.Patch(Json::object({{"draining", true}}))));
  const auto knows = [&](size_t i) {
    const Json status = fleet.Status(i);
    for (const auto& it : status["backend_servers"]) {
      if (it["backend_server"] == leaving.id()) return it["draining"] == true;
    }
    return false;
  };
  BOOST_REQUIRE(Eventually([&] {
    fleet.Query(0, "whole");
    return knows(0);
  }));
  for (size_t i = 1; i < 3; ++i)
    BOOST_REQUIRE(Eventually([&] { return knows(i); }));
  const uint64_t before = leaving.stats().arrived;
  for (int n = 0; n < 30; ++n) {
    const auto answer = fleet.Query(static_cast<size_t>(n % 3), "whole");
    BOOST_TEST(ShardsAnswered(answer) == kShards);
  }
  BOOST_TEST(leaving.stats().arrived == before);
}

// An instance is stopped gracefully while callers send queries one after the
// other through a load balancer, which notices late. Each query must get its
// complete answer, including those that the instance works on for others.
BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_no_request_off) {
  TestFleet fleet({});
  fleet.Configure();
  std::atomic<int> cut{0};
  std::atomic<int> whole{0};
  std::atomic<bool> sends{true};
  std::atomic<bool> stop{false};
  const auto ask = [&](size_t i) {
    const auto answer = fleet.Query(i, "whole");
    const bool good = answer.status == 200 && ShardsAnswered(answer) == kShards;
    ++(good ? whole : cut);
  };
  std::vector<std::thread> threads;
  for (int n = 0; n < 4; ++n) {
    threads.emplace_back([&] {
      while (sends) ask(0);
    });
  }
  threads.emplace_back([&] {
    while (!stop) ask(1);
  });
  threads.emplace_back([&] {
    const auto port = fleet.settings[0].callers.port;
    const auto ready = [&] {
      return Call(port, MakeRequest("GET", "/readyz")).status == 200;
    };
    while (ready()) std::this_thread::sleep_for(kBalancerPoll);
    std::this_thread::sleep_for(kBalancerLag);
    sends = false;
  });
  const bool warm = Eventually([&] { return whole > 20; });
  fleet.StopDaemon(0);
  stop = true;
  for (auto& it : threads) it.join();
  BOOST_TEST(warm);
  BOOST_TEST(cut == 0);
}

// A load balancer lags by more than balancer_lag, and requests still arrive
// while the instance stops. Each is answered completely or not accepted; none
// is accepted and then fails because a component has already stopped.
BOOST_AUTO_TEST_CASE(a_request_after_the_lag_is_complete_or_not_accepted) {
  for (int round = 0; round < 3; ++round) {
    TestFleet fleet({});
    fleet.Configure();
    std::atomic<int> wrong{0};
    std::atomic<int> whole{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n) {
      threads.emplace_back([&] {
        for (;;) {
          const auto answer = fleet.Query(0, "whole");
          if (answer.refused) return;
          // The connection was closed before any of the request was read.
          if (answer.status == 0) continue;
          const bool good =
              answer.status == 200 && ShardsAnswered(answer) == kShards;
          ++(good ? whole : wrong);
        }
      });
    }
    const bool warm = Eventually([&] { return whole > 20; });
    fleet.StopDaemon(0);
    for (auto& it : threads) it.join();
    BOOST_TEST(warm);
    BOOST_TEST(wrong == 0);
  }
}

// Every instance is replaced, one after the other, while the platform is down.
// Each new one has no disk and must load the configuration from its peers, or
// the fleet loses accepted changes.
BOOST_AUTO_TEST_CASE(replacing_instances_one_by_one_keeps_the_configuration) {
  TestFleet fleet({});
  fleet.Configure();
  const uint64_t version = fleet.VersionAt(0, "routes/slow");
  fleet.SetOutage(Outage::kRefused);
  for (size_t i = 0; i < 3; ++i) {
    for (auto& it : fleet.settings) it.peers.clear();
    for (size_t k = 0; k < 3; ++k) {
      if (k != i) fleet.settings[i].peers.push_back(fleet.settings[k].inner);
    }
    fleet.StopDaemon(i);
    fleet.StartDaemon(i);
    BOOST_REQUIRE(Eventually(
        [&] { return fleet.VersionAt(i, "routes/slow") == version; }));
    BOOST_TEST(Eventually(
        [&] { return ShardsAnswered(fleet.Query(i, "whole")) == kShards; }));
  }
}

// All instances are replaced at once while the platform is down. No instance
// has the configuration, and a made-up answer would be worse than none.
BOOST_AUTO_TEST_CASE(replacing_all_at_once_without_the_platform_is_not_ready) {
  TestFleet fleet({});
  fleet.Configure();
  fleet.SetOutage(Outage::kRefused);
  for (size_t i = 0; i < 3; ++i) fleet.StopDaemon(i);
  for (size_t i = 0; i < 3; ++i) fleet.StartDaemon(i);
  const auto answer = fleet.Query(0, "whole");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.body["error"]["name"] == "not_ready");
  BOOST_TEST(answer.body["error"]["ran"] == "no");
  fleet.SetOutage(Outage::kNone);
  BOOST_TEST(Eventually([&] { return fleet.Query(0, "whole").status == 200; }));
}

// A caller sends one claim again to another instance because the first answer
// was slow. It must be recorded once; with the platform down it must be
// rejected as not run.
BOOST_AUTO_TEST_CASE(a_record_runs_once_whoever_is_asked) {
  TestFleet fleet({});
  fleet.Configure();
  std::vector<std::thread> callers;
  std::atomic<int> done{0};
  for (size_t i = 0; i < 3; ++i) {
    callers.emplace_back([&, i] {
      if (fleet.Record(i, "claim-1").status == 200) ++done;
    });
  }
  for (auto& it : callers) it.join();
  BOOST_TEST(done >= 1);
  uint64_t runs = 0;
  for (size_t r = 0; r < 2; ++r) {
    const auto records = fleet.Server(0, r).stats().records;
    const auto it = records.find("claim-1");
    if (it != records.end()) runs += it->second;
  }
  BOOST_TEST(runs == 1);
  fleet.SetOutage(Outage::kRefused);
  const auto refused = fleet.Record(0, "claim-2");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.body["error"]["ran"] == "no");
}

// The index version changes while queries run: every server drops version 7 for
// version 8, one after the other, and the manifest follows. An answer that
// mixed the two could contain a policy that no longer exists next to one that
// doesn't exist yet.
BOOST_AUTO_TEST_CASE(a_rolling_version_is_never_mixed) {
  TestFleet fleet({});
  fleet.Configure();
  std::atomic<bool> stop{false};
  std::atomic<int> answers{0};
  std::vector<HttpAnswer> seen[3];
  std::vector<std::thread> callers;
  for (size_t i = 0; i < 3; ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        seen[i].push_back(fleet.Query(i, "whole", 1000));
        ++answers;
      }
    });
  }
  const auto wait_for_more = [&] {
    const int n = answers;
    BOOST_REQUIRE(Eventually([&] { return answers > n + 20; }));
  };
  wait_for_more();
  fleet.PatchAll(R"({"held": [7, 8]})");
  const std::string version =
      std::to_string(fleet.VersionAt(0, "snapshots/all"));
  BOOST_REQUIRE(fleet
                    .Operate(0, "PUT", "/v1/snapshots/all",
                             fleet.SnapshotObject(8), version)
                    .status == 200);
  wait_for_more();
  fleet.PatchAll(R"({"held": [8]})");
  wait_for_more();
  stop = true;
  for (auto& it : callers) it.join();
  uint64_t last = 0;
  for (const auto& list : seen) {
    for (const auto& it : list) {
      BOOST_REQUIRE((it.status == 200 || it.status == 206));
      CheckConsistent(it, kShards);
      last = std::max<uint64_t>(last, it.body["snapshot"]["version"]);
    }
  }
  BOOST_TEST(last == 8);
}
