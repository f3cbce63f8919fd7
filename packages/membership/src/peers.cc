#include <algorithm>
#include <set>

#include "step_context.h"

namespace hibiscuspick::membership {
namespace {

// Returns `n` random peers in random order.
std::vector<Peer> Sample(std::vector<Peer> peers, size_t n, Random* random) {
  const size_t count = std::min(n, peers.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(peers[i], peers[i + random->Below(peers.size() - i)]);
  }
  peers.resize(count);
  return peers;
}

void Append(std::vector<Peer> from, std::vector<Peer>* to) {
  to->insert(to->end(), std::make_move_iterator(from.begin()),
             std::make_move_iterator(from.end()));
}

bool IsKnown(const MemberTable& table, const Address& address) {
  return std::any_of(table.members.begin(), table.members.end(),
                     [&](const auto& it) {
                       return it.second.state.inner == address &&
                              it.second.state.phase != Phase::kGone;
                     });
}

}  // namespace

Peer PeerOf(const MemberState& member) {
  return {member.id, member.inner, member.incarnation};
}

std::vector<Peer> PickPeers(StepContext* context,
                            const DataCentreId& data_centre, size_t n,
                            const InstanceId& except) {
  std::vector<Peer> trusted;
  std::vector<Peer> suspects;
  for (const auto& [id, it] : context->state->table.members) {
    if (id == context->state->table.self || id == except) continue;
    if (it.state.data_centre != data_centre) continue;
    if (it.state.phase == Phase::kGone) continue;
    (it.suspect ? suspects : trusted).push_back(PeerOf(it.state));
  }
  return Sample(trusted.empty() ? std::move(suspects) : std::move(trusted), n,
                context->random);
}

std::vector<DataCentreId> OtherDataCentres(const ControlState& state) {
  std::set<DataCentreId> ids;
  for (const auto& [id, it] : state.table.members) {
    if (it.state.phase != Phase::kGone) ids.insert(it.state.data_centre);
  }
  ids.erase(state.table.data_centre);
  return {ids.begin(), ids.end()};
}

std::vector<Peer> PushPeers(StepContext* context, PushScope scope,
                            const InstanceId& except) {
  const auto& limits = context->state->limits;
  auto peers = PickPeers(context, context->state->table.data_centre,
                         limits.push_peers, except);
  if (scope == PushScope::kOwnDataCentre) return peers;
  for (const auto& it : OtherDataCentres(*context->state)) {
    Append(PickPeers(context, it, limits.cross_push_peers, except), &peers);
  }
  return peers;
}

std::optional<Peer> PickUnconnected(StepContext* context) {
  const auto& state = *context->state;
  std::vector<Peer> candidates;
  for (const auto& [id, it] : state.table.members) {
    if (id == state.table.self) continue;
    if (it.suspect || it.state.phase == Phase::kGone) {
      candidates.push_back(PeerOf(it.state));
    }
  }
  for (const auto& it : state.listed) {
    if (!state.table.members.contains(it.id)) candidates.push_back(it);
  }
  for (const auto& it : state.seeds) {
    if (!IsKnown(state.table, it)) candidates.push_back({{}, it, {}});
  }
  auto picked = Sample(std::move(candidates), 1, context->random);
  if (picked.empty()) return std::nullopt;
  return std::move(picked.front());
}

}  // namespace hibiscuspick::membership
