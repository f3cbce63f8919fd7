// Drives one query's state machine with virtual time.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/routing/query.h"

namespace hibiscuspick::routing {

// A plan of `n` shards named `prefix`1, `prefix`2, and so on, with `documents`
// each and two shards to a service.
inline std::shared_ptr<const Plan> TestPlan(uint64_t version, int n,
                                            const std::string& prefix = "p",
                                            uint64_t documents = 100) {
  settings::Snapshot snapshot;
  snapshot.id = "v" + std::to_string(version);
  snapshot.index_version = IndexVersion(version);
  for (int i = 1; i <= n; ++i) {
    snapshot.shards.push_back({ShardId(prefix + std::to_string(i)),
                               ServiceId("s" + std::to_string((i - 1) / 2)),
                               documents,
                               {}});
  }
  return MakePlan(snapshot, settings::Route{}, [](const ServiceId& it) {
    return std::vector{BackendServerId(it.text + "-a")};
  });
}

inline limits::ShardOutcome Answered(const std::string& shard,
                                     std::vector<limits::Hit> hits = {}) {
  return {ShardId(shard), Code::kOk, Ran::kMaybe, 1, std::move(hits), {}};
}

inline limits::ShardOutcome Failed(const std::string& shard, Code code,
                                   Ran ran = Ran::kMaybe) {
  return {ShardId(shard), code, ran, ran == Ran::kNo ? 0U : 1U, {}, {}};
}

inline limits::ShardOutcome Refused(const std::string& shard,
                                    std::vector<uint64_t> held) {
  limits::ShardOutcome outcome = Failed(shard, Code::kVersionNotHeld);
  for (const uint64_t it : held) outcome.held.emplace_back(it);
  return outcome;
}

struct QueryDriver {
  Plans plans;
  // Every service has the same candidates.
  std::vector<InstanceId> candidates{InstanceId("a"), InstanceId("b"),
                                     InstanceId("self")};
  bool may_reassign = true;
  QueryRequest request;
  QueryState state;
  Millis now{1000};
  std::vector<SendPart> sent;
  std::vector<CancelPart> cancelled;
  std::vector<VersionObserved> observed_versions;
  std::optional<Answer> answer;

  explicit QueryDriver(Plans known) : plans(std::move(known)) {
    request.limit = 5;
    request.deadline = Millis(100);
    request.values.answer_reserve = Millis(0);
    request.values.owner_timeout = Millis(30);
    request.values.latency_grace = Millis(2);
    request.values.prefer = settings::Prefer::kCoverage;
  }

  void Start(HeldVersions held = {}) {
    state = MakeQuery(request, QueryId(7), now);
    Handle(Started{std::move(held)});
  }

  void Handle(const Event& event) {
    QueryEnvironment environment;
    environment.self = InstanceId("self");
    environment.incarnation = Incarnation(3);
    environment.candidates = [this](const ServiceId&) { return candidates; };
    environment.plans = [this] { return plans; };
    environment.may_reassign = [this](size_t) { return may_reassign; };
    for (const auto& it : Step(&state, event, environment, now)) Collect(it);
  }

  void Collect(const Action& action) {
    if (const auto* send = std::get_if<SendPart>(&action)) {
      sent.push_back(*send);
    } else if (const auto* cancel = std::get_if<CancelPart>(&action)) {
      cancelled.push_back(*cancel);
    } else if (const auto* version = std::get_if<VersionObserved>(&action)) {
      observed_versions.push_back(*version);
    } else if (const auto* finish = std::get_if<Finish>(&action)) {
      answer = finish->answer;
    }
  }

  // Delivers outcomes of the part sent as number `part`, counted from 0.
  void Deliver(size_t part, std::vector<limits::ShardOutcome> outcomes) {
    Handle(
        OutcomesArrived{sent.at(part).part.origin.part, std::move(outcomes)});
  }

  void TickAt(double after_start) {
    now = Millis(1000 + after_start);
    Handle(Tick{});
  }
};

}  // namespace hibiscuspick::routing
