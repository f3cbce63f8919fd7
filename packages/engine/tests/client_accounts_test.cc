#include "hibiscuspick/engine/client_accounts.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>

#include "hibiscuspick/base/random.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

constexpr uint64_t kSeed = 5;

AccountWithKeys Account(const std::string& name,
                        std::vector<std::optional<std::string>> keys,
                        const std::string& invalid_field = "") {
  AccountWithKeys account;
  account.account.id = ClientAccountId(name);
  account.keys = std::move(keys);
  account.invalid_field = invalid_field;
  return account;
}

std::string NameOf(const ClientAccount* account) {
  return account == nullptr ? "" : account->id.text;
}

// Every kind of fault, and beside each a key that must stay valid.
const std::vector<AccountWithKeys> kConfigured = {
    Account("a", {"key-a1", "key-a2", "key-a1", "shared"}),
    Account("b", {"", "key-b", std::nullopt, "shared"}),
    Account("", {"key-nameless", "in-nameless"}),
    Account("twin", {"key-twin-1"}),
    Account("twin", {"key-twin-2"}),
    Account("line\r\nbreak", {"key-break"}),
    Account(" space", {"key-space"}),
    Account(std::string(257, 'x'), {"key-long"}),
    Account("field", {"key-field"}, "rate must be a number"),
    Account("c", {"key-c", "in-nameless", std::string(5000, 'k')}),
};

struct KeyRow {
  std::string key;
  const char* account;
};

std::ostream& operator<<(std::ostream& out, const KeyRow& row) {
  return out << row.key.substr(0, 20);
}

const KeyRow kKeys[] = {
    {"key-a1", "a"},
    {"key-a2", "a"},
    {"key-b", "b"},
    {"key-c", "c"},
    {"", ""},
    {"shared", ""},
    {"key-nameless", ""},
    {"in-nameless", ""},
    {"key-twin-1", ""},
    {"key-twin-2", ""},
    {"key-break", ""},
    {"key-space", ""},
    {"key-long", ""},
    {"key-field", ""},
    {"key-a", ""},
    {"key-a11", ""},
    {"KEY-A1", ""},
    {std::string("key-a1\0", 7), ""},
    {"unknown", ""},
    {std::string(5000, 'k'), "c"},
};

// Failures: a faulty account makes the valid ones unusable, or its key is
// served.
BOOST_DATA_TEST_CASE(KeysNameTheirAccount, bdata::make(kKeys), row) {
  std::vector<AccountFinding> findings;
  const auto accounts = MakeClientAccounts(kConfigured, kSeed, &findings);
  BOOST_TEST(NameOf(FindAccountByKey(accounts, row.key)) == row.account);
}

BOOST_AUTO_TEST_CASE(EachFaultIsReportedOnceWithoutTheKey) {
  std::vector<AccountFinding> findings;
  const auto accounts = MakeClientAccounts(kConfigured, kSeed, &findings);
  std::multiset<std::pair<AccountFault, size_t>> found;
  for (const auto& it : findings) {
    found.insert({it.fault, it.position});
    BOOST_TEST(it.detail.find("key-") == std::string::npos);
  }
  const std::multiset<std::pair<AccountFault, size_t>> expected = {
      {AccountFault::kEmptyKey, 1},    {AccountFault::kInvalidKey, 1},
      {AccountFault::kSharedKey, 1},   {AccountFault::kSharedKey, 9},
      {AccountFault::kMissingName, 2}, {AccountFault::kSharedName, 4},
      {AccountFault::kInvalidName, 5}, {AccountFault::kInvalidName, 6},
      {AccountFault::kInvalidName, 7}, {AccountFault::kInvalidField, 8}};
  BOOST_TEST((found == expected));
  BOOST_TEST(NameOf(FindAccount(accounts, ClientAccountId("b"))) == "b");
  for (const auto* it : {"twin", "field", "", "nobody"}) {
    BOOST_TEST(FindAccount(accounts, ClientAccountId(it)) == nullptr);
  }
  const ClientAccounts none = MakeClientAccounts({}, kSeed, &findings);
  BOOST_TEST(FindAccountByKey(none, "key-a1") == nullptr);
  BOOST_TEST(FindAccountByKey(ClientAccounts(), "key-a1") == nullptr);
}

// Failures: at the design size the table takes tens of MB of an instance, or
// finds a wrong account.
BOOST_AUTO_TEST_CASE(TenThousandAccountsFitInAFewMegabytes) {
  constexpr size_t kAccounts = 10000;
  constexpr size_t kKeysEach = 4;
  Random random(3);
  std::vector<AccountWithKeys> configured;
  for (size_t i = 0; i < kAccounts; ++i) {
    configured.push_back(Account("account-" + std::to_string(i), {}));
    for (size_t k = 0; k < kKeysEach; ++k) {
      std::string key(32, ' ');
      for (auto& c : key) c = static_cast<char>('A' + random.Below(26));
      configured.back().keys.emplace_back(key);
    }
  }
  std::vector<AccountFinding> findings;
  const auto accounts = MakeClientAccounts(configured, kSeed, &findings);
  BOOST_TEST(findings.empty());
  for (const auto& it : configured) {
    for (const auto& key : it.keys) {
      BOOST_TEST_REQUIRE(FindAccountByKey(accounts, *key) != nullptr);
      BOOST_TEST((FindAccountByKey(accounts, *key)->id == it.account.id));
    }
  }
  const size_t bytes =
      accounts.keys.capacity() * sizeof(ClientAccounts::KeyEntry) +
      accounts.slots.capacity() * sizeof(uint32_t) +
      accounts.key_text.capacity() +
      accounts.accounts.capacity() * sizeof(ClientAccount);
  BOOST_TEST(bytes < (5U << 20));
}

BOOST_AUTO_TEST_CASE(AccountsPriorityReplacesTheRoutes) {
  Route route;
  route.priority = 3;
  ClientAccount account;
  BOOST_TEST(PriorityFor(route, nullptr) == 3);
  BOOST_TEST(PriorityFor(route, &account) == 3);
  account.priority = 0;
  BOOST_TEST(PriorityFor(route, &account) == 0);
  account.priority = 7;
  BOOST_TEST(PriorityFor(route, &account) == 7);
}

BOOST_AUTO_TEST_CASE(BothRestrictionsApply) {
  const std::set<DataCentreId> ab = {DataCentreId("a"), DataCentreId("b")};
  const std::set<DataCentreId> bc = {DataCentreId("b"), DataCentreId("c")};
  BOOST_TEST((CommonDataCentres({}, {}) == std::nullopt));
  BOOST_TEST((CommonDataCentres(ab, {}) == ab));
  BOOST_TEST((CommonDataCentres({}, ab) == ab));
  BOOST_TEST((CommonDataCentres(ab, bc) == std::set{DataCentreId("b")}));
  BOOST_TEST((CommonDataCentres(ab, std::set{DataCentreId("c")}) ==
              std::set<DataCentreId>()));
}

BOOST_AUTO_TEST_CASE(AccessFollowsRouteKeyAndAgeOfTheKeys) {
  const ClientAccount account;
  const struct {
    bool is_public;
    CallerCredentials caller;
    Access confirmed;
    Access unconfirmed;
  } rows[] = {{false, {false, nullptr}, Access::kDenied, Access::kDenied},
              {false, {true, nullptr}, Access::kDenied, Access::kUnconfirmed},
              {false, {true, &account}, Access::kGranted, Access::kUnconfirmed},
              {true, {false, nullptr}, Access::kGranted, Access::kGranted},
              {true, {true, nullptr}, Access::kGranted, Access::kGranted},
              {true, {true, &account}, Access::kGranted, Access::kUnconfirmed}};
  for (const auto& it : rows) {
    BOOST_TEST((DecideAccess(it.is_public, it.caller, true) == it.confirmed));
    BOOST_TEST(
        (DecideAccess(it.is_public, it.caller, false) == it.unconfirmed));
  }
}

}  // namespace
}  // namespace hibiscuspick::engine
