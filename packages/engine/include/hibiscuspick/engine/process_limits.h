// How the memory and the descriptors of a process are divided among what
// holds them for others.
#pragma once

#include <cstddef>

#include "hibiscuspick/engine/connection_table.h"

namespace hibiscuspick::engine {

struct ProcessLimits {
  size_t memory_bytes = size_t{256} << 20;
  size_t descriptors = 4096;
};

// Limits of each listener. What they leave is for connections to backend
// servers, peers and the store, for replies, and for the process's own state.
struct ListenerLimits {
  ConnectionLimits callers;
  // Queries and other messages of peers.
  ConnectionLimits peer_queries;
  // State updates for peers.
  ConnectionLimits updates;
  // Readiness, metrics and operators.
  ConnectionLimits readiness;
};

ListenerLimits DivideAmongListeners(const ProcessLimits& process);

}  // namespace hibiscuspick::engine
