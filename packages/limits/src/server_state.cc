#include "hibiscuspick/limits/server_state.h"

#include <algorithm>
#include <cmath>

namespace hibiscuspick::limits {
namespace {

// Weight of a new sample in the moving average.
constexpr double kLatencyWeight = 0.1;
// Slow start factor of a server that has just joined.
constexpr double kMinSlowStartFactor = 0.1;
// The average latency of a server without new samples is halved after each such
// time. Otherwise a server that was slow once would get no attempts while
// others have capacity, and its average would never recover.
constexpr Millis kLatencyHalfLife{5000};
// Lower bound of the latency in Cost, so that load decides between servers
// without samples.
constexpr double kMinLatency = 0.1;
constexpr int kMaxDoublings = 16;

}  // namespace

double SlowStartFactor(const ServerState& server, const GroupPolicy& policy,
                       Millis now) {
  const Millis age = now - server.slow_start_began;
  if (age >= policy.slow_start) return 1;
  return std::max(kMinSlowStartFactor, age.count / policy.slow_start.count);
}

int ConnectionShare(const ServerState& server, const GroupPolicy& policy) {
  const int all = std::max(1, server.config.max_connections);
  const int reserve = std::clamp(policy.connections.reserve, 0, all - 1);
  return std::max(1, policy.connections.owner ? all - reserve : reserve);
}

bool AcceptsNewWork(const ServerState& server, Millis now) {
  if (server.removed || server.drained) return false;
  return !server.draining || now >= server.draining_until;
}

int Capacity(const ServerState& server, const GroupPolicy& policy, Millis now) {
  const int share = ConnectionShare(server, policy);
  const int full =
      policy.slots_enabled ? std::min(server.config.slots, share) : share;
  const double scaled = full * SlowStartFactor(server, policy, now);
  return std::max(1, static_cast<int>(std::ceil(scaled)));
}

bool HasCapacity(const ServerState& server, const GroupPolicy& policy,
                 Millis now, bool allow_probe) {
  if (!AcceptsNewWork(server, now)) return false;
  if (now < server.backoff_until) return false;
  if (server.ejected) {
    // One attempt at a time probes whether the server has recovered.
    const bool probe = allow_probe || now >= server.ejected_until;
    return probe && server.in_flight == 0;
  }
  return server.in_flight < Capacity(server, policy, now);
}

bool HasCapacityForBulk(const ServerState& server, const GroupPolicy& policy,
                        Millis now) {
  // Bulk attempts are long. If they used all slots, an urgent task would wait
  // for one of them to finish. A server with a single slot is exempt, since
  // bulk would otherwise never run there.
  const int capacity = Capacity(server, policy, now);
  return capacity == 1 || server.bulk_in_flight < capacity - 1;
}

bool LacksVersion(const ServerState& server, IndexVersion version,
                  const GroupPolicy& policy, Millis now) {
  const HeldVersions& held = server.held;
  if (held.versions.empty() ||
      now >= held.reported_at + policy.held_versions_lifetime) {
    return false;
  }
  return std::find(held.versions.begin(), held.versions.end(), version) ==
         held.versions.end();
}

double Cost(const ServerState& server, Millis now) {
  const double idle =
      (now - server.latency_updated_at).count / kLatencyHalfLife.count;
  const double decayed = server.latency.count * std::exp2(-idle);
  return (server.in_flight + 1) * std::max(decayed, kMinLatency);
}

bool UpdateDrainState(ServerState* server, Incarnation incarnation,
                      bool draining, const GroupPolicy& policy, Millis now) {
  if (incarnation.value != 0 && incarnation < server->incarnation) return false;
  const bool is_restart = server->incarnation < incarnation;
  const bool is_first_report = server->incarnation.value == 0;
  if (is_restart) server->incarnation = incarnation;
  if (draining) {
    const bool changed = !server->draining || is_restart;
    server->draining = true;
    server->draining_until =
        incarnation.value == 0 ? now + policy.drain_lifetime : kNever;
    return changed;
  }
  // A draining server never accepts work again within one incarnation, so a
  // "not draining" report of the same incarnation is stale.
  if (!is_restart) return false;
  if (is_first_report && !server->draining) return false;
  server->draining = false;
  server->ejected = false;
  server->consecutive_failures = 0;
  server->ejections = 0;
  server->latency = Millis(0);
  server->held = {};
  server->slow_start_began = now;
  return true;
}

void Eject(ServerState* server, const EjectionPolicy& policy, Millis now,
           Random* random) {
  const int doublings = std::min(server->ejections, kMaxDoublings);
  const Millis duration =
      Min(policy.max_duration, policy.first_duration * std::exp2(doublings));
  server->ejected = true;
  server->ejected_until = now + duration * (0.75 + 0.5 * random->Fraction());
  ++server->ejections;
}

void RecordLatency(ServerState* server, Millis latency, Millis now) {
  server->latency_updated_at = now;
  if (server->latency == Millis(0)) {
    server->latency = latency;
    return;
  }
  server->latency =
      server->latency * (1 - kLatencyWeight) + latency * kLatencyWeight;
}

}  // namespace hibiscuspick::limits
