// Gauges of the traffic server's state.
#include "hibiscuspick/edge/traffic_server.h"

namespace hibiscuspick::edge {

void TrafficServer::AddGauges() {
  auto* registry = metrics_.registry();
  registry->AddGauge(
      "hibiscuspick_edge_config_version",
      "The configuration in force, 0 for none", {},
      [this] { return config_ ? static_cast<double>(config_->version) : 0; });
  registry->AddGauge("hibiscuspick_edge_ready",
                     "1 if the balancer is told to send callers", {},
                     [this] { return IsReady() ? 1 : 0; });
  registry->AddGauge(
      "hibiscuspick_edge_evacuated_data_centres",
      "Data centres whose servers get nothing until the entry is removed", {},
      [this] { return static_cast<double>(backends_.evacuated().size()); });
  registry->AddGauge("hibiscuspick_edge_queries_running",
                     "Queries without an answer yet", {},
                     [this] { return static_cast<double>(running_.size()); });
  registry->AddGauge(
      "hibiscuspick_edge_attempts_open", "Attempts at servers without a reply",
      {}, [this] { return static_cast<double>(backends_.open_attempts()); });
}

}  // namespace hibiscuspick::edge
