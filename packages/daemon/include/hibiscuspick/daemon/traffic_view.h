// The immutable view of configuration and membership that traffic threads use.
// It is rebuilt after each change of either.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/dispatch/part_executor.h"
#include "hibiscuspick/front/callers_api.h"
#include "hibiscuspick/membership/placement.h"
#include "hibiscuspick/membership/view.h"
#include "hibiscuspick/routing/plan.h"
#include "hibiscuspick/settings/configuration.h"

namespace hibiscuspick::daemon {

// Where records of a shard are sent, from the newest manifest with the shard.
struct RecordTarget {
  IndexVersion version;
  std::vector<BackendServerId> servers;
};

struct TrafficView {
  std::shared_ptr<const settings::Configuration> configuration;
  membership::ViewPointer members;
  membership::Placement placement;
  // The plans for the manifests that each route may pin, newest first.
  std::unordered_map<RouteId, routing::Plans> plans;
  std::map<std::pair<ServiceId, ShardId>, RecordTarget> record_targets;
};

// Builds the view. Has no side effects.
std::shared_ptr<const TrafficView> MakeTrafficView(
    std::shared_ptr<const settings::Configuration> configuration,
    membership::ViewPointer members);

// Whether a configuration has been loaded.
bool IsConfigured(const TrafficView& view);

// The instances to ask for a service's shards, in order: its owners, then this
// instance, which sends directly if no owner answers. With the direct policy,
// only this instance.
std::vector<InstanceId> CandidatesOf(const TrafficView& view,
                                     const ServiceId& service);

// Errors: kNotReady, kUnknownRoute, kNoSnapshot.
Result<front::RouteView> FindRoute(const TrafficView& view,
                                   const RouteId& route,
                                   const CustomerId& customer);

// Errors: kNotReady, kUnknownService; kMalformedRequest if no manifest assigns
// the shard to the service.
Result<front::RecordValues> FindService(const TrafficView& view,
                                        const ServiceId& service,
                                        const ShardId& shard,
                                        const CustomerId& customer);

routing::CustomerRules CustomerRulesOf(const TrafficView& view,
                                       const CustomerId& customer);

// How long a record's key is remembered.
Millis RecordWindowOf(const TrafficView& view);

// The configuration of all services for this instance's executor.
std::vector<dispatch::GroupConfig> GroupConfigsOf(const TrafficView& view);

}  // namespace hibiscuspick::daemon
