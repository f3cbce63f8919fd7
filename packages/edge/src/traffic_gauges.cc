// Gauges of the traffic server's state, and the loop's lag.
#include <utility>

#include "hibiscuspick/edge/traffic_server.h"

namespace hibiscuspick::edge {
namespace {

// Interval at which the loop's lag is measured; a wake-up costs some
// microseconds.
constexpr Millis kLoopLagInterval{500};

}  // namespace

void TrafficServer::MeasureLoopLag() {
  const Millis due = SteadyNow() + kLoopLagInterval;
  loop_->RunAt(due, [this, due] {
    metrics_.ObserveLoopLag(SteadyNow() - due);
    peers_.set_own_utilisation(loop_->TakeUtilisation());
    MeasureLoopLag();
  });
}

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
  for (const auto& [name, listener] :
       {std::pair{"callers", &callers_}, std::pair{"queries", &peer_queries_},
        std::pair{"readiness", &readiness_}}) {
    registry->AddGauge(
        "hibiscuspick_edge_connections",
        "Open connections of clients, by address", {{"address", name}},
        [it = listener] { return static_cast<double>(it->table().size()); });
    registry->AddGauge(
        "hibiscuspick_edge_connection_bytes",
        "Bytes of requests and replies that they hold", {{"address", name}},
        [it = listener] { return static_cast<double>(it->table().bytes()); });
  }
}

}  // namespace hibiscuspick::edge
