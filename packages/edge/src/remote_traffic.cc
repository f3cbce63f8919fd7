#include "hibiscuspick/edge/remote_traffic.h"

#include <string>

namespace hibiscuspick::edge {
namespace {

// In the order of RemotePurpose.
constexpr std::array<const char*, kRemotePurposeCount> kPurposeNames = {
    "state_updates",     "evidence", "allowances", "quarantine",
    "forwarded_queries", "relays",   "parts"};

}  // namespace

RemoteTraffic::RemoteTraffic(metrics::Registry* registry) {
  for (size_t i = 0; i < counters_.size(); ++i) {
    const auto counter = [&](const char* direction) {
      return &registry->GetCounter(
          "hibiscuspick_edge_remote_bytes_total",
          "HTTP bytes exchanged with other data centres on connections that "
          "this instance opened",
          {{"purpose", kPurposeNames[i]}, {"direction", direction}});
    };
    counters_[i] = {counter("sent"), counter("received")};
  }
}

}  // namespace hibiscuspick::edge
