#include "hibiscuspick/records/committer.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace hibiscuspick::records {
namespace {

using Actions = std::vector<CommitAction>;

void StartRead(Committer* it, Actions* actions) {
  it->is_busy = true;
  actions->emplace_back(ReadBucket{});
}

void Decide(Committer* it, uint64_t id, const Verdict& verdict,
            Actions* actions) {
  const auto entry = it->pending.find(id);
  if (entry == it->pending.end()) return;
  if (!entry->second.is_orphan) actions->emplace_back(Decided{id, verdict});
  it->pending.erase(entry);
}

const std::string& KeyOf(const Change& change) {
  return std::visit([](const auto& c) -> const std::string& { return c.key; },
                    change);
}

struct Batch {
  BucketValue value;
  std::vector<Decided> after_write;
  std::vector<Decided> immediate;
  bool needs_read = false;
};

// Applies all pending changes to a copy of the bucket. A change that alters the
// copy gets its verdict only after the write: if a claim were dispatched before
// and the write failed, the record would run again under another claim. A
// verdict that depends on what another change of this batch altered waits too:
// otherwise a caller would be told that its key is in use by a claim that never
// took effect.
Batch MakeBatch(const Committer& it) {
  Batch batch;
  batch.value = it.value;
  std::set<std::string> altered;
  for (const auto& [id, pending] : it.pending) {
    const Verdict verdict = Apply(it.rules, &batch.value, pending.change);
    const std::string& key = KeyOf(pending.change);
    if (verdict.is_changed || it.lost_write) {
      batch.after_write.push_back({id, verdict});
      altered.insert(key);
      continue;
    }
    const bool depends_on_batch =
        altered.contains(key) || batch.value.epoch != it.value.epoch;
    if (depends_on_batch) continue;
    if (pending.is_read_since_submit || verdict.kind == VerdictKind::kTooOld) {
      batch.immediate.push_back({id, verdict});
    } else {
      batch.needs_read = true;
    }
  }
  return batch;
}

void StartWrite(Committer* it, Batch batch, Actions* actions) {
  for (const auto& decided : batch.after_write) {
    it->pending[decided.id].is_written = true;
  }
  it->write_value = std::move(batch.value);
  it->write_expected = it->version;
  it->on_success = std::move(batch.after_write);
  it->is_busy = true;
  actions->emplace_back(WriteBucket{it->write_value, it->version});
}

// Starts the next call if any change is pending.
void StartNextCall(Committer* it, Actions* actions) {
  if (it->is_busy || it->pending.empty()) return;
  if (!it->is_known) {
    StartRead(it, actions);
    return;
  }
  Batch batch = MakeBatch(*it);
  for (const auto& decided : batch.immediate) {
    Decide(it, decided.id, decided.verdict, actions);
  }
  if (!batch.after_write.empty()) {
    StartWrite(it, std::move(batch), actions);
  } else if (batch.needs_read) {
    StartRead(it, actions);
  }
}

void DropOldOrphans(Committer* it) {
  size_t n = static_cast<size_t>(
      std::count_if(it->pending.begin(), it->pending.end(),
                    [](const auto& w) { return w.second.is_orphan; }));
  for (auto w = it->pending.begin(); n > kMaxOrphans;) {
    const bool is_dropped = w->second.is_orphan;
    w = is_dropped ? it->pending.erase(w) : std::next(w);
    if (is_dropped) --n;
  }
}

// The submitter of `id` has stopped waiting, or got the verdict kUnknown.
void Abandon(Committer* it, uint64_t id) {
  const auto entry = it->pending.find(id);
  if (entry == it->pending.end()) return;
  const auto* claim = std::get_if<Claim>(&entry->second.change);
  if (claim == nullptr) {
    entry->second.is_orphan = true;
  } else {
    PendingChange release;
    release.change = ReleaseClaim{claim->key, claim->epoch, claim->token};
    release.is_orphan = true;
    if (entry->second.is_written) it->pending[id | kReleaseBit] = release;
    it->pending.erase(id);
  }
  DropOldOrphans(it);
}

// Handles a failed call. After kMaxFailures consecutive ones, all submitters
// get kUnknown, and no call is made until the next Submit or Retry.
void OnCallFailed(Committer* it, Actions* actions) {
  it->is_known = false;
  ++it->failures;
  if (it->failures < kMaxFailures) {
    StartNextCall(it, actions);
    return;
  }
  std::vector<uint64_t> notified;
  for (const auto& [id, pending] : it->pending) {
    if (!pending.is_orphan) notified.push_back(id);
  }
  for (const uint64_t id : notified) {
    actions->emplace_back(Decided{id, {VerdictKind::kUnknown, {}}});
    Abandon(it, id);
  }
}

void SetBucket(Committer* it, BucketValue value,
               std::optional<Revision> version) {
  it->is_known = true;
  it->value = std::move(value);
  it->version = version;
  it->failures = 0;
  // A lost write can no longer take effect once the version has changed.
  if (it->lost_write && it->lost_write->expected != version) {
    it->lost_write.reset();
  }
}

void On(Committer* it, const Submit& event, Actions* actions) {
  PendingChange pending;
  pending.change = event.change;
  it->pending.emplace(event.id, std::move(pending));
  StartNextCall(it, actions);
}

void On(Committer* it, const GiveUp& event, Actions*) { Abandon(it, event.id); }

void On(Committer* it, const GotBucket& event, Actions* actions) {
  it->is_busy = false;
  if (IsOk(event.result)) {
    const StoredBucket& bucket = ValueOf(event.result);
    SetBucket(it, bucket.value, bucket.version);
  } else if (ErrorOf(event.result).code == Code::kNotFound) {
    SetBucket(it, BucketValue{}, std::nullopt);
  } else {
    OnCallFailed(it, actions);
    return;
  }
  for (auto& [id, pending] : it->pending) pending.is_read_since_submit = true;
  StartNextCall(it, actions);
}

void On(Committer* it, const PutDone& event, Actions* actions) {
  it->is_busy = false;
  if (IsOk(event.result)) {
    SetBucket(it, std::move(it->write_value), ValueOf(event.result));
    it->lost_write.reset();
    for (const auto& decided : std::exchange(it->on_success, {})) {
      Decide(it, decided.id, decided.verdict, actions);
    }
    StartNextCall(it, actions);
    return;
  }
  it->on_success.clear();
  const Code code = ErrorOf(event.result).code;
  if (code == Code::kPlatformConflict) {
    // Not a failure of the platform: another instance wrote first.
    it->is_known = false;
    StartNextCall(it, actions);
    return;
  }
  if (code == Code::kPlatformReplyLost) {
    it->lost_write = LostWrite{it->write_expected};
  }
  OnCallFailed(it, actions);
}

void On(Committer* it, const Retry&, Actions* actions) {
  it->failures = 0;
  StartNextCall(it, actions);
}

}  // namespace

std::vector<CommitAction> Step(Committer* it, const CommitEvent& event) {
  Actions actions;
  std::visit([&](const auto& e) { On(it, e, &actions); }, event);
  return actions;
}

bool IsIdle(const Committer& it) { return it.pending.empty() && !it.is_busy; }

}  // namespace hibiscuspick::records
