#include "hibiscuspick/engine/config_source.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::engine {
namespace {

constexpr Millis kFirstTransferLimit{2000};
constexpr int kMaxDoublings = 6;

int FailuresOf(const ConfigTransferFailures& failures, const InstanceId& peer) {
  const auto found = failures.by_peer.find(peer);
  return found == failures.by_peer.end() ? 0 : found->second;
}

}  // namespace

const ConfigAnnouncement* ChooseConfigSource(
    const std::vector<ConfigAnnouncement>& announced, uint64_t held,
    const Peer& own, const ConfigTransferFailures& failures) {
  const auto order = [&](const ConfigAnnouncement& it) {
    return std::tuple(FailuresOf(failures, it.peer.id),
                      std::numeric_limits<uint64_t>::max() - it.revision,
                      it.peer.data_centre != own.data_centre,
                      Hash(own.id.text + it.peer.id.text));
  };
  const ConfigAnnouncement* best = nullptr;
  for (const auto& it : announced) {
    if (it.revision <= held) continue;
    if (best == nullptr || order(it) < order(*best)) best = &it;
  }
  return best;
}

Millis ConfigTransferLimit(const ConfigTransferFailures& failures) {
  return kFirstTransferLimit * (1 << std::min(failures.total, kMaxDoublings));
}

void RecordConfigTransferFailure(ConfigTransferFailures* failures,
                                 const InstanceId& peer) {
  ++failures->by_peer[peer];
  ++failures->total;
}

Millis LastConfirmation(const std::vector<ConfigAnnouncement>& announced,
                        uint64_t held) {
  Millis last{-1};
  for (const auto& it : announced) {
    if (it.revision <= held) last = Max(last, it.confirmed_at);
  }
  return last;
}

}  // namespace hibiscuspick::engine
