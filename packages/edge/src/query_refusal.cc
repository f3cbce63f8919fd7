// When the caller of a request that has not run is told to retry.
#include <algorithm>

#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/edge/request_quarantine.h"
#include "hibiscuspick/engine/refusal.h"

namespace hibiscuspick::edge {
namespace {

using engine::RefusalCause;

// After a refusal by servers a retry can be sent to another instance at once.
constexpr Millis kShedRetryAfter{50};

}  // namespace

Millis QueryRun::RetryAfter(QueryFault fault) const {
  if (fault == QueryFault::kQuarantined) {
    return context_->quarantine->TreatmentOf(fingerprint_).retry_after;
  }
  const auto& backends = *context_->backends;
  engine::RefusalInputs inputs;
  inputs.now = context_->loop->now();
  inputs.target = deadlines_.answer_at;
  inputs.deadline = deadlines_.deadline;
  if (fault == QueryFault::kOverloaded) {
    inputs.cause = RefusalCause::kQueues;
    inputs.capacity_in = retry_after_;
    inputs.service_time = refusal_estimate_.service_time;
    inputs.interval = refusal_estimate_.time_per_part;
  } else if (fault == QueryFault::kShed) {
    inputs.cause = RefusalCause::kShed;
    inputs.capacity_in = kShedRetryAfter;
    const auto estimate = backends.EstimateShard(
        parts_[0].service, route_latency_->median, deadlines_.answer_at,
        route_->allowed_data_centres);
    if (estimate) {
      inputs.service_time = estimate->service_time;
      inputs.interval = estimate->time_per_part;
    }
  } else if (fault == QueryFault::kNoServer) {
    const bool evacuated =
        std::any_of(parts_.begin(), parts_.end(),
                    [&](auto& it) { return backends.IsEvacuated(it.service); });
    inputs.cause = backends.IsCutOff() || evacuated ? RefusalCause::kPartitioned
                                                    : RefusalCause::kNoServer;
    inputs.capacity_in = backends.policy().probe_interval;
  } else {
    inputs.cause = fault == QueryFault::kNoRoom ? RefusalCause::kNoRoom
                                                : RefusalCause::kStopping;
  }
  // The capacity for a fan-out is that of all its shards.
  if (route_->gather) inputs.interval = Millis(0);
  auto* bookings = mechanisms().booked_retries
                       ? &context_->retry_bookings[budget_service_]
                       : nullptr;
  return engine::DecideRetryAfter(inputs, bookings);
}

}  // namespace hibiscuspick::edge
