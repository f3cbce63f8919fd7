#include "hibiscuspick/edge/caller_identity.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "mutation.h"
#include "traffic_fixture.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {
namespace {

engine::TrafficConfig ConfigWithAccounts() {
  std::vector<engine::AccountFinding> findings;
  engine::TrafficConfig config;
  config.accounts = std::make_shared<engine::ClientAccounts>(
      engine::MakeClientAccounts({{{ClientAccountId("a")}, {"key-a", "key a"}},
                                  {{ClientAccountId("b")}, {"key-b"}}},
                                 1, &findings));
  return config;
}

struct HeadersRow {
  std::vector<Header> headers;
  const char* account;
  bool has_key = true;
};

std::ostream& operator<<(std::ostream& out, const HeadersRow& row) {
  for (const auto& it : row.headers) out << it.name << ":" << it.value << ";";
  return out;
}

const HeadersRow kHeaders[] = {
    {{}, "", false},
    {{{"Authorization", "Bearer key-a"}}, "a"},
    {{{"authorization", "bearer  key-a "}}, "a"},
    {{{"AUTHORIZATION", "BEARER key a"}}, "a"},
    {{{"Authorization", "Bearer key-c"}}, ""},
    {{{"Authorization", "Bearer key-a, Bearer key-a"}}, ""},
    {{{"Authorization", "Bearer"}}, "", false},
    {{{"Authorization", "Bearer "}}, "", false},
    {{{"Authorization", "Bearerkey-a"}}, "", false},
    {{{"Authorization", "Basic key-a"}}, "", false},
    {{{"Authorization", "key-a"}}, "", false},
    {{{"Authorization", ""}}, "", false},
    {{{"Proxy-Authorization", "Bearer key-a"}}, "", false},
    // Twice, and beside another credential.
    {{{"Authorization", "Bearer key-a"}, {"Authorization", "Bearer key-a"}},
     "a"},
    {{{"Authorization", "Basic x"}, {"authorization", "Bearer key-a"}}, "a"},
    {{{"Authorization", "Bearer key-c"}, {"Authorization", "Bearer key-a"}},
     "a"},
    {{{"Authorization", "Bearer key-a"}, {"Authorization", "Bearer key-b"}},
     ""},
    // Only the key names an account.
    {{{"Q-Account", "a"}, {"Hp-Account", "a"}}, "", false},
};

// Failures: a known key is denied, or something else than one names an account.
BOOST_DATA_TEST_CASE(KeyNamesTheAccount, bdata::make(kHeaders), row) {
  const auto config = ConfigWithAccounts();
  const auto found = FindCredentials(*config.accounts, row.headers);
  BOOST_TEST((found.account ? found.account->id.text : "") == row.account);
  BOOST_TEST(found.has_key == row.has_key);
}

// Failure: some spelling of a request names an account without its key, or
// brings an identity header past the entry instance.
BOOST_AUTO_TEST_CASE(DamagedRequestsNameNoAccountWithoutItsKey) {
  constexpr std::string_view kTokens[] = {"Authorization: ",
                                          "Bearer ",
                                          "key-a",
                                          "\r\n",
                                          "\r\n\r\n",
                                          " ",
                                          "\t",
                                          "Hp-Account: b\r\n",
                                          ":",
                                          "\xff",
                                          "Q-",
                                          "\0",
                                          ",",
                                          "0",
                                          "Q-Account: b\r\n",
                                          "Hp-",
                                          "bear",
                                          "Connection: Q-Id\r\n"};
  const std::string good = TrafficFixture::RequestText(
      "POST /p/x",
      "Authorization: Bearer key-a\r\nHp-Shards: 1\r\n"
      "Q-Account: b\r\nContent-Length: 0\r\n");
  const auto names = TestWireNames();
  const auto config = ConfigWithAccounts();
  const engine::Route route;
  Random random(11);
  size_t granted = 0;
  for (int i = 0; i < 30000; ++i) {
    auto text = testing::Mutate(good, kTokens, &random);
    RequestReader reader({16384, 1000});
    if (reader.Read(&text) != ReadState::kDone) continue;
    HttpRequest request = reader.Take();
    const bool has_key = std::any_of(
        request.headers.begin(), request.headers.end(), [](auto& it) {
          return it.value.ends_with("key-a") || it.value.ends_with("key a") ||
                 it.value.ends_with("key-b");
        });
    const auto access = IdentifyCaller(config, route, names, true, &request);
    granted += access == engine::Access::kGranted ? 1 : 0;
    BOOST_TEST_REQUIRE((access == engine::Access::kGranted) ==
                       !request.account.empty());
    BOOST_TEST_REQUIRE((request.account.empty() || has_key));
    for (const auto& it : request.headers) {
      BOOST_TEST_REQUIRE(!IsIdentityHeader(it.name, names));
    }
  }
  BOOST_TEST(granted > 1000);
}

}  // namespace
}  // namespace hibiscuspick::edge
