// One query as a pure machine: which manifest is pinned, which instance is
// asked for which shards, what counts towards coverage, and when to answer.
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

// What a caller asked for, checked, with the route's values filled in.
struct QueryRequest {
  std::string request_id;
  CustomerId customer;
  RouteId route;
  // JSON text, passed on unread.
  std::string query;
  uint32_t limit = 20;
  // From the arrival of the request.
  Millis deadline{200};
  double min_coverage = 1;
  RouteValues values;
};

struct MissingShard {
  ShardId shard;
  Code code = Code::kDeadlineExceeded;
};

struct Answer {
  // kOk if any shard answered; else why there is nothing to give.
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
  // Attempts at backend servers as far as known. A part whose report never
  // came counts one attempt for each of its unreported shards.
  uint64_t attempts = 0;
  uint32_t restarts = 0;
  // Parts asked again because an instance was silent or gone.
  uint32_t asked_again = 0;
  Millis took;
  // With a refusal: when it may be worth trying again; 0 if not known.
  Millis retry_after;
};

// Gives the instances to ask for a service's shards, best first. This
// instance's own id stands for running the part here.
using CandidatesOf = std::function<std::vector<InstanceId>(const ServiceId&)>;

// What a query sees of the world around it while it runs.
struct QueryWorld {
  InstanceId self;
  Incarnation incarnation;
  CandidatesOf candidates;
  // The manifests known now, newest first; asked at the start and before a
  // restart, so that a query learns of a manifest that came while it ran.
  std::function<Plans()> plans;
  // Whether the instance may spend another re-ask of this many shards on a
  // silent owner. Without a bound, owners slow from overload would each be
  // asked for again elsewhere, which doubles the load when it is highest.
  std::function<bool(size_t shards)> may_ask_again;
};

// Events.
struct Started {
  HeldVersions held;
};
struct OutcomesArrived {
  PartId part;
  // Empty: the instance says it is alive and still at work.
  std::vector<limits::ShardOutcome> outcomes;
};
// Nothing more will come from the instance.
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
// What an outcome told about the versions a shard's servers hold.
struct VersionSeen {
  ShardId shard;
  IndexVersion version;
  bool answered = false;
  std::vector<IndexVersion> held;
};
// The instance reported nothing of a part in time, or reported something.
struct PeerSeen {
  InstanceId instance;
  bool is_silent = false;
};
struct Finish {
  Answer answer;
};
using Action =
    std::variant<SendPart, CancelPart, VersionSeen, PeerSeen, Finish>;

// One ask of some shards at one instance.
struct PartState {
  InstanceId at;
  // Restarts before this part; outcomes of an earlier pin only count as load.
  uint32_t generation = 0;
  // Indexes into the pinned plan's shards that are not yet reported.
  std::vector<size_t> waiting;
  // When it counts as silent unless something comes; kNever for parts run here,
  // and once its shards were asked for elsewhere.
  Millis silent_at = kNever;
  bool cancelled = false;
};

struct ShardState {
  bool answered = false;
  // Asks now running.
  uint32_t asks = 0;
  // Instances tried so far.
  std::vector<InstanceId> tried;
  // The last failure; kOk if none yet.
  Code failure = Code::kOk;
};

struct QueryState {
  QueryRequest request;
  QueryId id;
  Millis started;
  // The instant of the answer at the latest.
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
  uint32_t asked_again = 0;
  // Set when a part went to another instance or an outcome says that an
  // attempt was handed to a socket.
  bool may_have_run = false;
  // With Prefer::kLatency: when min_coverage was reached plus the grace.
  Millis good_enough_at = kNever;
};

// Part numbers of one query are its id shifted by this, plus a count, so that
// the query of a part is known without a table.
inline constexpr int kPartBits = 16;
QueryId QueryOf(PartId part);

// A query that has not started. `arrived` is when the request was read.
QueryState MakeQuery(QueryRequest request, QueryId id, Millis arrived);

// Moves the query on. After a Finish it takes no more events.
std::vector<Action> Step(QueryState* state, Event event,
                         const QueryWorld& world, Millis now);

// When the query next wants a Tick if nothing else happens.
Millis NextDue(const QueryState& state);

}  // namespace hibiscuspick::routing
