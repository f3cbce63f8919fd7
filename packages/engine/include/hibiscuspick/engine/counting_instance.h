// Which instance of a data centre counts an account's requests. Each instance
// computes it for itself. Where two disagree, both count with the shares that
// were lent to them (allowance_pool.h), so that the bound holds anyway.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::engine {

// Instances of a data centre that count, at most. Each instance sends a message
// to each of them twice a second, which with all of 66 instances would be 132
// messages per second for each instance.
inline constexpr size_t kMaxCountingInstances = 4;

// The instances that count for a data centre, ordered by name: its senders or,
// if there are none, its responsive instances; the first kMaxCountingInstances
// in rank. `senders`: FanOutSenders. Empty if no instance there is responsive.
std::vector<InstanceId> CountingCandidates(const PeerTable& table,
                                           const std::vector<Peer>& senders,
                                           const DataCentreId& data_centre,
                                           Millis now);

// The candidates of every data centre that has any.
using CandidatesByDataCentre = std::map<DataCentreId, std::vector<InstanceId>>;
CandidatesByDataCentre AllCountingCandidates(const PeerTable& table,
                                             Millis now);

// The candidate that counts the account, by rendezvous hashing: if a candidate
// is added or removed, only its own accounts move. Does not depend on the order
// of the candidates. nullptr if there are none.
const InstanceId* ChooseCountingInstance(
    const std::vector<InstanceId>& candidates, const ClientAccountId& account);

// The candidates in hash order for the account, the chosen one first.
std::vector<InstanceId> RankCountingInstances(
    const std::vector<InstanceId>& candidates, const ClientAccountId& account);

}  // namespace hibiscuspick::engine
