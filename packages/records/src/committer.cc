#include "hibiscuspick/records/committer.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace hibiscuspick::records {
namespace {

using Actions = std::vector<CommitAction>;

void Read(Committer* it, Actions* actions) {
  it->is_busy = true;
  actions->emplace_back(ReadBucket{});
}

void Decide(Committer* it, uint64_t id, const Verdict& verdict,
            Actions* actions) {
  const auto place = it->waiting.find(id);
  if (place == it->waiting.end()) return;
  if (!place->second.is_orphan) actions->emplace_back(Decided{id, verdict});
  it->waiting.erase(place);
}

const std::string& KeyOf(const Change& change) {
  return std::visit([](const auto& c) -> const std::string& { return c.key; },
                    change);
}

struct Round {
  BucketValue value;
  std::vector<Decided> by_write;
  std::vector<Decided> at_once;
  bool wants_read = false;
};

// Applies all pending changes to a copy of the bucket. A change that alters the
// copy gets its verdict only after the write: if a claim were dispatched before
// and the write failed, the record would run again under another claim. A
// verdict that depends on what another change of this batch altered waits too:
// otherwise a caller would be told that its key is in use by a claim that never
// took effect.
Round MakeRound(const Committer& it) {
  Round round;
  round.value = it.value;
  std::set<std::string> altered;
  for (const auto& [id, waiting] : it.waiting) {
    const Verdict verdict = Apply(it.rules, &round.value, waiting.change);
    const std::string& key = KeyOf(waiting.change);
    if (verdict.is_changed || it.lost) {
      round.by_write.push_back({id, verdict});
      altered.insert(key);
      continue;
    }
    const bool rests_on_round =
        altered.contains(key) || round.value.epoch != it.value.epoch;
    if (rests_on_round) continue;
    if (waiting.is_seen || verdict.kind == VerdictKind::kTooOld) {
      round.at_once.push_back({id, verdict});
    } else {
      round.wants_read = true;
    }
  }
  return round;
}

void Write(Committer* it, Round round, Actions* actions) {
  for (const auto& decided : round.by_write) {
    it->waiting[decided.id].is_written = true;
  }
  it->written = std::move(round.value);
  it->written_over = it->version;
  it->on_success = std::move(round.by_write);
  it->is_busy = true;
  actions->emplace_back(WriteBucket{it->written, it->version});
}

// Starts the next call if any change is pending.
void Begin(Committer* it, Actions* actions) {
  if (it->is_busy || it->waiting.empty()) return;
  if (!it->is_known) {
    Read(it, actions);
    return;
  }
  Round round = MakeRound(*it);
  for (const auto& decided : round.at_once) {
    Decide(it, decided.id, decided.verdict, actions);
  }
  if (!round.by_write.empty()) {
    Write(it, std::move(round), actions);
  } else if (round.wants_read) {
    Read(it, actions);
  }
}

void DropOldOrphans(Committer* it) {
  size_t n = static_cast<size_t>(
      std::count_if(it->waiting.begin(), it->waiting.end(),
                    [](const auto& w) { return w.second.is_orphan; }));
  for (auto w = it->waiting.begin(); n > kMaxOrphans;) {
    const bool is_dropped = w->second.is_orphan;
    w = is_dropped ? it->waiting.erase(w) : std::next(w);
    if (is_dropped) --n;
  }
}

// The submitter of `id` has stopped waiting, or got the verdict kUnknown.
void Abandon(Committer* it, uint64_t id) {
  const auto place = it->waiting.find(id);
  if (place == it->waiting.end()) return;
  const auto* claim = std::get_if<Claim>(&place->second.change);
  if (claim == nullptr) {
    place->second.is_orphan = true;
  } else {
    Waiting release;
    release.change = ReleaseClaim{claim->key, claim->epoch, claim->token};
    release.is_orphan = true;
    if (place->second.is_written) it->waiting[id | kReleaseBit] = release;
    it->waiting.erase(id);
  }
  DropOldOrphans(it);
}

// Handles a failed call. After kMaxFailures consecutive ones, all submitters
// get kUnknown, and no call is made until the next Submit or Retry.
void Fail(Committer* it, Actions* actions) {
  it->is_known = false;
  ++it->failures;
  if (it->failures < kMaxFailures) {
    Begin(it, actions);
    return;
  }
  std::vector<uint64_t> told;
  for (const auto& [id, waiting] : it->waiting) {
    if (!waiting.is_orphan) told.push_back(id);
  }
  for (const uint64_t id : told) {
    actions->emplace_back(Decided{id, {VerdictKind::kUnknown, {}}});
    Abandon(it, id);
  }
}

void Know(Committer* it, BucketValue value, std::optional<Revision> version) {
  it->is_known = true;
  it->value = std::move(value);
  it->version = version;
  it->failures = 0;
  // A lost write can no longer take effect once the version has changed.
  if (it->lost && it->lost->expected != version) it->lost.reset();
}

void On(Committer* it, const Submit& event, Actions* actions) {
  Waiting waiting;
  waiting.change = event.change;
  it->waiting.emplace(event.id, std::move(waiting));
  Begin(it, actions);
}

void On(Committer* it, const GiveUp& event, Actions*) { Abandon(it, event.id); }

void On(Committer* it, const GotBucket& event, Actions* actions) {
  it->is_busy = false;
  if (IsOk(event.result)) {
    const StoredBucket& bucket = ValueOf(event.result);
    Know(it, bucket.value, bucket.version);
  } else if (ErrorOf(event.result).code == Code::kNotFound) {
    Know(it, BucketValue{}, std::nullopt);
  } else {
    Fail(it, actions);
    return;
  }
  for (auto& [id, waiting] : it->waiting) waiting.is_seen = true;
  Begin(it, actions);
}

void On(Committer* it, const PutDone& event, Actions* actions) {
  it->is_busy = false;
  if (IsOk(event.result)) {
    Know(it, std::move(it->written), ValueOf(event.result));
    it->lost.reset();
    for (const auto& decided : std::exchange(it->on_success, {})) {
      Decide(it, decided.id, decided.verdict, actions);
    }
    Begin(it, actions);
    return;
  }
  it->on_success.clear();
  const Code code = ErrorOf(event.result).code;
  if (code == Code::kPlatformConflict) {
    // Not a failure of the platform: another instance wrote first.
    it->is_known = false;
    Begin(it, actions);
    return;
  }
  if (code == Code::kPlatformReplyLost) {
    it->lost = LostWrite{it->written_over};
  }
  Fail(it, actions);
}

void On(Committer* it, const Retry&, Actions* actions) {
  it->failures = 0;
  Begin(it, actions);
}

}  // namespace

std::vector<CommitAction> Step(Committer* it, const CommitEvent& event) {
  Actions actions;
  std::visit([&](const auto& e) { On(it, e, &actions); }, event);
  return actions;
}

bool IsIdle(const Committer& it) { return it.waiting.empty() && !it.is_busy; }

}  // namespace hibiscuspick::records
