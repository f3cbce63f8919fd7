// Requests under which servers end, and others that are affected by it.
#include <boost/test/unit_test.hpp>

#include "ending_servers_fixture.h"

namespace hibiscuspick::edge {
namespace {

// The number of servers that may end under a request before it is sent to no
// further one.
constexpr size_t kMaxEnds = 3;

constexpr const char* kFatalPlain = "GET /p/fatal";
constexpr const char* kFatalFanOut = "GET /g/fatal";

bool IsServed(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 200 ");
}

// Failure: each attempt of a request ends a server, up to the route's limit.
BOOST_AUTO_TEST_CASE(PlainRequestIsStoppedAfterThreeServers) {
  EndingServers servers({.attempts = 6});
  const auto answer = servers.Send(0, kFatalPlain);
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(servers.AttemptCount(kFatal) <= kMaxEnds);
}

// Failure: the parts of a fan-out that ends servers are sent to further ones.
BOOST_AUTO_TEST_CASE(FanOutIsNotRepeatedAfterItsServersEnded) {
  const EndingServersOptions options;
  EndingServers servers(options);
  const auto answer = servers.Send(0, kFatalFanOut);
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(servers.AttemptCount(kFatal) <= options.shards);
}

// Failure: a caller's retries with new ids each end further servers.
BOOST_AUTO_TEST_CASE(RetriesOfPlainRequestAreRecognised) {
  EndingServers servers({.instances = 3, .attempts = 2});
  servers.JoinInstances();
  for (size_t i = 0; i < 5; ++i) {
    servers.Send(i % 3, kFatalPlain);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  BOOST_TEST(servers.AttemptCount(kFatal) <= kMaxEnds);
  BOOST_TEST(IsServed(servers.Send(0, "GET /p/x")));
}

// Failure: as above, for the parts of a fan-out.
BOOST_AUTO_TEST_CASE(RetriesOfFanOutAreRecognised) {
  const EndingServersOptions options{.instances = 3};
  EndingServers servers(options);
  servers.JoinInstances();
  for (size_t i = 0; i < 4; ++i) {
    servers.Send(i % 3, kFatalFanOut);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  BOOST_TEST(servers.AttemptCount(kFatal) <= options.shards);
  BOOST_TEST(IsServed(servers.Send(0, "GET /g/x")));
}

// Failure: a fan-out fails at its first ends, and its retry ends more servers.
BOOST_AUTO_TEST_CASE(RetriesAreRecognisedOnRoutesOfOneAttempt) {
  const EndingServersOptions options{.instances = 2, .attempts = 1};
  EndingServers servers(options);
  servers.JoinInstances();
  for (size_t i = 0; i < 4; ++i) servers.Send(i % 2, kFatalFanOut);
  BOOST_TEST(servers.AttemptCount(kFatal) <= options.shards);
}

// Failure: a relay sends the parts of a request on, and the owner does too.
BOOST_AUTO_TEST_CASE(RelayedPartsAreNotRepeatedAfterServersEnded) {
  const EndingServersOptions options{.instances = 2, .two_data_centres = true};
  EndingServers servers(options);
  servers.JoinInstances({}, {servers.instance(1).peer()});
  for (size_t i = 0; i < 3; ++i) {
    const auto answer = servers.Send(i % 2, kFatalFanOut);
    BOOST_TEST(!IsServed(answer), answer);
  }
  BOOST_TEST(servers.AttemptCount(kFatal) <= options.shards);
}

// Failure: a sender runs the same query again for other instances.
BOOST_AUTO_TEST_CASE(SendersRecogniseForwardedRetries) {
  const EndingServersOptions options{.instances = 3};
  EndingServers servers(options);
  servers.JoinInstances({servers.instance(1).peer()});
  for (size_t i : {0, 2, 0, 1}) servers.Send(i, kFatalFanOut);
  BOOST_TEST(servers.AttemptCount(kFatal) <= options.shards);
  // The instances that forward refuse it themselves.
  const auto refused = servers.Send(0, kFatalFanOut);
  BOOST_TEST(refused.starts_with("HTTP/1.1 503 "), refused);
  BOOST_TEST(refused.ends_with(R"({"error":"quarantined"})"), refused);
  BOOST_TEST(std::stod(HeaderValue(refused, "Retry-After")) > 1);
  BOOST_TEST(refused.find("Hp-") == std::string::npos);
}

// Failure: a request is stopped for lost connections to servers that run on.
BOOST_AUTO_TEST_CASE(LostConnectionsAreNoEnds) {
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  route.idempotency = engine::Idempotency::kIdempotent;
  route.attempts = 6;
  route.split = {{ServiceId("plain"), 1}};
  std::atomic<size_t> attempts{0};
  for (int k = 0; k < 6; ++k) {
    fixture.AddServer("plain", [&](const std::string& request) {
      if (++attempts < 6) return ScriptedReply{.text = "", .resets = true};
      return ScriptedReply{.text = ValidReply(request, "stamp", "body")};
    });
  }
  fixture.Publish();
  BOOST_TEST(IsServed(fixture.SendRequest("GET /p/x")));
  BOOST_TEST(attempts == 6);
}

// Failure: fan-outs are given up since many servers end at once.
BOOST_AUTO_TEST_CASE(FanOutsSurviveTheEndOfManyServers) {
  EndingServers servers({.work_ms = 40});
  // Connections are made before.
  BOOST_TEST(IsServed(servers.Send(0, "GET /g/before")));
  std::vector<std::string> answers(3);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&, i] {
      answers[i] = servers.Send(0, "GET /g/" + std::to_string(i));
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  for (size_t shard = 0; shard < 7; ++shard) servers.server(shard, 0).End();
  for (auto& it : callers) it.join();
  for (const auto& it : answers) BOOST_TEST(IsServed(it), it);
}

// Failure: a request is refused since its servers ended for another reason.
BOOST_AUTO_TEST_CASE(RequestIsServedAgainAfterAllServersEnded) {
  EndingServers servers({.work_ms = 40});
  std::string answer;
  std::thread caller([&] { answer = servers.Send(0, "GET /g/x"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  for (auto& it : servers.servers()) it->End();
  caller.join();
  BOOST_TEST(!IsServed(answer));
  servers.RestartEnded();
  answer = servers.Send(0, "GET /g/x");
  BOOST_TEST(IsServed(answer), answer);
}

// Failure: a quarantine that is wrong can't be lifted, or only at one instance.
BOOST_AUTO_TEST_CASE(OperatorsLiftQuarantines) {
  EndingServers servers({.instances = 2});
  servers.JoinInstances();
  servers.Send(0, kFatalFanOut);
  std::string list;
  BOOST_TEST_REQUIRE(Eventually([&] {
    list = servers.instance(1).GetReadiness("/quarantine");
    return list.find(R"("servers_ended":20)") != std::string::npos;
  }));
  const std::string key = R"("fingerprint":")";
  const auto fingerprint = list.substr(list.find(key) + key.size(), 32);
  const auto lifted =
      servers.instance(1).GetReadiness("/quarantine/" + fingerprint, "DELETE");
  BOOST_TEST(IsServed(lifted), lifted);
  for (size_t i : {0, 1}) {
    BOOST_TEST(Eventually([&] {
      return servers.instance(i).GetReadiness("/quarantine").ends_with("[]");
    }));
  }
}

}  // namespace
}  // namespace hibiscuspick::edge
