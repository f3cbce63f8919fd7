#include "hibiscuspick/edge/query_metrics.h"

namespace hibiscuspick::edge {

QueryMetrics::QueryMetrics() {
  for (size_t i = 0; i < by_fault_.size(); ++i) {
    const auto fault = static_cast<QueryFault>(i);
    by_fault_[i] = &registry_.GetCounter(
        "hibiscuspick_edge_queries_total",
        "Queries answered, by what kept them from success",
        {{"fault", std::string(FaultName(fault))}});
  }
  const std::string name = "hibiscuspick_edge_shards_total";
  const std::string help = "Shards of queries, by what came of them";
  shards_received_ = &registry_.GetCounter(name, help, {{"part", "in"}});
  shards_missing_ = &registry_.GetCounter(name, help, {{"part", "missing"}});
  shards_deferred_ =
      &registry_.GetCounter(name, help, {{"part", "never_asked"}});
  extra_attempts_ = &registry_.GetCounter(
      "hibiscuspick_edge_extra_attempts_total", "Hedges and retries");
  forwarded_ = &registry_.GetCounter("hibiscuspick_edge_handed_over_total",
                                     "Queries handed to an abler peer");
  refused_ = &registry_.GetCounter(
      "hibiscuspick_edge_refused_total",
      "Requests without a route, or before or after the time of service");
  latency_ = &registry_.GetLatency("hibiscuspick_edge_query_seconds",
                                   "From a request's arrival to its answer");
  loop_lag_ = &registry_.GetLatency("hibiscuspick_edge_loop_delay_seconds",
                                    "How late a timer of the traffic loop ran");
}

void QueryMetrics::Count(const QueryOutcome& outcome) {
  by_fault_[static_cast<size_t>(outcome.fault)]->Add();
  shards_received_->Add(outcome.shards_received);
  const size_t missing = outcome.shards - outcome.shards_received;
  shards_missing_->Add(missing - outcome.shards_deferred);
  shards_deferred_->Add(outcome.shards_deferred);
  extra_attempts_->Add(outcome.extra_attempts);
  latency_->Observe(outcome.latency);
}

}  // namespace hibiscuspick::edge
