// A table of instances for tests.
#pragma once

#include <string>

#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::engine {

inline constexpr Millis kNow{1000};

// `per_data_centre` instances in each of three data centres; the first
// `capable` of each have half a core, the others an eighth.
inline PeerTable Fleet(size_t per_place, size_t able = 0) {
  PeerTable table;
  for (const char* place : {"a", "b", "c"}) {
    for (size_t i = 0; i < per_place; ++i) {
      Peer peer;
      peer.id = InstanceId(std::string(place) + std::to_string(i));
      peer.data_centre = DataCentreId(place);
      peer.processor = i < able ? 0.5 : 0.12;
      table.peers[peer.id] = peer;
    }
  }
  return table;
}

}  // namespace hibiscuspick::engine
