#include "hibiscuspick/edge/account_allowances.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace hibiscuspick::edge {

void AccountAllowances::SetConfig(
    std::shared_ptr<const engine::TrafficConfig> config) {
  config_ = std::move(config);
  UpdateContexts();
}

void AccountAllowances::SetInstances(CountingInstances instances) {
  instances_ = std::move(instances);
  UpdateContexts();
}

void AccountAllowances::WhenSettled(std::function<void()> done) {
  if (enabled_) {
    client_.WhenSettled(std::move(done));
  } else {
    done();
  }
}

bool AccountAllowances::IsWanted() const {
  if (!settings_.active || settings_.bounds.window <= Millis(0) || !config_ ||
      !config_->accounts) {
    return false;
  }
  const auto& accounts = config_->accounts->accounts;
  return std::any_of(accounts.begin(), accounts.end(),
                     [](const auto& it) { return it.allowance.IsLimited(); });
}

void AccountAllowances::UpdateContexts() {
  const bool was_enabled = enabled_;
  enabled_ = IsWanted();
  if (!enabled_ && !was_enabled) return;
  // Without its own name an instance can neither count nor lend.
  if (enabled_ && instances_.own.empty()) return;
  messages_.SetPeers(instances_.peers);
  std::optional<engine::AllowancePoolContext> pools;
  if (enabled_) {
    pools.emplace();
    pools->own = instances_.own;
    pools->data_centre = settings_.data_centre;
    pools->config_version = config_->version;
    pools->bounds = settings_.bounds;
    pools->instances = std::max<size_t>(instances_.instances, 1);
    pools->candidates = instances_.candidates;
    pools->accounts = config_->accounts;
  }
  server_.SetContext(std::move(pools));
  engine::LeaseContext leases;
  leases.own = instances_.own;
  leases.data_centre = settings_.data_centre;
  leases.process = server_.process();
  leases.config_version = config_->version;
  leases.instances = instances_.has_share ? instances_.instances : 0;
  const auto candidates = instances_.candidates.find(settings_.data_centre);
  if (candidates != instances_.candidates.end()) {
    leases.candidates = candidates->second;
  }
  leases.enabled = enabled_;
  client_.SetContext(
      leases, {std::max<size_t>(instances_.instances, 1), instances_.rank});
}

}  // namespace hibiscuspick::edge
