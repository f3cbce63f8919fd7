#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>

#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

using Keys = std::map<std::string, std::string>;

std::shared_ptr<const engine::ClientAccounts> MakeAccounts(
    const Keys& keys, const engine::AllowedDataCentres& allowed = {}) {
  std::vector<engine::AccountWithKeys> configured;
  for (const auto& [key, account] : keys) {
    configured.push_back({{ClientAccountId(account)}, {key}});
    configured.back().account.allowed_data_centres = allowed;
  }
  std::vector<engine::AccountFinding> findings;
  return std::make_shared<engine::ClientAccounts>(
      engine::MakeClientAccounts(configured, 1, &findings));
}

// How a server behaves before it answers.
enum class Path { kLocal, kRelay, kSender, kRetry, kHedge, kRemainder };

// Two instances over eight shards, the odd ones in the second data centre, and
// a service for plain requests.
struct Pair {
  static constexpr size_t kShards = 8;
  TrafficFixture local;
  TrafficFixture remote{"there"};
  std::vector<std::string> seen;
  std::mutex mutex;

  explicit Pair(Path path = Path::kLocal,
                std::optional<Millis> revoke_after = {})
      : local("here", revoke_after) {
    engine::GatherRule rule;
    rule.top = 3;
    rule.min_coverage = path == Path::kRemainder ? 7.0 / kShards : 1;
    for (size_t i = 0; i <= kShards; ++i) {
      const std::string service = "s-" + std::to_string(i);
      if (i < kShards) rule.shards.emplace_back(service);
      for (int k = 0; k < 2; ++k) {
        local.AddServer(service, [=, this](const std::string& it) {
          return Reply(path, i, it);
        });
        local.entries().back().data_centre =
            DataCentreId(i % 2 == 0 ? "here" : "there");
      }
    }
    for (const auto* prefix : {"/g/", "/p/", "/open/"}) {
      auto& route = local.AddRoute(prefix);
      route.idempotency = engine::Idempotency::kIdempotent;
      route.split = {{ServiceId("s-8"), 1}};
      if (prefix[1] == 'g') route.gather = rule;
      route.is_public = prefix[1] == 'o';
    }
    local.config().accounts = MakeAccounts({{"key-a", "a"}, {"key-b", "b"}});
    local.Publish();
    local.CopyConfigTo(&remote);
    if (path == Path::kSender) SetPeers({remote.peer()}, {});
    if (path == Path::kRelay || path == Path::kRemainder) {
      SetPeers({}, {remote.peer()});
    }
  }

  ScriptedReply Reply(Path path, size_t i, const std::string& request) {
    const std::lock_guard lock(mutex);
    seen.push_back(request);
    // The first request of the shard of this path is not answered in time.
    const bool first = i == 3 && shard_3_requests_++ == 0;
    ScriptedReply reply;
    reply.text = ValidReply(request, "stamp-" + std::to_string(i),
                            std::string(engine::kRecordBytes, 'r'));
    if (first && path == Path::kRetry) {
      reply = {.text = "", .resets = true};
    } else if (first && path == Path::kHedge) {
      reply = {.text = "", .silent = true};
    } else if (path == Path::kRemainder && (i == 1 || i == 3)) {
      reply.wait_ms = 700;
    }
    return reply;
  }
  void SetPeers(const std::vector<engine::Peer>& senders,
                const std::vector<engine::Peer>& relays) {
    local.OnLoop([&] {
      local.server().SetPeers(local.peer(), senders, relays, {2, 0});
    });
  }
  std::vector<std::string> Seen() {
    const std::lock_guard lock(mutex);
    return seen;
  }
  // Sends with a key; returns the status.
  std::string Get(const std::string& path, const std::string& key,
                  const std::string& more = "") const {
    const auto answer = local.SendRequest(
        "GET " + path,
        (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") + more);
    return answer.substr(0, answer.find(' ', 9)).substr(9);
  }

 private:
  int shard_3_requests_ = 0;
};

// Values of all headers of that name, in any case, joined by commas.
std::string AllValues(const std::string& text, const std::string& name) {
  RequestReader reader(65536, 65536);
  std::string rest = text;
  if (reader.Read(&rest) != ReadState::kDone) return "unreadable";
  std::string values;
  for (const auto& it : reader.Take().headers) {
    if (!EqualsIgnoreCase(it.name, name)) continue;
    values += (values.empty() ? "" : ",") + it.value;
  }
  return values;
}

struct StatusRow {
  const char* path;
  const char* key;
  const char* status;
  // The account that the server gets; unused if no server gets the request.
  const char* account;
};

std::ostream& operator<<(std::ostream& out, const StatusRow& row) {
  return out << row.path << " " << row.key;
}

const StatusRow kStatuses[] = {
    {"/p/x", "key-a", "200", "a"},   {"/p/x", "key-c", "401", ""},
    {"/p/x", "", "401", ""},         {"/open/x", "key-a", "200", "a"},
    {"/open/x", "key-c", "200", ""}, {"/open/x", "", "200", ""},
    {"/g/x", "key-b", "200", "b"},   {"/g/x", "key-c", "401", ""},
    {"/none/x", "", "404", ""},
};

BOOST_DATA_TEST_CASE(StatusFollowsRouteAndKey, bdata::make(kStatuses), row) {
  Pair pair;
  pair.SetPeers({pair.remote.peer()}, {});
  BOOST_TEST(pair.Get(row.path, row.key) == row.status);
  const bool served = std::string(row.status) == "200";
  const auto seen = pair.Seen();
  BOOST_TEST(seen.empty() == !served);
  for (const auto& it : seen) {
    BOOST_TEST(AllValues(it, "Q-Account") == row.account);
    BOOST_TEST(AllValues(it, "Authorization") == "");
  }
}

// Failures: a server learns the key, or sees an account that the caller named.
BOOST_AUTO_TEST_CASE(ServersGetTheAccountAndNeverTheKeyOnEveryPath) {
  const std::string forged =
      "AUTHORIZATION: Bearer key-a\r\nauthorization: Basic evil\r\n"
      "Q-Account: evil\r\nq-account: evil\r\nHp-Account: b\r\n"
      "hp-shards: 1\r\nHp-Config-Version: 9\r\nConnection: Q-Account\r\n";
  for (const auto path : {Path::kLocal, Path::kRelay, Path::kSender,
                          Path::kRetry, Path::kHedge, Path::kRemainder}) {
    BOOST_TEST_CONTEXT("path " << static_cast<int>(path)) {
      Pair pair(path);
      BOOST_TEST(pair.Get("/g/x", "key-a", forged) == "200");
      const auto seen = pair.Seen();
      const bool repeats = path == Path::kRetry || path == Path::kHedge;
      BOOST_TEST(seen.size() >= Pair::kShards + (repeats ? 1 : 0));
      for (const auto& it : seen) {
        BOOST_TEST(AllValues(it, "Q-Account") == "a");
        for (const auto* hidden : {"key-a", "evil", "Hp-", "hp-", "uthoriz"}) {
          BOOST_TEST(it.find(hidden) == std::string::npos);
        }
      }
    }
  }
}

// Failure: peers get the key, or not the account.
BOOST_AUTO_TEST_CASE(PeersGetTheAccountOnly) {
  for (const bool is_sender : {false, true}) {
    Pair pair;
    RawServer peer([](auto&) {
      return ScriptedReply{
          .text = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"};
    });
    auto known = pair.remote.peer();
    known.query_address.port = peer.port();
    if (is_sender) {
      pair.SetPeers({known}, {});
    } else {
      pair.SetPeers({}, {known});
    }
    BOOST_TEST(pair.Get("/g/x", "key-a", "Hp-Account: b\r\n") == "200");
    BOOST_TEST_REQUIRE(peer.requests().size() == 1);
    const auto request = peer.requests()[0];
    BOOST_TEST(AllValues(request, "Hp-Account") == "a");
    BOOST_TEST(AllValues(request, "Q-Account") == "");
    BOOST_TEST(request.find("key-a") == std::string::npos);
  }
}

struct VersionsRow {
  Keys entry;
  Keys other;
  const char* status;
  const char* account;
};

std::ostream& operator<<(std::ostream& out, const VersionsRow& row) {
  return out << row.entry.size() << row.other.size() << row.status;
}

const VersionsRow kVersions[] = {
    {{{"key-a", "a"}}, {{"key-b", "b"}}, "200", "a"},
    {{{"key-b", "b"}}, {{"key-a", "a"}}, "401", ""},
    {{{"key-a", "a"}}, {{"key-a", "c"}}, "200", "a"},
    {{{"key-a", "a"}}, {}, "200", "a"},
};

// Failure: the other instance's version decides over the key. Also with the
// same version number, which a faulty writer may use twice.
BOOST_DATA_TEST_CASE(EntryDecidesByItsOwnVersion,
                     bdata::make(kVersions) * bdata::xrange(1, 4) *
                         bdata::make({false, true}),
                     row, other_version, is_sender) {
  Pair pair;
  pair.local.config().accounts = MakeAccounts(row.entry);
  pair.remote.config().accounts = MakeAccounts(row.other);
  pair.local.Publish(2);
  pair.remote.Publish(static_cast<uint64_t>(other_version) + 0);
  if (is_sender) {
    pair.SetPeers({pair.remote.peer()}, {});
  } else {
    pair.SetPeers({}, {pair.remote.peer()});
  }
  BOOST_TEST(pair.Get("/g/x", "key-a") == row.status);
  const auto seen = pair.Seen();
  BOOST_TEST(seen.size() == (row.account[0] != '\0' ? Pair::kShards : 0));
  for (const auto& it : seen)
    BOOST_TEST(AllValues(it, "Q-Account") == row.account);
}

// Failure: a key moves to another account while a peer has the query; after the
// peer's refusal the query is served for the other account, or denied.
BOOST_AUTO_TEST_CASE(RequestKeepsItsVersionWhenAPeerRefuses) {
  Pair pair;
  RawServer peer([&](auto&) {
    pair.local.config().accounts = MakeAccounts({{"key-a", "c"}});
    pair.local.Publish(2);
    return ScriptedReply{
        .text = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"};
  });
  auto known = pair.remote.peer();
  known.query_address.port = peer.port();
  pair.SetPeers({known}, {});
  BOOST_TEST(pair.Get("/g/x", "key-a") == "200");
  for (const auto& it : pair.Seen())
    BOOST_TEST(AllValues(it, "Q-Account") == "a");
  BOOST_TEST(pair.Get("/p/x", "key-a") == "200");
  BOOST_TEST(AllValues(pair.Seen().back(), "Q-Account") == "c");
}

// Failure: a restricted account's requests reach servers or peers in other data
// centres.
BOOST_AUTO_TEST_CASE(AccountsDataCentresRestrictServersAndPeers) {
  Pair pair;
  pair.local.entries()[17].data_centre = DataCentreId("there");
  pair.local.config().routes[0].gather->min_coverage = 0.5;
  pair.local.config().accounts =
      MakeAccounts({{"key-a", "a"}}, {{DataCentreId("here")}});
  pair.local.Publish();
  pair.local.CopyConfigTo(&pair.remote);
  RawServer peer(
      [](auto&) { return ScriptedReply{.text = "", .closes = true}; });
  auto known = pair.remote.peer();
  known.query_address.port = peer.port();
  pair.SetPeers({known}, {known});
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(pair.Get("/p/x", "key-a") == "200");
    BOOST_TEST(pair.Get("/g/x", "key-a") == "200");
  }
  BOOST_TEST(peer.requests().empty());
  const auto& servers = pair.local.servers();
  for (size_t i = 0; i < servers.size(); ++i) {
    const bool is_here =
        pair.local.entries()[i].data_centre == DataCentreId("here");
    BOOST_TEST((is_here || servers[i]->requests().empty()));
  }
  // Both restrictions together leave no data centre.
  pair.local.config().routes[1].allowed_data_centres = {DataCentreId("there")};
  pair.local.Publish();
  BOOST_TEST(pair.Get("/p/x", "key-a") == "503");
}

// Failure: with strict revocation a removed key is served while the store is
// unreachable, or keys are denied after the state was confirmed again.
BOOST_AUTO_TEST_CASE(UnconfirmedKeysAreRefusedIfRevocationIsStrict) {
  constexpr Millis kRevokeAfter{400};
  Pair pair(Path::kLocal, kRevokeAfter);
  const auto confirm = [&] {
    pair.local.OnLoop(
        [&] { pair.local.server().RecordConfirmation(SteadyNow()); });
  };
  BOOST_TEST(pair.Get("/p/x", "key-a") == "503");
  confirm();
  BOOST_TEST(pair.Get("/p/x", "key-a") == "200");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const size_t before = pair.Seen().size();
  for (const auto* path : {"/p/x", "/g/x", "/open/x"}) {
    BOOST_TEST(pair.Get(path, "key-a") == "503");
  }
  BOOST_TEST(pair.Get("/p/x", "") == "401");
  BOOST_TEST(pair.Seen().size() == before);
  BOOST_TEST(pair.Get("/open/x", "") == "200");
  confirm();
  BOOST_TEST(pair.Get("/p/x", "key-a") == "200");
  BOOST_TEST(pair.Get("/p/x", "key-c") == "401");
}

BOOST_AUTO_TEST_CASE(WithoutAConfigurationKeysAreNotDenied) {
  const TrafficFixture instance;
  BOOST_TEST(instance.SendRequest("GET /p/x").starts_with("HTTP/1.1 503 "));
}

BOOST_AUTO_TEST_CASE(WithoutAccountsTheKeyIsPassedOn) {
  Pair pair;
  pair.local.config().accounts = nullptr;
  pair.local.Publish();
  BOOST_TEST(pair.Get("/p/x", "key-a", "Q-Account: own\r\n") == "200");
  BOOST_TEST(AllValues(pair.Seen().back(), "Authorization") == "Bearer key-a");
  BOOST_TEST(AllValues(pair.Seen().back(), "Q-Account") == "own");
}

}  // namespace
}  // namespace hibiscuspick::edge
