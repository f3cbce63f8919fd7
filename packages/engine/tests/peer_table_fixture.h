// A table of instances for tests.
#pragma once

#include <string>

#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::engine {

inline constexpr Millis kNow{1000};

// `per_data_centre` instances in each of three data centres; the first
// `capable` of each have half a core, the others an eighth.
inline PeerTable MakePeerTable(size_t per_data_centre, size_t capable = 0) {
  PeerTable table;
  for (const char* data_centre : {"a", "b", "c"}) {
    for (size_t i = 0; i < per_data_centre; ++i) {
      Peer peer;
      peer.id = InstanceId(std::string(data_centre) + std::to_string(i));
      peer.data_centre = DataCentreId(data_centre);
      peer.cpu_cores = i < capable ? 0.5 : 0.12;
      table.peers[peer.id] = peer;
    }
  }
  return table;
}

}  // namespace hibiscuspick::engine
