#include "hibiscuspick/engine/process_limits.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// Descriptors for files, logs and event loops: a fraction, but some at least.
constexpr size_t kReservedFraction = 16;
constexpr size_t kMinReserved = 32;

// Shares, in these parts of the whole. docs/CAPACITY.md adds them up.
constexpr size_t kParts = 32;

struct Share {
  size_t descriptors;
  size_t memory;
};
constexpr Share kCallers{10, 6};
constexpr Share kPeerQueries{8, 3};
constexpr Share kUpdates{4, 8};
constexpr Share kReadiness{1, 1};

}  // namespace

ListenerLimits DivideAmongListeners(const ProcessLimits& process) {
  const size_t reserved =
      std::max(process.descriptors / kReservedFraction, kMinReserved);
  const size_t sockets =
      process.descriptors - std::min(process.descriptors, reserved);
  const auto share_of = [&](const Share& it) {
    return ConnectionLimits{
        std::max<size_t>(sockets * it.descriptors / kParts, 1),
        process.memory_bytes / kParts * it.memory};
  };
  return {share_of(kCallers), share_of(kPeerQueries), share_of(kUpdates),
          share_of(kReadiness)};
}

}  // namespace hibiscuspick::engine
