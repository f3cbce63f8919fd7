// The accounts that callers belong to, and their API keys. Part of one version
// of the configuration and immutable.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::engine {

// What an account may run: `rate_per_second` requests per second, and `burst`
// more at once. A rate of 0 means no limit.
struct AccountAllowance {
  double rate_per_second = 0;
  double burst = 0;
  bool IsLimited() const { return rate_per_second > 0; }
  auto operator<=>(const AccountAllowance&) const = default;
};

struct ClientAccount {
  ClientAccountId id;
  // Replaces the priority of the route; 0 is the most urgent.
  std::optional<int> priority;
  AccountAllowance allowance;
  // Binds in addition to the route's.
  AllowedDataCentres allowed_data_centres;
};

// Why a key or an account of the configuration is not used.
enum class AccountFault {
  kEmptyKey,
  // The key stands in more than one account; none of them gets it.
  kSharedKey,
  kMissingName,
  // Two accounts have the same name; neither is used.
  kSharedName,
};

// One finding for the log. Never holds a key.
struct AccountFinding {
  AccountFault fault;
  // The account's name and its position in the configuration.
  ClientAccountId account;
  size_t position = 0;
};

// An account with its keys, as configured.
struct AccountWithKeys {
  ClientAccount account;
  std::vector<std::string> keys;
};

struct ClientAccounts {
  std::vector<ClientAccount> accounts;
  std::unordered_map<ClientAccountId, size_t> by_id;

  // A key and the index of its account.
  struct KeyEntry {
    uint64_t hash = 0;
    std::string key;
    size_t account = 0;
  };
  // Open addressing with linear probing; the size is a power of two and at
  // least twice the number of keys. Entries with an empty key are free.
  std::vector<KeyEntry> key_table;
  uint64_t hash_seed = 0;
};

// Builds the table. Faulty keys and accounts are left out and reported in
// `findings`, so that a request with such a key is denied and the rest of the
// configuration holds. `hash_seed` is random for each process, since a caller
// who knew it could choose keys that collide.
ClientAccounts MakeClientAccounts(std::vector<AccountWithKeys> configured,
                                  uint64_t hash_seed,
                                  std::vector<AccountFinding>* findings);

// The account of the key; nullptr if there is none. The time doesn't depend on
// how many characters of a key are right.
const ClientAccount* FindAccountByKey(const ClientAccounts& accounts,
                                      std::string_view key);

// The account of that name; nullptr if there is none.
const ClientAccount* FindAccount(const ClientAccounts& accounts,
                                 const ClientAccountId& id);

// The data centres that both a route and an account allow.
AllowedDataCentres CommonDataCentres(const AllowedDataCentres& route,
                                     const AllowedDataCentres& account);

}  // namespace hibiscuspick::engine
