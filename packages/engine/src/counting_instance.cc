#include "hibiscuspick/engine/counting_instance.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::engine {
namespace {

uint64_t Weight(const InstanceId& candidate, uint64_t account_hash) {
  return Hash(candidate.text, account_hash);
}

}  // namespace

std::vector<InstanceId> CountingCandidates(const PeerTable& table,
                                           const std::vector<Peer>& senders,
                                           const DataCentreId& data_centre,
                                           Millis now) {
  const auto is_sender = [&](const Peer& it) {
    return std::any_of(senders.begin(), senders.end(),
                       [&](const Peer& sender) { return sender.id == it.id; });
  };
  const auto ranking = RankPeers(table, data_centre, now);
  std::vector<InstanceId> candidates;
  for (const auto& it : ranking) {
    if (is_sender(it)) candidates.push_back(it.id);
  }
  if (candidates.empty()) {
    for (const auto& it : ranking) candidates.push_back(it.id);
  }
  candidates.resize(std::min(candidates.size(), kMaxCountingInstances));
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

CandidatesByDataCentre AllCountingCandidates(const PeerTable& table,
                                             Millis now) {
  const auto senders = FanOutSenders(table, now);
  CandidatesByDataCentre all;
  for (const auto& it : DataCentres(table)) {
    auto candidates = CountingCandidates(table, senders, it, now);
    if (!candidates.empty()) all[it] = std::move(candidates);
  }
  return all;
}

const InstanceId* ChooseCountingInstance(
    const std::vector<InstanceId>& candidates, const ClientAccountId& account) {
  const uint64_t account_hash = Hash(account.text);
  const InstanceId* chosen = nullptr;
  uint64_t best = 0;
  for (const auto& it : candidates) {
    const uint64_t weight = Weight(it, account_hash);
    const bool is_better =
        chosen == nullptr || weight > best || (weight == best && it < *chosen);
    if (!is_better) continue;
    chosen = &it;
    best = weight;
  }
  return chosen;
}

std::vector<InstanceId> RankCountingInstances(
    const std::vector<InstanceId>& candidates, const ClientAccountId& account) {
  const uint64_t account_hash = Hash(account.text);
  auto ranked = candidates;
  std::sort(ranked.begin(), ranked.end(),
            [&](const InstanceId& a, const InstanceId& b) {
              const uint64_t weight_a = Weight(a, account_hash);
              const uint64_t weight_b = Weight(b, account_hash);
              return weight_a != weight_b ? weight_a > weight_b : a < b;
            });
  return ranked;
}

}  // namespace hibiscuspick::engine
