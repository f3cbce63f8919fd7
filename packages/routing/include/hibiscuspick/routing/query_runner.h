// Runs queries on their callers' threads. Each thread drives one query's state
// machine and sleeps until other threads post events.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/routing/query.h"
#include "hibiscuspick/routing/reassign_budget.h"
#include "hibiscuspick/routing/unresponsive_peers.h"

namespace hibiscuspick::routing {

// Callbacks of the runner. Each may call OnOutcomes or OnPeerFailed before it
// returns.
struct RunnerCallbacks {
  std::function<void(const InstanceId& to, const limits::PartRequest& part)>
      send_part;
  std::function<void(const limits::PartRequest& part)> run_local;
  // `at` is this instance's own id for a part that runs here.
  std::function<void(const InstanceId& at, PartId part)> cancel_part;
  // The instances that can run a service's shards, best first; the own id means
  // here. For direct sending, only the own id.
  CandidatesOf candidates;
};

class QueryRunner {
 public:
  // `instance` and `incarnation` identify this process in the fleet.
  QueryRunner(InstanceId instance, Incarnation incarnation,
              RunnerCallbacks callbacks);

  // Runs a query on the calling thread and returns its answer. `plans` returns
  // the manifests now known for the route; `stop` tells whether the caller has
  // disconnected and is polled every few milliseconds. `arrived` is when the
  // request was read.
  Answer Run(QueryRequest request, Millis arrived,
             const std::function<Plans()>& plans,
             const std::function<bool()>& stop);

  // Thread-safe. Outcomes of queries that have ended are dropped.
  void OnOutcomes(PartId part, std::vector<limits::ShardOutcome> outcomes);
  void OnPeerFailed(const InstanceId& instance);

  // Number of running queries.
  size_t running() const { return running_; }

 private:
  struct Inbox;
  struct Stripe {
    std::mutex mutex;
    std::unordered_map<QueryId, std::shared_ptr<Inbox>> inboxes;
  };
  static constexpr size_t kStripes = 16;

  Stripe& StripeOf(QueryId id) { return stripes_[id.value % kStripes]; }
  void Add(QueryId id, std::shared_ptr<Inbox> inbox);
  void Remove(QueryId id);
  bool Perform(std::vector<Action>* actions, Answer* answer);
  void Record(const VersionObserved& seen);
  void Record(const PeerObserved& seen);
  std::vector<InstanceId> Candidates(const ServiceId& service);
  HeldVersions CurrentHeldVersions();

  const InstanceId instance_;
  const Incarnation incarnation_;
  const RunnerCallbacks callbacks_;
  std::array<Stripe, kStripes> stripes_;
  std::atomic<uint64_t> last_query_{0};
  std::atomic<size_t> running_{0};
  std::mutex held_mutex_;
  HeldVersions held_;
  std::atomic<bool> held_empty_{true};
  std::mutex unresponsive_mutex_;
  UnresponsivePeers unresponsive_;
  std::atomic<bool> unresponsive_empty_{true};
  std::mutex budget_mutex_;
  ReassignBudget budget_;
};

}  // namespace hibiscuspick::routing
