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
  std::optional<int> priority = std::nullopt;
  AccountAllowance allowance = {};
  // Binds in addition to the route's.
  AllowedDataCentres allowed_data_centres = std::nullopt;
};

// Why a key or an account of the configuration is not used.
enum class AccountFault {
  kEmptyKey,
  // The key is not a string.
  kInvalidKey,
  // The key stands in more than one account; none of them gets it.
  kSharedKey,
  kMissingName,
  // The name cannot be the value of an HTTP header.
  kInvalidName,
  // Two accounts have the same name; neither is used.
  kSharedName,
  // Another field of the account has an invalid value.
  kInvalidField,
};

// One finding for the log. Never holds a key.
struct AccountFinding {
  AccountFault fault;
  // The account's name and its position in the configuration.
  ClientAccountId account;
  size_t position = 0;
  // For faults of a key: its position in the account.
  size_t key = 0;
  // For kSharedKey and kSharedName: the position of the other account.
  size_t other = 0;
  // For kInvalidField: the field and what it must be.
  std::string detail = {};
};

// An account with its keys, as configured.
struct AccountWithKeys {
  ClientAccount account;
  // A key that could not be decoded is nullopt.
  std::vector<std::optional<std::string>> keys;
  // Set if a field is invalid: names it and says what it must be. All keys of
  // the account are denied.
  std::string invalid_field = {};
};

struct ClientAccounts {
  std::vector<ClientAccount> accounts;
  std::unordered_map<ClientAccountId, size_t> by_id;

  // A key, as a range of `key_text`, and the index of its account. 40,000 keys
  // of 32 characters take 3 MB; a table of entries with a string each would
  // take 8 MB.
  struct KeyEntry {
    uint64_t hash = 0;
    uint32_t begin = 0;
    uint32_t size = 0;
    uint32_t account = 0;
  };
  std::vector<KeyEntry> keys;
  std::string key_text;
  // Open addressing with linear probing: one plus an index in `keys`, 0 if
  // free. The size is a power of two and at least twice the number of keys.
  std::vector<uint32_t> slots;
  uint64_t hash_seed = 0;
};

// Builds the table. Faulty keys and accounts are left out and reported in
// `findings`, so that a request with such a key is denied and the rest of the
// configuration holds. `hash_seed` is random for each process, since a caller
// who knew it could learn from the time of a look-up whether a hash is in use.
ClientAccounts MakeClientAccounts(
    const std::vector<AccountWithKeys>& configured, uint64_t hash_seed,
    std::vector<AccountFinding>* findings);

// The account of the key; nullptr if there is none. The time doesn't depend on
// how many characters of a key are right.
const ClientAccount* FindAccountByKey(const ClientAccounts& accounts,
                                      std::string_view key);

// The account of that name; nullptr if there is none.
const ClientAccount* FindAccount(const ClientAccounts& accounts,
                                 const ClientAccountId& id);

// The priority of an account's requests in every queue; `account` may be
// nullptr.
int PriorityFor(const Route& route, const ClientAccount* account);

// The data centres that both a route and an account allow.
AllowedDataCentres CommonDataCentres(const AllowedDataCentres& route,
                                     const AllowedDataCentres& account);

// What a request says of its caller, and how old the configuration may be.
struct CallerCredentials {
  bool has_key = false;
  // The account of the key; nullptr if it is not known.
  const ClientAccount* account = nullptr;
};

enum class Access {
  kGranted,
  // The route needs a key, and the request has none that is known.
  kDenied,
  // The key may have been added or removed since the configuration was last
  // confirmed.
  kUnconfirmed,
};

// Whether a caller may use a route. `confirmed`: the keys held are recent
// enough to decide by.
Access DecideAccess(bool is_public, const CallerCredentials& caller,
                    bool confirmed);

// Whether the configuration limits what all instances do together: requests of
// accounts, or requests to cold servers. Each may use its share only.
bool DividesLimits(const TrafficConfig& config);

}  // namespace hibiscuspick::engine
