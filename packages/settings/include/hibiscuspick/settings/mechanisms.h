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
  // Reserves a part of the retry budget for attempts that a query needs to
  // reach its least coverage.
  bool hedge_reserve = true;
  // After a failure, retries only if the least coverage requires it.
  bool needed_retries = true;
  // Doesn't ask shards that are expected to be late if the least coverage is
  // reached without them.
  bool kept_back_shards = true;
  // Rejects a query as a whole if queues would make it late.
  bool whole_query_refusal = true;
  // Queues queries that are expected to miss their deadline behind the others.
  bool late_behind = true;
  // Raises the cost of failing servers while the retry budget is low.
  bool dearer_failing = true;
  // Decays a server's failures by attempts where it is used rarely.
  bool failures_by_attempts = true;
  // Compares servers by the latency of their replies.
  bool learned_slowness = true;
  // Adapts a server's limit of concurrent attempts to its latency.
  bool adapted_limit = true;
  // Treats a server with an overdue attempt as paused.
  bool pause_belief = true;
  // Avoids a server when the cycle of its pauses predicts the next one.
  bool expected_pauses = true;
  // Detects unreachable data centres by separate probe connections.
  bool reachability_probes = true;
  // Notifies a data centre that it is cut off from the sender.
  bool told_cut_off = true;
  // Lets a peer near a remote data centre query its part and merge the replies.
  bool relays = true;
  // Concentrates the sending of fan-outs on a few instances.
  bool few_senders = true;
  // Ends abandoned attempts at once if others are waiting.
  bool room_from_abandoned = true;
  // Holds requests that arrive before the configuration is loaded.
  bool early_requests = true;
  // Sends answers earlier by the measured answer lag.
  bool answer_lag = true;
};

// A switch and its name in settings files.
struct MechanismName {
  std::string_view name;
  bool Mechanisms::*field;
};

inline constexpr std::array kMechanismNames = {
    MechanismName{"hedging", &Mechanisms::hedging},
    MechanismName{"hedge_reserve", &Mechanisms::hedge_reserve},
    MechanismName{"needed_retries", &Mechanisms::needed_retries},
    MechanismName{"kept_back_shards", &Mechanisms::kept_back_shards},
    MechanismName{"whole_query_refusal", &Mechanisms::whole_query_refusal},
    MechanismName{"late_behind", &Mechanisms::late_behind},
    MechanismName{"dearer_failing", &Mechanisms::dearer_failing},
    MechanismName{"failures_by_attempts", &Mechanisms::failures_by_attempts},
    MechanismName{"learned_slowness", &Mechanisms::learned_slowness},
    MechanismName{"adapted_limit", &Mechanisms::adapted_limit},
    MechanismName{"pause_belief", &Mechanisms::pause_belief},
    MechanismName{"expected_pauses", &Mechanisms::expected_pauses},
    MechanismName{"reachability_probes", &Mechanisms::reachability_probes},
    MechanismName{"told_cut_off", &Mechanisms::told_cut_off},
    MechanismName{"relays", &Mechanisms::relays},
    MechanismName{"few_senders", &Mechanisms::few_senders},
    MechanismName{"room_from_abandoned", &Mechanisms::room_from_abandoned},
    MechanismName{"early_requests", &Mechanisms::early_requests},
    MechanismName{"answer_lag", &Mechanisms::answer_lag},
};

}  // namespace hibiscuspick::settings
