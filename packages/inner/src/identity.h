// The mesh's data for every hello and its counters, shared by its threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "hibiscuspick/inner/peer_mesh.h"

namespace hibiscuspick::inner {

struct Identity {
  InstanceId self;
  DataCentreId data_centre;
  std::string key;
  Address address;
  std::atomic<uint64_t> incarnation{0};
};

// The counters that MeshCounts reports.
struct Counters {
  std::atomic<uint64_t> messages_sent{0};
  std::atomic<uint64_t> frames_sent{0};
  std::atomic<uint64_t> messages_received{0};
  std::atomic<uint64_t> messages_dropped{0};
  std::atomic<uint64_t> rejected_connections{0};
  std::atomic<uint64_t> bytes_sent{0};
  std::atomic<uint64_t> bytes_received{0};
};

// Compares in constant time, so that the time doesn't reveal to an
// unauthenticated client how much of its guess was correct. It runs only once
// for each connection.
bool KeysEqual(std::string_view a, std::string_view b);

}  // namespace hibiscuspick::inner
