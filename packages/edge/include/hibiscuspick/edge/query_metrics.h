// Metrics of the queries that an instance serves, as Prometheus text.
#pragma once

#include <array>
#include <string>

#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/metrics/registry.h"

namespace hibiscuspick::edge {

inline constexpr std::string_view kMetricsPath = "/metrics";

class QueryMetrics {
 public:
  QueryMetrics();
  void Count(const QueryOutcome& outcome);
  void CountForwarded() { forwarded_->Add(); }
  // Counts a request that was refused before it became a query.
  void CountRefused() { refused_->Add(); }
  // Records how long after its due time a timer of the loop ran.
  void ObserveLoopLag(Millis it) { loop_lag_->Observe(it); }
  metrics::Registry* registry() { return &registry_; }
  std::string Text() const { return registry_.PrometheusText(); }

 private:
  metrics::Registry registry_;
  std::array<metrics::Counter*, kQueryFaultCount> by_fault_{};
  metrics::Counter* shards_received_;
  metrics::Counter* shards_missing_;
  metrics::Counter* shards_deferred_;
  metrics::Counter* extra_attempts_;
  metrics::Counter* forwarded_;
  metrics::Counter* refused_;
  metrics::Latency* latency_;
  metrics::Latency* loop_lag_;
};

}  // namespace hibiscuspick::edge
