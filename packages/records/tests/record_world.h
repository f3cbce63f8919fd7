// A simulated platform with faults and several instances that run records on
// it, all driven step by step by a seeded random generator.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/base/random.h"
#include "hibiscuspick/records/committer.h"
#include "hibiscuspick/records/record_flow.h"

namespace hibiscuspick::records {

struct FakeStore {
  std::map<std::string, StoredBucket> objects;
  uint64_t last_version = 0;
  int writes = 0;

  Result<StoredBucket> Get(const std::string& name) const {
    const auto it = objects.find(name);
    if (it == objects.end()) return Error{Code::kNotFound, "", ""};
    return it->second;
  }
  Result<Revision> Put(const std::string& name, const WriteBucket& write) {
    const auto it = objects.find(name);
    const std::optional<Revision> now =
        it == objects.end() ? std::nullopt : std::optional(it->second.version);
    if (now != write.expected) return Error{Code::kPlatformConflict, "", ""};
    ++writes;
    const Revision version(++last_version);
    objects[name] = {version, write.value};
    return version;
  }
};

// One request at one instance.
struct RunningRecord {
  RecordRequest request;
  ClaimPlan plan;
  uint64_t id = 0;
  bool may_dispatch = false;
  bool has_executed = false;
  std::optional<RecordAnswer> answer;
};

struct RecordInstance {
  int incarnation = 0;
  uint64_t last_id = 0;
  int paused = 0;
  std::map<std::string, Committer> committers;
  std::map<std::string, CommitAction> calls;
  std::vector<RunningRecord> running;
};

struct RecordWorld {
  Rules rules;
  FakeStore store;
  std::vector<RecordInstance> instances{3};
  Millis wall{1.7e12};
  Random random;
  // Writes whose reply was lost and that may take effect later.
  std::vector<std::pair<std::string, WriteBucket>> delayed;
  // By service and key: how often the record ran, and its result.
  std::map<std::string, int> executed;
  std::map<std::string, std::string> results;
  int done = 0;
  int violations = 0;

  explicit RecordWorld(uint64_t seed) : random(seed) {
    rules.window = Millis(3000);
    rules.layout.slot = Millis(1000);
    rules.layout.ring_slots = 6;
    rules.layout.buckets_per_slot = 1;
    rules.layout.undated_buckets = 2;
    rules.max_ahead = Millis(500);
  }

  void Advance(RecordInstance* it, const std::string& bucket,
               const CommitEvent& event) {
    Committer& committer = it->committers[bucket];
    committer.rules = rules;
    for (const auto& action : Step(&committer, event)) {
      if (const auto* decided = std::get_if<Decided>(&action)) {
        HandleVerdict(it, *decided);
      } else {
        it->calls.insert_or_assign(bucket, action);
      }
    }
  }

  void HandleVerdict(RecordInstance* it, const Decided& decided) {
    for (auto& record : it->running) {
      if (record.id != decided.id || record.answer) continue;
      const auto answer = AnswerToClaim(record.plan.claim, decided.verdict);
      if (answer) Finish(&record, *answer);
      record.may_dispatch = !answer;
    }
  }

  void Finish(RunningRecord* record, const RecordAnswer& answer) {
    record->answer = answer;
    if (answer.ran == Ran::kNo && record->has_executed) ++violations;
    const bool is_done = answer.code == Code::kOk;
    if (!is_done) return;
    ++done;
    const std::string& key = record->plan.claim.key;
    if (executed[key] != 1 || results[key] != answer.result) ++violations;
  }

  // Starts a record; returns its index among the instance's records.
  size_t Start(RecordInstance* it, const std::string& key,
               const std::string& body) {
    RunningRecord record;
    record.request.service = ServiceId("claims");
    record.request.key = key;
    record.request.record = body;
    record.id = ++it->last_id;
    const auto instance = static_cast<size_t>(it - instances.data());
    const std::string token = std::to_string(instance) + "." +
                              std::to_string(it->incarnation) + "." +
                              std::to_string(record.id);
    const auto plan = PlanClaim(rules, record.request, token, wall);
    if (!IsOk(plan)) {
      record.answer = RecordAnswer{ErrorOf(plan).code, Ran::kNo, "", {}, ""};
      it->running.push_back(record);
      return it->running.size() - 1;
    }
    record.plan = ValueOf(plan);
    it->running.push_back(record);
    Advance(it, record.plan.bucket, Submit{record.id, record.plan.claim});
    return it->running.size() - 1;
  }

  void CommitAsync(RecordInstance* it, const std::string& bucket,
                   const Change& change) {
    const uint64_t id = ++it->last_id;
    Advance(it, bucket, Submit{id, change});
    Advance(it, bucket, GiveUp{id});
  }

  void Dispatch(RecordInstance* it, size_t n, DispatchResult result,
                bool executes) {
    RunningRecord* record = &it->running[n];
    record->may_dispatch = false;
    const Claim claim = record->plan.claim;
    if (executes) {
      ++executed[claim.key];
      record->has_executed = true;
      results[claim.key] = result.result;
    }
    const DispatchDecision decision = HandleDispatchResult(claim, result);
    Finish(record, decision.answer);
    if (decision.change) CommitAsync(it, record->plan.bucket, *decision.change);
  }

  void ExpireDeadline(RecordInstance* it, size_t n) {
    RunningRecord* record = &it->running[n];
    if (record->answer) return;
    const Claim claim = record->plan.claim;
    const std::string bucket = record->plan.bucket;
    if (record->may_dispatch) {
      record->may_dispatch = false;
      Finish(record, DeadlineAnswer());
      CommitAsync(it, bucket,
                  ReleaseClaim{claim.key, claim.epoch, claim.token});
      return;
    }
    Finish(record, *AnswerToClaim(claim, Verdict{}));
    Advance(it, bucket, GiveUp{record->id});
  }

  enum class Fault { kNone, kRefused, kLostAfter, kLostBefore, kLostDelayed };

  // Performs the instance's call for the bucket, with a fault. The name is
  // passed by value, since callers pass the key of the call that is erased
  // here.
  void Call(RecordInstance* it, std::string bucket, Fault fault) {
    const CommitAction action = it->calls.at(bucket);
    it->calls.erase(bucket);
    const Error refused{Code::kPlatformUnavailable, "", ""};
    const Error lost{Code::kPlatformReplyLost, "", ""};
    const auto* write = std::get_if<WriteBucket>(&action);
    if (write == nullptr) {
      auto got = store.Get(bucket);
      if (fault != Fault::kNone) got = refused;
      Advance(it, bucket, GotBucket{got});
      return;
    }
    Result<Revision> put = lost;
    if (fault == Fault::kRefused) put = refused;
    if (fault == Fault::kNone) put = store.Put(bucket, *write);
    if (fault == Fault::kLostAfter) store.Put(bucket, *write);
    if (fault == Fault::kLostDelayed) delayed.emplace_back(bucket, *write);
    Advance(it, bucket, PutDone{put});
  }

  // Performs all outstanding calls without faults.
  void PerformAllCalls() {
    for (auto& it : instances) {
      while (!it.calls.empty())
        Call(&it, it.calls.begin()->first, Fault::kNone);
    }
  }
};

}  // namespace hibiscuspick::records
