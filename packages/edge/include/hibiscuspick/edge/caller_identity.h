// Who a caller is: the key in its request, and the headers by which this
// instance names the caller to servers and peers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/wire_names.h"
#include "hibiscuspick/engine/client_accounts.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

// The key of a header `Authorization: Bearer KEY`; empty if the value has
// another scheme. The scheme's case doesn't matter.
std::string_view BearerKey(std::string_view value);

// The credentials in a request's headers. If there are several keys, those that
// are not known don't count, and keys of different accounts name none.
engine::CallerCredentials FindCredentials(
    const engine::ClientAccounts& accounts, const std::vector<Header>& headers);

// Whether the header must not come from a caller, nor go on to servers as the
// caller sent it: the key and the account's name.
bool IsIdentityHeader(std::string_view name, const WireNames& names);

// Decides whether a caller's request may use the route, sets its account and
// removes the identity headers. Without accounts in the configuration every
// request is granted and stays as it is. `confirmed`: see
// engine::DecideAccess.
engine::Access IdentifyCaller(const engine::TrafficConfig& config,
                              const engine::Route& route,
                              const WireNames& names, bool confirmed,
                              HttpRequest* request);

// The data centres that a request of the account may use.
engine::AllowedDataCentres AllowedDataCentresFor(
    const engine::TrafficConfig& config, const engine::Route& route,
    const ClientAccountId& account);

// Whether a query that a peer forwarded for this account fits this instance's
// configuration. Otherwise the peer has other accounts under the same version,
// or an earlier release, and serves the query itself.
bool MatchesAccounts(const engine::TrafficConfig& config,
                     const engine::Route& route,
                     const ClientAccountId& account);

}  // namespace hibiscuspick::edge
