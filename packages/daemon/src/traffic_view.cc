#include "hibiscuspick/daemon/traffic_view.h"

#include <algorithm>

namespace hibiscuspick::daemon {
namespace {

using settings::EffectiveSettings;
using settings::Key;

// Every scope includes this instance's data centre, which is a level of the
// settings tree.
settings::Scope ScopeOf(const TrafficView& view) {
  settings::Scope scope;
  scope.data_centre = view.members->data_centre;
  return scope;
}

std::vector<BackendServerId> ServersOf(const settings::Configuration& it,
                                       const ServiceId& id) {
  std::vector<BackendServerId> servers;
  const auto service = it.services.find(id);
  if (service == it.services.end()) return servers;
  for (const auto& server : service->second.backend_servers) {
    servers.push_back(server.id);
  }
  return servers;
}

routing::Plans PlansOf(const settings::Configuration& configuration,
                       const settings::Route& route) {
  routing::Plans plans;
  const auto it = configuration.snapshots.find(route.snapshot);
  if (it == configuration.snapshots.end()) return plans;
  const auto servers_of = [&](const ServiceId& id) {
    return ServersOf(configuration, id);
  };
  for (const auto& manifest : it->second) {
    plans.push_back(routing::MakePlan(*manifest, route, servers_of));
  }
  return plans;
}

// Called for the newest manifest first, so the first one with a shard wins.
void AddRecordTargets(const settings::Snapshot& manifest, TrafficView* view) {
  for (const auto& shard : manifest.shards) {
    RecordTarget target{manifest.index_version, shard.backend_servers};
    if (target.servers.empty()) {
      target.servers = ServersOf(*view->configuration, shard.service);
    }
    view->record_targets.try_emplace({shard.service, shard.shard},
                                     std::move(target));
  }
}

bool SendsDirectly(const TrafficView& view, const ServiceId& service) {
  settings::Scope scope = ScopeOf(view);
  scope.service = service;
  const auto value = settings::Resolve(view.configuration->settings, scope,
                                       Key::kSendingPolicy);
  return value.number == static_cast<double>(settings::SendingPolicy::kDirect);
}

int ServingMembers(const membership::MembershipView& members) {
  const auto serves = [](const auto& entry) {
    return entry.second.phase == membership::Phase::kServing;
  };
  const auto n =
      std::count_if(members.members.begin(), members.members.end(), serves);
  return std::max(1, static_cast<int>(n));
}

bool HasServer(const settings::Service& service, const BackendServerId& id) {
  return std::any_of(service.backend_servers.begin(),
                     service.backend_servers.end(),
                     [&](const auto& it) { return it.id == id; });
}

limits::GroupPolicy PolicyOf(const EffectiveSettings& values) {
  const bool lanes = FlagOf(values, Key::kLanesEnabled);
  const bool slots = FlagOf(values, Key::kSlotsEnabled);
  const bool hedge = FlagOf(values, Key::kHedgeEnabled);
  limits::GroupPolicy policy;
  if (!lanes && !slots && !hedge) policy = limits::DirectBaseline();
  policy.lanes_enabled = lanes;
  policy.slots_enabled = slots;
  policy.hedge.enabled = hedge;
  policy.hedge.quantile = FractionOf(values, Key::kHedgeQuantile);
  policy.hedge.min_delay = MillisOf(values, Key::kHedgeMinMs);
  policy.budget.per_first_attempt = FractionOf(values, Key::kHedgeBudget);
  policy.ejection.failures =
      static_cast<int>(CountOf(values, Key::kEjectFailures));
  policy.ejection.max_share = FractionOf(values, Key::kEjectShareCap);
  policy.ejection.first_duration = MillisOf(values, Key::kEjectMs);
  policy.slow_start = MillisOf(values, Key::kSlowStartMs);
  for (const Lane lane : kAllLanes) {
    limits::LanePolicy& entry = policy.lanes[LaneIndex(lane)];
    entry.min_share = FractionOf(values, settings::LaneMinimumKey(lane));
    const int64_t n = CountOf(values, settings::QueueLimitKey(lane));
    entry.queue_limit = static_cast<size_t>(n);
  }
  return policy;
}

// With direct sending, all instances connect to every server, so each takes an
// equal share of the server's connections. With owners, the owner gets all but
// a reserve.
void ShareConnections(const TrafficView& view, dispatch::GroupConfig* group) {
  const ServiceId& id = group->service.id;
  if (!SendsDirectly(view, id)) {
    const auto it = view.placement.find(id);
    group->policy.connections.owner = it != view.placement.end() &&
                                      !it->second.empty() &&
                                      it->second.front() == view.members->self;
    return;
  }
  group->policy.connections.owner = true;
  group->policy.connections.reserve = 0;
  group->policy.connections.preconnect = 0;
  const int instances = ServingMembers(*view.members);
  for (auto& server : group->service.backend_servers) {
    server.max_connections = std::max(1, server.max_connections / instances);
  }
}

}  // namespace

std::shared_ptr<const TrafficView> MakeTrafficView(
    std::shared_ptr<const settings::Configuration> configuration,
    membership::ViewPointer members) {
  auto view = std::make_shared<TrafficView>();
  view->configuration = std::move(configuration);
  view->members = std::move(members);
  std::vector<settings::Service> services;
  for (const auto& [id, service] : view->configuration->services) {
    services.push_back(service);
  }
  view->placement = membership::PlacementOf(services, *view->members);
  for (const auto& [id, route] : view->configuration->routes) {
    view->plans[id] = PlansOf(*view->configuration, route);
  }
  for (const auto& [name, manifests] : view->configuration->snapshots) {
    for (const auto& it : manifests) AddRecordTargets(*it, view.get());
  }
  return view;
}

bool IsConfigured(const TrafficView& view) {
  return view.configuration->loaded;
}

std::vector<InstanceId> CandidatesOf(const TrafficView& view,
                                     const ServiceId& service) {
  const InstanceId& self = view.members->self;
  if (SendsDirectly(view, service)) return {self};
  std::vector<InstanceId> candidates;
  const auto it = view.placement.find(service);
  if (it != view.placement.end()) candidates = it->second;
  if (std::find(candidates.begin(), candidates.end(), self) ==
      candidates.end()) {
    candidates.push_back(self);
  }
  return candidates;
}

Result<front::RouteView> FindRoute(const TrafficView& view,
                                   const RouteId& route,
                                   const CustomerId& customer) {
  if (!IsConfigured(view)) {
    return Error{Code::kNotReady, "", "no configuration is loaded yet"};
  }
  const auto it = view.configuration->routes.find(route);
  if (it == view.configuration->routes.end()) {
    return Error{Code::kUnknownRoute, route.text, "no such route"};
  }
  const auto plans = view.plans.find(route);
  if (plans == view.plans.end() || plans->second.empty()) {
    return Error{Code::kNoSnapshot, it->second.snapshot.text,
                 "the route's snapshot is not configured"};
  }
  settings::Scope scope = ScopeOf(view);
  scope.customer = customer;
  scope.route = route;
  const auto values = settings::ResolveAll(view.configuration->settings, scope);
  front::RouteView found;
  found.plans = plans->second;
  found.values.lane = it->second.lane;
  found.values.prefer = it->second.prefer;
  found.values.deadline = MillisOf(values, Key::kDeadlineMs);
  found.values.max_deadline = MillisOf(values, Key::kMaxDeadlineMs);
  found.values.limit = static_cast<uint32_t>(CountOf(values, Key::kLimit));
  found.values.max_limit =
      static_cast<uint32_t>(CountOf(values, Key::kMaxLimit));
  found.values.min_coverage = FractionOf(values, Key::kMinCoverage);
  found.values.owner_timeout = MillisOf(values, Key::kOwnerTimeoutMs);
  if (!FlagOf(values, Key::kRestartOnNewSnapshot)) {
    found.values.max_restarts = 0;
  }
  return found;
}

Result<front::RecordValues> FindService(const TrafficView& view,
                                        const ServiceId& service,
                                        const ShardId& shard,
                                        const CustomerId& customer) {
  if (!IsConfigured(view)) {
    return Error{Code::kNotReady, "", "no configuration is loaded yet"};
  }
  if (!view.configuration->services.contains(service)) {
    return Error{Code::kUnknownService, service.text, "no such service"};
  }
  if (!view.record_targets.contains({service, shard})) {
    return Error{Code::kMalformedRequest, "$.shard",
                 "no manifest assigns this shard to the service"};
  }
  settings::Scope scope = ScopeOf(view);
  scope.customer = customer;
  const auto values = settings::ResolveAll(view.configuration->settings, scope);
  front::RecordValues found;
  found.max_deadline = MillisOf(values, Key::kMaxDeadlineMs);
  found.deadline = Min(found.deadline, found.max_deadline);
  return found;
}

routing::CustomerRules CustomerRulesOf(const TrafficView& view,
                                       const CustomerId& customer) {
  settings::Scope scope = ScopeOf(view);
  scope.customer = customer;
  const auto values = settings::ResolveAll(view.configuration->settings, scope);
  // In the settings, 0 means no limit.
  routing::CustomerRules rules;
  const auto rate = CountOf(values, Key::kCustomerRateLimit);
  if (rate > 0) {
    rules.requests_per_second = static_cast<double>(rate);
    rules.burst = rules.requests_per_second;
  }
  const auto concurrency = CountOf(values, Key::kCustomerConcurrencyLimit);
  if (concurrency > 0) rules.concurrency = static_cast<uint32_t>(concurrency);
  return rules;
}

Millis RecordWindowOf(const TrafficView& view) {
  const auto value = settings::Resolve(view.configuration->settings,
                                       ScopeOf(view), Key::kRecordWindowMs);
  return Millis(value.number);
}

std::vector<dispatch::GroupConfig> GroupConfigsOf(const TrafficView& view) {
  std::vector<dispatch::GroupConfig> groups;
  const auto& drains = view.configuration->drains;
  for (const auto& [id, service] : view.configuration->services) {
    settings::Scope scope = ScopeOf(view);
    scope.service = id;
    dispatch::GroupConfig group;
    group.service = service;
    group.policy =
        PolicyOf(settings::ResolveAll(view.configuration->settings, scope));
    group.drained.assign(drains.begin(), drains.end());
    std::erase_if(group.drained, [&](const BackendServerId& server) {
      return !HasServer(group.service, server);
    });
    ShareConnections(view, &group);
    groups.push_back(std::move(group));
  }
  return groups;
}

}  // namespace hibiscuspick::daemon
