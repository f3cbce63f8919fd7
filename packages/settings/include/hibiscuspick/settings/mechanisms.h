// Switches for experiments. Each disables one optional mechanism of an edge
// instance, without which it still honours its guarantees. All are on by
// default.
#pragma once

#include <array>
#include <string_view>

namespace hibiscuspick::settings {

struct Mechanisms {
  // Hedges attempts that are expected to be late.
  bool hedging = true;
  // Reserves a share of the budget of extra attempts (hedges and retries) for
  // those that a query needs to reach its minimum coverage.
  bool hedge_reserve = true;
  // After a failure, retries only if the minimum coverage requires it.
  bool urgent_retries_only = true;
  // Defers requests to shards that are expected to be late if the others
  // suffice for the minimum coverage.
  bool deferred_shards = true;
  // Rejects a query as a whole if queues would make it late.
  bool whole_query_rejection = true;
  // Spreads the retries of refused single-server requests over the expected
  // capacity.
  bool booked_retries = true;
  // Queues parts last if they are expected to miss, or have missed, the target.
  bool deprioritize_late = true;
  // Raises failing servers' cost while the budget of extra attempts is low.
  bool failing_server_penalty = true;
  // Decays the failure rate of a rarely used server more slowly.
  bool failure_decay_by_attempts = true;
  // Tells a server's refusals from its failures, and sends a refused part to
  // servers that have not refused it first.
  bool refusal_evidence = true;
  // Compares servers by the latency of their replies.
  bool relative_latency = true;
  // Adapts a server's limit of concurrent attempts to its latency.
  bool adaptive_limit = true;
  // Treats a server with an overdue attempt as paused.
  bool pause_suspicion = true;
  // Avoids a server when the cycle of its pauses predicts the next one.
  bool pause_prediction = true;
  // Detects unreachable data centres by separate probe connections.
  bool reachability_probes = true;
  // Lets a sender notify its own data centre that it is cut off from the
  // others.
  bool cut_off_notices = true;
  // Lets a peer near a remote data centre query its part and merge the replies.
  bool relays = true;
  // Also relays parts for which a server in another data centre is better than
  // the one here, and not only those without a server here.
  bool relay_remote_choices = true;
  // Concentrates the sending of fan-outs on a few instances.
  bool primary_senders = true;
  // Exchanges evidence about servers among the senders of fan-outs.
  bool evidence_exchange = true;
  // Ends abandoned attempts at once if others are waiting.
  bool preempt_abandoned = true;
  // Holds requests that arrive before the configuration is loaded.
  bool early_request_queue = true;
  // Sends answers earlier by the measured answer lag.
  bool answer_lag_compensation = true;
  // Holds client accounts to their allowances over all instances. Off for
  // comparisons only: without it their bound isn't kept.
  bool allowances = true;
  // Sends requests under which servers ended to no further ones.
  bool request_quarantine = true;
};

// A switch and its name in settings files.
struct MechanismName {
  std::string_view name;
  bool Mechanisms::*field;
};

inline constexpr std::array kMechanismNames = {
    MechanismName{"hedging", &Mechanisms::hedging},
    MechanismName{"hedge_reserve", &Mechanisms::hedge_reserve},
    MechanismName{"needed_retries", &Mechanisms::urgent_retries_only},
    MechanismName{"kept_back_shards", &Mechanisms::deferred_shards},
    MechanismName{"whole_query_refusal", &Mechanisms::whole_query_rejection},
    MechanismName{"booked_retries", &Mechanisms::booked_retries},
    MechanismName{"late_behind", &Mechanisms::deprioritize_late},
    MechanismName{"dearer_failing", &Mechanisms::failing_server_penalty},
    MechanismName{"failures_by_attempts",
                  &Mechanisms::failure_decay_by_attempts},
    MechanismName{"refusal_evidence", &Mechanisms::refusal_evidence},
    MechanismName{"learned_slowness", &Mechanisms::relative_latency},
    MechanismName{"adapted_limit", &Mechanisms::adaptive_limit},
    MechanismName{"pause_belief", &Mechanisms::pause_suspicion},
    MechanismName{"expected_pauses", &Mechanisms::pause_prediction},
    MechanismName{"reachability_probes", &Mechanisms::reachability_probes},
    MechanismName{"told_cut_off", &Mechanisms::cut_off_notices},
    MechanismName{"relays", &Mechanisms::relays},
    MechanismName{"relay_remote_choices", &Mechanisms::relay_remote_choices},
    MechanismName{"few_senders", &Mechanisms::primary_senders},
    MechanismName{"evidence_exchange", &Mechanisms::evidence_exchange},
    MechanismName{"room_from_abandoned", &Mechanisms::preempt_abandoned},
    MechanismName{"early_requests", &Mechanisms::early_request_queue},
    MechanismName{"answer_lag", &Mechanisms::answer_lag_compensation},
    MechanismName{"allowances", &Mechanisms::allowances},
    MechanismName{"request_quarantine", &Mechanisms::request_quarantine},
};

}  // namespace hibiscuspick::settings
