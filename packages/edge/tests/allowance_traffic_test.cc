// Allowances of client accounts over several instances on the loopback
// interface.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "hibiscuspick/engine/client_accounts.h"
#include "traffic_fixture.h"

namespace hibiscuspick::edge {
namespace {

constexpr double kRate = 100;
constexpr double kBurst = 10;
constexpr engine::AllowanceBounds kBounds{Millis(1000), 0.1, 5};
// (rate x window + burst) x (1 + overage) + slack
constexpr size_t kBound = 126;

void SleepFor(Millis it) { std::this_thread::sleep_for(it.ToMicros()); }

// Instances of one data centre with the account "a" (key "k") and one service.
struct Fleet {
  std::deque<TrafficFixture> instances;
  RawServer* server = nullptr;
  // When requests arrived at the server.
  std::mutex mutex;
  std::vector<Millis> ran_at;
  std::vector<engine::Peer> counting;
  uint64_t version = 1;

  explicit Fleet(size_t size, double rate = kRate) {
    for (size_t i = 0; i < size; ++i) Add();
    const auto script = [this](const std::string& it) {
      const std::lock_guard lock(mutex);
      ran_at.push_back(SteadyNow());
      return ScriptedReply{
          .text = ValidReply(it, "s", std::string(engine::kRecordBytes, 'r'))};
    };
    auto& first = instances.front();
    server = &first.AddServer("one", script);
    first.AddRoute("/p/").split = {{ServiceId("one"), 1}};
    auto& gather = first.AddRoute("/g/");
    gather.idempotency = engine::Idempotency::kIdempotent;
    gather.gather.emplace();
    gather.gather->top = 1;
    gather.gather->shards = {ServiceId("one")};
    SetRate(rate);
  }
  ~Fleet() {
    // The servers of the first instance call back into this object.
    for (auto& it : instances) it.servers().clear();
  }

  TrafficFixture& Add(const std::string& data_centre = "dc") {
    return instances.emplace_back(data_centre, std::nullopt,
                                  "edge-" + std::to_string(instances.size()),
                                  kBounds);
  }
  void SetRate(double rate, bool with_accounts = true) {
    engine::AccountWithKeys account;
    account.account.id = ClientAccountId("a");
    account.account.allowance = {rate, kBurst};
    account.keys = {"k"};
    std::vector<engine::AccountFinding> findings;
    auto& config = instances.front().config();
    config.accounts = nullptr;
    if (with_accounts) {
      config.accounts = std::make_shared<const engine::ClientAccounts>(
          engine::MakeClientAccounts({account}, 1, &findings));
    }
    for (auto& it : instances) {
      it.config() = config;
      it.entries() = instances.front().entries();
      it.Publish(version);
    }
    ++version;
  }
  // Sets the instances that count, at all instances.
  void SetCounting(std::vector<engine::Peer> peers) {
    counting = std::move(peers);
    for (auto& it : instances) Tell(&it);
  }
  void Tell(TrafficFixture* fixture) {
    CountingInstances lists;
    lists.own = fixture->peer().id;
    lists.instances = instances.size();
    lists.peers = counting;
    for (const auto& it : counting) {
      lists.candidates[it.data_centre].push_back(it.id);
    }
    fixture->OnLoop([&] { fixture->server().SetCountingInstances(lists); });
  }

  std::string Send(size_t instance, const std::string& path = "/p/x") {
    return instances[instance].SendRequest("GET " + path,
                                           "Authorization: Bearer k\r\n");
  }
  // Sends requests for `time` in turn to `entries` instances and returns the
  // answers' statuses, by their first digits.
  std::map<std::string, size_t> SendFor(Millis time, size_t entries,
                                        const std::string& path = "/p/x",
                                        Millis pause = Millis(1)) {
    std::map<std::string, size_t> counts;
    const Millis end = SteadyNow() + time;
    for (size_t i = 0; SteadyNow() < end; ++i) {
      const auto answer = Send(i % entries, path);
      constexpr size_t kStatusAt = 9;
      constexpr size_t kStatusLength = 3;
      ++counts[answer.size() > kStatusAt
                   ? answer.substr(kStatusAt, kStatusLength)
                   : "none"];
      if (answer.find("429") == kStatusAt || answer.find("503") == kStatusAt) {
        BOOST_TEST(!HeaderValue(answer, "Retry-After").empty());
      }
      SleepFor(pause);
    }
    return counts;
  }
  size_t RanCount() {
    const std::lock_guard lock(mutex);
    return ran_at.size();
  }
  // The most requests that ran within a window of the settings' length.
  size_t MostInWindow() {
    const std::lock_guard lock(mutex);
    size_t most = 0;
    for (size_t first = 0, last = 0; last < ran_at.size(); ++last) {
      while (ran_at[last] - ran_at[first] > kBounds.window) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }
};

// The number of requests of the account for which that happened.
int CountOf(TrafficFixture* instance, const std::string& event) {
  const auto metrics = instance->GetReadiness("/metrics");
  const std::string name =
      "hibiscuspick_edge_account_requests_total{account=\"a\",event=\"" +
      event + "\"} ";
  const size_t at = metrics.find(name);
  return at == std::string::npos ? -1
                                 : std::stoi(metrics.substr(at + name.size()));
}

// Time for loans to reach the counting instance and for tokens to refill.
constexpr Millis kSettleTime{400};

// Checks that requests of half the rate are admitted, that more than the rate
// are held to the allowance, and that what it allows is admitted then too.
void CheckHeld(Fleet* fleet, size_t entries, const std::string& path) {
  SleepFor(kSettleTime);
  const auto few =
      fleet->SendFor(Millis(500), entries, path, Millis(2 * 1000 / kRate));
  BOOST_TEST(few.size() == 1);
  BOOST_TEST(few.contains("200"));
  constexpr double kSeconds = 2;
  const auto counts = fleet->SendFor(Millis(1000 * kSeconds), entries, path);
  BOOST_TEST(counts.at("200") >= 0.8 * kRate * kSeconds);
  BOOST_TEST(counts.contains("429"));
  BOOST_TEST(counts.size() == 2);
  BOOST_TEST(fleet->MostInWindow() <= kBound);
}

// Failure: an account ran as many requests as it sent.
BOOST_AUTO_TEST_CASE(RequestsAtOneInstanceAreHeldToTheAllowance) {
  Fleet fleet(3);
  fleet.SetCounting({fleet.instances[1].peer()});
  CheckHeld(&fleet, 1, "/p/x");
  auto& entry = fleet.instances[0];
  BOOST_TEST(CountOf(&entry, "above_allowance") > 0);
  BOOST_TEST(CountOf(&entry, "admitted") == static_cast<int>(fleet.RanCount()));
}

// Failure: an allowance divided evenly refused what one instance got, or an
// undivided one was granted at each instance.
BOOST_AUTO_TEST_CASE(RequestsSpreadOverInstancesAreHeldToTheAllowance) {
  Fleet fleet(3);
  fleet.SetCounting({fleet.instances[0].peer(), fleet.instances[2].peer()});
  CheckHeld(&fleet, 3, "/p/x");
}

// Half of the shares are lent in the other data centre, where no request
// enters. Failure: half of the allowance was refused.
BOOST_AUTO_TEST_CASE(DataCentresExchangeTokens) {
  Fleet fleet(1);
  fleet.Add("far");
  fleet.SetRate(kRate);
  fleet.SetCounting({fleet.instances[0].peer(), fleet.instances[1].peer()});
  CheckHeld(&fleet, 1, "/p/x");
}

// A forwarded query is counted once, at the sender. The entry instance refuses
// by itself while it knows that there are no tokens.
BOOST_AUTO_TEST_CASE(ForwardedQueriesAreCountedAtTheSender) {
  Fleet fleet(2);
  auto& entry = fleet.instances[0];
  auto& sender = fleet.instances[1];
  fleet.SetCounting({sender.peer()});
  entry.OnLoop([&] {
    entry.server().SetPeers(entry.peer(), {sender.peer()}, {}, {2, 0});
  });
  CheckHeld(&fleet, 1, "/g/x");
  const int refused_at_entry = CountOf(&entry, "above_allowance");
  const int refused_at_sender = CountOf(&sender, "above_allowance");
  BOOST_TEST(refused_at_sender > 0);
  BOOST_TEST(refused_at_entry > refused_at_sender);
  BOOST_TEST(fleet.Send(0, "/g/x").find("Hp-") == std::string::npos);
}

// The counting instance is dead or hangs: the next one counts after the
// time-out. Failure: each request waited for the time-out, or all were refused.
BOOST_AUTO_TEST_CASE(NextInstanceCountsIfTheFirstDoesNotAnswer) {
  for (const bool hangs : {false, true}) {
    Fleet fleet(3);
    RawServer silent(
        [](const auto&) { return ScriptedReply{.text = "", .silent = true}; });
    auto lost = fleet.instances[0].peer();
    lost.id = InstanceId("lost");
    lost.query_address.port = hangs ? silent.port() : FreePort();
    fleet.SetCounting({lost, fleet.instances[1].peer()});
    SleepFor(Millis(1500));
    const auto counts = fleet.SendFor(Millis(1500), 2);
    BOOST_TEST(counts.at("200") >= 0.5 * kRate * 1.5);
    BOOST_TEST(fleet.MostInWindow() <= kBound);
  }
}

// No counting instance answers: requests within the own share run, further ones
// get 503 since the allowance may not be used up.
BOOST_AUTO_TEST_CASE(WithoutCountingInstanceTheOwnShareIsUsed) {
  Fleet fleet(2);
  auto lost = fleet.instances[0].peer();
  lost.id = InstanceId("lost");
  lost.query_address.port = FreePort();
  fleet.SetCounting({lost});
  SleepFor(Millis(1500));
  const auto counts = fleet.SendFor(Millis(1500), 1);
  BOOST_TEST(counts.at("200") >= 0.3 * kRate * 1.5);
  BOOST_TEST(counts.at("200") <= 0.7 * (kRate * 1.5 + kBurst));
  BOOST_TEST(counts.contains("503"));
  BOOST_TEST(!counts.contains("429"));
}

// Failure: a counting instance that restarts grants the burst again.
BOOST_AUTO_TEST_CASE(RestartedCountingInstanceGrantsNoSecondBurst) {
  Fleet fleet(2);
  fleet.Add();
  fleet.SetRate(kRate);
  fleet.SetCounting({fleet.instances[2].peer()});
  SleepFor(kSettleTime);
  fleet.SendFor(Millis(700), 2);
  fleet.instances.pop_back();
  fleet.Add();
  fleet.SetRate(kRate);
  fleet.SetCounting({fleet.instances[2].peer()});
  const auto counts = fleet.SendFor(Millis(2000), 2);
  BOOST_TEST(fleet.MostInWindow() <= kBound);
  BOOST_TEST(counts.at("200") >= 0.4 * kRate * 2);
}

// Answers with tokens are lost: the tokens are lost too. Failure: they were
// granted twice.
BOOST_AUTO_TEST_CASE(LostAnswersGrantNothingTwice) {
  Fleet fleet(2);
  const auto& real = fleet.instances[1].peer();
  int messages = 0;
  RawServer relay([&](const std::string& message) {
    RawClient client(real.query_address.port);
    client.Send(message);
    const auto answer = client.Receive("]}");
    const bool loses = ++messages % 3 == 0;
    return ScriptedReply{.text = loses ? "" : answer, .closes = loses};
  });
  auto relayed = real;
  relayed.query_address.port = relay.port();
  fleet.SetCounting({relayed});
  SleepFor(kSettleTime);
  const auto counts = fleet.SendFor(Millis(2000), 2);
  BOOST_TEST(fleet.MostInWindow() <= kBound);
  BOOST_TEST(counts.at("200") >= 0.3 * kRate * 2);
}

// A lower limit applies one window after it is in force.
BOOST_AUTO_TEST_CASE(LoweredLimitApplies) {
  Fleet fleet(2);
  fleet.SetCounting({fleet.instances[1].peer()});
  SleepFor(kSettleTime);
  fleet.SendFor(Millis(500), 2);
  constexpr double kLowRate = 20;
  fleet.SetRate(kLowRate);
  fleet.SendFor(kBounds.window, 2);
  const size_t before = fleet.RanCount();
  fleet.SendFor(kBounds.window, 2);
  constexpr double kLowBound = (kLowRate + kBurst) * 1.1 + 5;
  BOOST_TEST(fleet.RanCount() - before <= kLowBound);
}

// Without accounts or without a rate no message is sent and nothing is refused.
BOOST_AUTO_TEST_CASE(NoMessagesWithoutLimits) {
  for (const bool with_accounts : {false, true}) {
    Fleet fleet(1, 0);
    if (!with_accounts) fleet.SetRate(kRate, false);
    RawServer counting(
        [](const auto&) { return ScriptedReply{.text = "", .silent = true}; });
    auto peer = fleet.instances[0].peer();
    peer.id = InstanceId("counting");
    peer.query_address.port = counting.port();
    fleet.SetCounting({peer});
    const auto counts = fleet.SendFor(Millis(700), 1);
    BOOST_TEST(counts.size() == 1);
    BOOST_TEST(counts.contains("200"));
    BOOST_TEST(counting.requests().empty());
  }
}

// A caller's request for the path of the messages, forwarded to a sender, is a
// query there.
BOOST_AUTO_TEST_CASE(CallersCannotSendMessages) {
  Fleet fleet(2);
  auto& entry = fleet.instances[0];
  fleet.SetCounting({fleet.instances[1].peer()});
  const auto answer = entry.SendRequest(
      "POST /allowance", "Authorization: Bearer k\r\nContent-Length: 0\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 404 "));
}

// Requests that no server could run give their tokens back. Failure: refused
// requests used up the allowance.
BOOST_AUTO_TEST_CASE(RefusedRequestsGiveTheirTokensBack) {
  Fleet fleet(1);
  fleet.SetCounting({fleet.instances[0].peer()});
  SleepFor(kSettleTime);
  auto& instance = fleet.instances[0];
  instance.OnLoop([&] { instance.server().SetServers({}); });
  const auto refused = fleet.SendFor(Millis(500), 1);
  BOOST_TEST(refused.size() == 1);
  BOOST_TEST(refused.contains("503"));
}

}  // namespace
}  // namespace hibiscuspick::edge
