// From which peer an instance gets a configuration that it lacks. Peers only
// announce their revision when polled: if each of them sent the configuration,
// which may have a megabyte, the copies would fill the link of a small instance
// and delay each other and all else.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::engine {

// What a polled peer announced in its last reply.
struct ConfigAnnouncement {
  Peer peer;
  uint64_t revision = 0;
  // When the store had last confirmed the peer's state, by this instance's
  // clock.
  Millis confirmed_at{-1};
};

// Transfers of the configuration that failed since the last that succeeded.
struct ConfigTransferFailures {
  std::map<InstanceId, int> by_peer;
  int total = 0;
};

// The peer to get the configuration from: of those whose revision is above
// `held`, those with the fewest failures, of these the ones with the highest
// revision, then those in the own data centre, then one by hash, so that
// instances spread over their sources. Null if there is none. The pointer is
// valid as long as `announced` is.
const ConfigAnnouncement* ChooseConfigSource(
    const std::vector<ConfigAnnouncement>& announced, uint64_t held,
    const Peer& own, const ConfigTransferFailures& failures);

// How long the next transfer may take while it makes progress: a small part of
// the time within which a configuration must be in force, so that a slow source
// can be replaced, and doubled with each failure, since the slow link may be
// the own one.
Millis ConfigTransferLimit(const ConfigTransferFailures& failures);

void RecordConfigTransferFailure(ConfigTransferFailures* failures,
                                 const InstanceId& peer);

// When the store had last confirmed a state whose configuration is not newer
// than `held`, by what peers announced; before 0 if none did.
Millis LastConfirmation(const std::vector<ConfigAnnouncement>& announced,
                        uint64_t held);

}  // namespace hibiscuspick::engine
