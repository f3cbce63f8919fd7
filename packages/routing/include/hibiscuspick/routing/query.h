// State machine of one query, without I/O: pins a manifest, assigns shards to
// instances, tracks coverage and decides when to answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/limits/shard_work.h"
#include "hibiscuspick/routing/held_versions.h"
#include "hibiscuspick/routing/merge.h"
#include "hibiscuspick/routing/plan.h"
#include "hibiscuspick/routing/route_values.h"

namespace hibiscuspick::routing {

// A validated request, completed with the route's values.
struct QueryRequest {
  std::string request_id;
  CustomerId customer;
  RouteId route;
  // JSON text, forwarded without parsing.
  std::string query;
  uint32_t limit = 20;
  // Relative to the arrival of the request.
  Millis deadline{200};
  double min_coverage = 1;
  RouteValues values;
};

struct MissingShard {
  ShardId shard;
  Code code = Code::kDeadlineExceeded;
};

struct Answer {
  // kOk if any shard answered; otherwise the reason that none did.
  Code code = Code::kOk;
  Ran ran = Ran::kNo;
  std::string snapshot_id;
  IndexVersion version;
  uint64_t shards_total = 0;
  uint64_t shards_answered = 0;
  uint64_t documents_total = 0;
  uint64_t documents_covered = 0;
  // Share of documents covered, 0 to 1.
  double coverage = 0;
  std::vector<MissingShard> missing;
  std::vector<AnswerHit> hits;
  // Attempts at backend servers as far as known. A part without a report counts
  // one attempt for each of its unreported shards.
  uint64_t attempts = 0;
  uint32_t restarts = 0;
  // Parts sent to another instance because the first one timed out or failed.
  uint32_t parts_reassigned = 0;
  Millis elapsed;
  // With a refusal: the time after which to retry; 0 if not known.
  Millis retry_after;
};

// Returns the instances that can run a service's shards, best first. This
// instance's own id means running the part here.
using CandidatesOf = std::function<std::vector<InstanceId>(const ServiceId&)>;

// The environment of a running query.
struct QueryEnvironment {
  InstanceId self;
  Incarnation incarnation;
  CandidatesOf candidates;
  // The manifests known now, newest first. Called at the start and before a
  // restart, so that a restart uses manifests that arrived meanwhile.
  std::function<Plans()> plans;
  // Takes tokens to reassign this many shards from an instance that timed out;
  // false if there are too few. Without this bound, owners slow from overload
  // would have their work repeated elsewhere, doubling the load when it is
  // highest.
  std::function<bool(size_t shards)> may_reassign;
};

// Events.
struct Started {
  HeldVersions held;
};
struct OutcomesArrived {
  PartId part;
  // Empty: a keepalive from an instance that is still working on the part.
  std::vector<limits::ShardOutcome> outcomes;
};
// The instance will send no more outcomes.
struct PeerFailed {
  InstanceId instance;
};
struct Tick {};
struct CallerGone {};
using Event =
    std::variant<Started, OutcomesArrived, PeerFailed, Tick, CallerGone>;

// Actions.
struct SendPart {
  InstanceId to;
  limits::PartRequest part;
};
struct CancelPart {
  InstanceId at;
  PartId part;
};
// Whether a shard's servers hold a version, as learnt from an outcome.
struct VersionObserved {
  ShardId shard;
  IndexVersion version;
  bool answered = false;
  std::vector<IndexVersion> held;
};
// Whether an instance reported on a part in time.
struct PeerObserved {
  InstanceId instance;
  bool timed_out = false;
};
struct Finish {
  Answer answer;
};
using Action =
    std::variant<SendPart, CancelPart, VersionObserved, PeerObserved, Finish>;

// One request for some shards to one instance.
struct PartState {
  InstanceId at;
  // Number of restarts before this part. Outcomes of an earlier generation only
  // count as attempts.
  uint32_t generation = 0;
  // Indexes of the shards in the pinned plan that have no outcome yet.
  std::vector<size_t> pending;
  // When the part times out without a report; kNever for parts run here and for
  // parts whose shards have been reassigned.
  Millis times_out_at = kNever;
  bool cancelled = false;
};

struct ShardState {
  bool answered = false;
  // Parts in flight that include the shard.
  uint32_t requests = 0;
  // Instances the shard was requested from.
  std::vector<InstanceId> tried;
  // The last failure; kOk if none yet.
  Code failure = Code::kOk;
};

struct QueryState {
  QueryRequest request;
  QueryId id;
  Millis started;
  // The latest time to answer.
  Millis finish_by;
  bool finished = false;
  std::shared_ptr<const Plan> plan;
  HeldVersions held;
  std::vector<IndexVersion> tried_versions;
  std::vector<ShardState> shards;
  std::map<PartId, PartState> parts;
  uint64_t next_part = 0;
  uint32_t generation = 0;
  uint64_t documents_covered = 0;
  uint64_t shards_answered = 0;
  std::vector<AnswerHit> hits;
  uint64_t attempts = 0;
  uint32_t parts_reassigned = 0;
  // Set when a part was sent to another instance or an outcome says that an
  // attempt was sent.
  bool may_have_run = false;
  // With Prefer::kLatency: latency_grace after min_coverage was reached.
  Millis early_finish_at = kNever;
};

// A part id is the query id shifted by this many bits, plus a counter, so that
// the query of a part is known without a lookup table.
inline constexpr int kPartBits = 16;
QueryId QueryOf(PartId part);

// Creates a query that has not started. `arrived` is when the request was read.
QueryState MakeQuery(QueryRequest request, QueryId id, Millis arrived);

// Applies an event and returns the actions to perform. Events after Finish are
// ignored.
std::vector<Action> Step(QueryState* state, Event event,
                         const QueryEnvironment& environment, Millis now);

// When the query next needs a Tick if no other event occurs.
Millis NextDue(const QueryState& state);

}  // namespace hibiscuspick::routing
