#include "hibiscuspick/engine/client_accounts.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::engine {
namespace {

// A longer name would not fit into the headers of a forwarded query.
constexpr size_t kMaxNameBytes = 256;

// Whether a header carries the name unchanged: a line break would end the
// header, and spaces around a value are trimmed.
bool IsValidName(std::string_view name) {
  constexpr unsigned char kDelete = 0x7f;
  return name.size() <= kMaxNameBytes && !name.starts_with(' ') &&
         !name.ends_with(' ') &&
         std::all_of(name.begin(), name.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte >= ' ' && byte != kDelete;
         });
}

// Compares all characters, so that the time tells nothing about the first one
// that differs.
bool EqualsInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^
                  static_cast<unsigned>(static_cast<unsigned char>(b[i]));
  }
  return difference == 0;
}

// Where a key stands in the configuration.
struct KeyPlace {
  size_t position = 0;
  size_t key = 0;
  bool shared = false;
};
using KeyPlaces = std::unordered_map<std::string_view, KeyPlace>;

class Builder {
 public:
  Builder(const std::vector<AccountWithKeys>& configured,
          std::vector<AccountFinding>* findings)
      : configured_(configured), findings_(findings) {}

  ClientAccounts Build(uint64_t hash_seed) {
    FindSharedNames();
    const auto places = PlaceKeys();
    ClientAccounts built;
    built.hash_seed = hash_seed;
    std::vector<std::optional<uint32_t>> indices(configured_.size());
    for (size_t i = 0; i < configured_.size(); ++i) {
      if (!IsUsable(i)) continue;
      indices[i] = static_cast<uint32_t>(built.accounts.size());
      built.by_id[configured_[i].account.id] = built.accounts.size();
      built.accounts.push_back(configured_[i].account);
    }
    AddKeys(places, indices, &built);
    return built;
  }

 private:
  void AddFinding(AccountFault fault, size_t position, size_t key = 0,
                  size_t other = 0) {
    AccountFinding finding{fault, configured_[position].account.id, position,
                           key, other};
    if (fault == AccountFault::kInvalidField) {
      finding.detail = configured_[position].invalid_field;
    }
    findings_->push_back(std::move(finding));
  }

  void FindSharedNames() {
    shared_name_.resize(configured_.size());
    std::unordered_map<ClientAccountId, size_t> first;
    for (size_t i = 0; i < configured_.size(); ++i) {
      const auto& id = configured_[i].account.id;
      if (id.empty()) continue;
      const auto [it, is_new] = first.try_emplace(id, i);
      if (is_new) continue;
      shared_name_[i] = true;
      shared_name_[it->second] = true;
      AddFinding(AccountFault::kSharedName, i, 0, it->second);
    }
  }

  bool IsUsable(size_t i) {
    const auto& it = configured_[i];
    if (it.account.id.empty()) {
      AddFinding(AccountFault::kMissingName, i);
      return false;
    }
    if (!IsValidName(it.account.id.text)) {
      AddFinding(AccountFault::kInvalidName, i);
      return false;
    }
    if (!it.invalid_field.empty()) {
      AddFinding(AccountFault::kInvalidField, i);
      return false;
    }
    return !shared_name_[i];
  }

  // Also of accounts that aren't used: a key that stands in one of them and in
  // another account is denied too.
  KeyPlaces PlaceKeys() {
    KeyPlaces places;
    for (size_t i = 0; i < configured_.size(); ++i) {
      const auto& keys = configured_[i].keys;
      for (size_t k = 0; k < keys.size(); ++k) {
        if (!keys[k] || keys[k]->empty()) {
          AddFinding(
              keys[k] ? AccountFault::kEmptyKey : AccountFault::kInvalidKey, i,
              k);
          continue;
        }
        const auto [it, is_new] = places.try_emplace(*keys[k], KeyPlace{i, k});
        if (is_new || it->second.position == i) continue;
        it->second.shared = true;
        AddFinding(AccountFault::kSharedKey, i, k, it->second.position);
      }
    }
    return places;
  }

  static void AddKeys(const KeyPlaces& places,
                      const std::vector<std::optional<uint32_t>>& indices,
                      ClientAccounts* built) {
    for (const auto& [key, place] : places) {
      const auto& index = indices[place.position];
      if (place.shared || !index) continue;
      built->keys.push_back({Hash(key, built->hash_seed),
                             static_cast<uint32_t>(built->key_text.size()),
                             static_cast<uint32_t>(key.size()), *index});
      built->key_text += key;
    }
    built->keys.shrink_to_fit();
    built->key_text.shrink_to_fit();
    built->slots.resize(std::bit_ceil(2 * built->keys.size() + 2));
    const size_t mask = built->slots.size() - 1;
    for (size_t i = 0; i < built->keys.size(); ++i) {
      size_t slot = built->keys[i].hash & mask;
      while (built->slots[slot] != 0) slot = (slot + 1) & mask;
      built->slots[slot] = static_cast<uint32_t>(i) + 1;
    }
  }

  const std::vector<AccountWithKeys>& configured_;
  std::vector<AccountFinding>* const findings_;
  std::vector<bool> shared_name_;
};

}  // namespace

ClientAccounts MakeClientAccounts(
    const std::vector<AccountWithKeys>& configured, uint64_t hash_seed,
    std::vector<AccountFinding>* findings) {
  return Builder(configured, findings).Build(hash_seed);
}

const ClientAccount* FindAccountByKey(const ClientAccounts& accounts,
                                      std::string_view key) {
  if (key.empty() || accounts.slots.empty()) return nullptr;
  const uint64_t hash = Hash(key, accounts.hash_seed);
  const size_t mask = accounts.slots.size() - 1;
  for (size_t slot = hash & mask; accounts.slots[slot] != 0;
       slot = (slot + 1) & mask) {
    const auto& it = accounts.keys[accounts.slots[slot] - 1];
    if (it.hash == hash &&
        EqualsInConstantTime(
            std::string_view(accounts.key_text).substr(it.begin, it.size),
            key)) {
      return &accounts.accounts[it.account];
    }
  }
  return nullptr;
}

const ClientAccount* FindAccount(const ClientAccounts& accounts,
                                 const ClientAccountId& id) {
  const auto found = accounts.by_id.find(id);
  return found == accounts.by_id.end() ? nullptr
                                       : &accounts.accounts[found->second];
}

int PriorityFor(const Route& route, const ClientAccount* account) {
  return account != nullptr && account->priority ? *account->priority
                                                 : route.priority;
}

AllowedDataCentres CommonDataCentres(const AllowedDataCentres& route,
                                     const AllowedDataCentres& account) {
  if (!route) return account;
  if (!account) return route;
  AllowedDataCentres common(std::in_place);
  std::set_intersection(route->begin(), route->end(), account->begin(),
                        account->end(), std::inserter(*common, common->end()));
  return common;
}

Access DecideAccess(bool is_public, const CallerCredentials& caller,
                    bool confirmed) {
  // A key that isn't known may have been added since.
  const bool depends_on_keys =
      caller.account != nullptr || (caller.has_key && !is_public);
  if (depends_on_keys && !confirmed) return Access::kUnconfirmed;
  return is_public || caller.account != nullptr ? Access::kGranted
                                                : Access::kDenied;
}

bool DividesLimits(const TrafficConfig& config) {
  const bool has_cold_limit =
      std::any_of(config.services.begin(), config.services.end(),
                  [](auto& it) { return it.second.cold_per_second > 0; });
  return has_cold_limit ||
         (config.accounts &&
          std::any_of(config.accounts->accounts.begin(),
                      config.accounts->accounts.end(),
                      [](auto& it) { return it.allowance.IsLimited(); }));
}

}  // namespace hibiscuspick::engine
