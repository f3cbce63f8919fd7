// Switches for experiments: each takes out one mechanism that an instance can
// do without and still keep every promise. All are on by default.
#pragma once

#include <array>
#include <string_view>

namespace hibiscuspick::settings {

struct Mechanisms {
  // Second attempts instead of late ones.
  bool hedging = true;
  // A part of the budget kept for second attempts that a query can't do
  // without.
  bool hedge_reserve = true;
  // Second attempts after failures only where the least share needs them.
  bool needed_retries = true;
  // Shards expected late aren't asked while the least share goes without them.
  bool kept_back_shards = true;
  // Queries that queues make late are refused as a whole.
  bool whole_query_refusal = true;
  // Queries not expected in time wait behind the others.
  bool late_behind = true;
  // Failing servers cost more while the budget is thin.
  bool dearer_failing = true;
  // Failures fade by attempts where a server is met seldom.
  bool failures_by_attempts = true;
  // Servers are compared by how slow their replies have been.
  bool learned_slowness = true;
  // Attempts open at a server follow its latency.
  bool adapted_limit = true;
  // A server with an overdue attempt is taken to stand still.
  bool pause_belief = true;
  // Servers are avoided when the cycle of their pauses foretells one.
  bool expected_pauses = true;
  // Data centres out of reach are found out by connections of their own.
  bool reachability_probes = true;
  // A sender tells its data centre that it is cut off.
  bool told_cut_off = true;
  // Far parts are asked for and merged by a peer near them.
  bool relays = true;
  // Fan-outs are sent by a few instances for all.
  bool few_senders = true;
  // Abandoned attempts end at once where others wait.
  bool room_from_abandoned = true;
  // Requests of the first moments wait for the configuration.
  bool early_requests = true;
  // Answers leave earlier by the lag that was measured.
  bool answer_lag = true;
};

// A switch by the name that settings give it.
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
