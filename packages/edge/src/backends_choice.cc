// Chooses the server of an attempt.
#include <algorithm>
#include <utility>

#include "backends_impl.h"
#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {

Backends::Server* Backends::ChooseServer(const AttemptSpec& spec,
                                         bool may_probe) {
  auto& state = StateOf(spec.service);
  const Millis now = loop_->now();
  static const engine::AllowedDataCentres unrestricted;
  const auto& allowed_data_centres = spec.allowed_data_centres != nullptr
                                         ? *spec.allowed_data_centres
                                         : unrestricted;
  auto choice = policy_.choice;
  choice.max_open_attempts =
      std::min(choice.max_open_attempts, state.share.connections);
  choice.cold_allowance = state.share.cold_allowance;
  JoinPauseCycle(&state, spec.budget_service);
  choice.pause_cycle = state.pause_cycle.get();
  choice.evidence = PriorOf(state);
  if (policy_.mechanisms.failing_server_penalty &&
      !HasExtraAttempt(spec.budget_service, engine::kUrgentReserve)) {
    choice.failure_cost = choice.unbudgeted_failure_cost;
  }
  std::vector<const engine::ServerView*> views;
  std::vector<Server*> servers;
  // Servers that have refused the part; used only if no other can take it.
  std::vector<const engine::ServerView*> refusing_views;
  std::vector<Server*> refusing;
  const size_t n = state.servers.size();
  ++state.rotation;
  for (size_t i = 0; i < n; ++i) {
    Server* server = state.servers[(i + state.rotation) % n].get();
    const auto& view = server->view;
    if (!MayServe(*server, allowed_data_centres)) continue;
    if (spec.skip_suspected && engine::IsPauseSuspected(view, now)) continue;
    if (std::find(spec.excluded.begin(), spec.excluded.end(), view.entry.id) !=
        spec.excluded.end()) {
      continue;
    }
    const bool has_refused =
        policy_.mechanisms.refusal_evidence &&
        std::find(spec.refused_by.begin(), spec.refused_by.end(),
                  view.entry.id) != spec.refused_by.end();
    (has_refused ? refusing_views : views).push_back(&view);
    (has_refused ? refusing : servers).push_back(server);
  }
  if (may_probe) {
    if (Server* probed = ChooseProbe(spec, servers, choice)) return probed;
  }
  const auto best =
      engine::ChooseServer(views, choice, spec.median_latency, now);
  if (best) return servers[*best];
  const auto again =
      engine::ChooseServer(refusing_views, choice, spec.median_latency, now);
  return again ? refusing[*again] : nullptr;
}

void Backends::JoinPauseCycle(ServiceState* state,
                              const ServiceId& budget_service) {
  if (state->pause_cycle || !policy_.mechanisms.pause_prediction) return;
  auto& cycle = pause_cycles_[budget_service];
  if (!cycle) cycle = std::make_shared<engine::PauseCycle>();
  state->pause_cycle = cycle;
}

std::optional<DataCentreId> Backends::DataCentreOfChoice(
    const AttemptSpec& spec) {
  const Server* chosen = ChooseServer(spec, false);
  if (chosen == nullptr) return std::nullopt;
  return chosen->view.entry.data_centre;
}

}  // namespace hibiscuspick::edge
