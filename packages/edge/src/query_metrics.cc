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
  const std::string shards = "hibiscuspick_edge_shards_total";
  const std::string shards_help = "Shards of queries, by what came of them";
  shards_in_ = &registry_.GetCounter(shards, shards_help, {{"part", "in"}});
  shards_missing_ =
      &registry_.GetCounter(shards, shards_help, {{"part", "missing"}});
  kept_back_ =
      &registry_.GetCounter(shards, shards_help, {{"part", "never_asked"}});
  extras_ = &registry_.GetCounter("hibiscuspick_edge_extra_attempts_total",
                                  "Hedges and retries");
  handed_over_ = &registry_.GetCounter("hibiscuspick_edge_handed_over_total",
                                       "Queries handed to an abler peer");
  refused_ = &registry_.GetCounter(
      "hibiscuspick_edge_refused_total",
      "Requests without a route, or before or after the time of service");
  took_ = &registry_.GetLatency("hibiscuspick_edge_query_seconds",
                                "From a request's arrival to its answer");
  delay_ = &registry_.GetLatency("hibiscuspick_edge_loop_delay_seconds",
                                 "How late a timer of the traffic loop ran");
}

void QueryMetrics::Count(const QueryOutcome& outcome) {
  by_fault_[static_cast<size_t>(outcome.fault)]->Add();
  shards_in_->Add(outcome.shards_in);
  const size_t missing = outcome.shards - outcome.shards_in;
  shards_missing_->Add(missing - outcome.kept_back);
  kept_back_->Add(outcome.kept_back);
  extras_->Add(outcome.extras);
  took_->Observe(outcome.took);
}

}  // namespace hibiscuspick::edge
