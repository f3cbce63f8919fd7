#include "hibiscuspick/edge/caller_identity.h"

namespace hibiscuspick::edge {
namespace {

constexpr std::string_view kKeyHeader = "Authorization";
constexpr std::string_view kKeyScheme = "Bearer";

}  // namespace

std::string_view BearerKey(std::string_view value) {
  if (!EqualsIgnoreCase(value.substr(0, kKeyScheme.size()), kKeyScheme)) {
    return {};
  }
  std::string_view key = value.substr(kKeyScheme.size());
  if (!key.starts_with(' ')) return {};
  while (key.starts_with(' ')) key.remove_prefix(1);
  while (key.ends_with(' ')) key.remove_suffix(1);
  return key;
}

engine::CallerCredentials FindCredentials(
    const engine::ClientAccounts& accounts,
    const std::vector<Header>& headers) {
  engine::CallerCredentials found;
  bool ambiguous = false;
  for (const auto& it : headers) {
    if (!EqualsIgnoreCase(it.name, kKeyHeader)) continue;
    const auto key = BearerKey(it.value);
    if (key.empty()) continue;
    found.has_key = true;
    const auto* account = engine::FindAccountByKey(accounts, key);
    if (account == nullptr) continue;
    ambiguous = ambiguous || (found.account && found.account != account);
    found.account = account;
  }
  if (ambiguous) found.account = nullptr;
  return found;
}

bool IsIdentityHeader(std::string_view name, const WireNames& names) {
  return EqualsIgnoreCase(name, kKeyHeader) ||
         EqualsIgnoreCase(name, names.account);
}

engine::Access IdentifyCaller(const engine::TrafficConfig& config,
                              const engine::Route& route,
                              const WireNames& names, bool confirmed,
                              HttpRequest* request) {
  if (!config.accounts) return engine::Access::kGranted;
  const auto caller = FindCredentials(*config.accounts, request->headers);
  request->account =
      caller.account != nullptr ? caller.account->id : ClientAccountId();
  std::erase_if(request->headers, [&](const Header& it) {
    return IsIdentityHeader(it.name, names);
  });
  return engine::DecideAccess(route.is_public, caller, confirmed);
}

engine::AllowedDataCentres AllowedDataCentresFor(
    const engine::TrafficConfig& config, const engine::Route& route,
    const ClientAccountId& account) {
  const auto* found = config.accounts && !account.empty()
                          ? engine::FindAccount(*config.accounts, account)
                          : nullptr;
  return found == nullptr
             ? route.allowed_data_centres
             : engine::CommonDataCentres(route.allowed_data_centres,
                                         found->allowed_data_centres);
}

bool MatchesAccounts(const engine::TrafficConfig& config,
                     const engine::Route& route,
                     const ClientAccountId& account) {
  if (account.empty()) return !config.accounts || route.is_public;
  return config.accounts &&
         engine::FindAccount(*config.accounts, account) != nullptr;
}

}  // namespace hibiscuspick::edge
