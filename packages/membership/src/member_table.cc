#include "hibiscuspick/membership/member_table.h"

#include <algorithm>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::membership {
namespace {

// Raises this instance's entry above a report that contradicts it.
MergeResult MergeSelf(MemberTable* table, const MemberState& state) {
  auto& self = SelfOf(table).state;
  if (!Replaces(state, self)) return MergeResult::kNotNewer;
  ++table->generation;
  if (state.incarnation > self.incarnation) {
    // An earlier incarnation had a higher number because its machine's clock
    // was ahead. Until this one is higher, the peers ignore this instance's
    // reports.
    self.incarnation = Incarnation(state.incarnation.value + 1);
    self.refutations = 0;
    return MergeResult::kRefuted;
  }
  const bool reported_leaving =
      state.refutations == self.refutations && state.phase == Phase::kLeaving;
  if (reported_leaving && !table->refute_leaving) {
    self.phase = Phase::kLeaving;
    return MergeResult::kChanged;
  }
  self.refutations = state.refutations + 1;
  return MergeResult::kRefuted;
}

bool IsSilent(Millis silence, Millis limit) { return silence > limit; }

// Counts the other members of this data centre and the silent ones among them.
struct SilenceCounts {
  size_t others = 0;
  size_t silent = 0;
};

SilenceCounts CountSilent(const MemberTable& table, const MemberLimits& limits,
                          Millis now) {
  SilenceCounts result;
  for (const auto& [id, it] : table.members) {
    if (id == table.self || it.state.phase == Phase::kGone) continue;
    if (it.state.data_centre != table.data_centre) continue;
    ++result.others;
    if (IsSilent(now - it.last_heard, limits.suspect_after)) ++result.silent;
  }
  return result;
}

// Returns the silence after which a member of this data centre counts as gone.
// If most are silent at once, this instance is probably cut off, or a switch
// has failed temporarily. Reporting them all as gone would only make each of
// them refute it, so the limit is longer.
Millis GoneAfter(const MemberTable& table, const MemberLimits& limits,
                 Millis now) {
  constexpr size_t kMinSilent = 3;
  const auto seen = CountSilent(table, limits, now);
  const bool most = seen.silent >= kMinSilent && seen.silent * 2 > seen.others;
  return most ? limits.most_gone_after : limits.gone_after;
}

bool IsSuspect(const MemberTable& table, const MemberLimits& limits,
               const Member& member, Millis now) {
  if (member.last_failure &&
      now - *member.last_failure < limits.suspect_failed_for) {
    return true;
  }
  if (member.state.data_centre == table.data_centre) {
    return IsSilent(now - member.last_heard, limits.suspect_after);
  }
  const auto it = table.data_centres_last_heard.find(member.state.data_centre);
  return it == table.data_centres_last_heard.end() ||
         IsSilent(now - it->second, limits.data_centre_suspect_after);
}

bool IsForgotten(const MemberTable& table, const MemberLimits& limits,
                 const Member& member, Millis now) {
  if (member.state.phase == Phase::kGone) {
    return IsSilent(now - member.last_heard, limits.forget_after);
  }
  if (member.state.data_centre == table.data_centre) return false;
  const auto it = table.data_centres_last_heard.find(member.state.data_centre);
  return it != table.data_centres_last_heard.end() &&
         IsSilent(now - it->second, limits.forget_after);
}

void UpdateSuspicion(MemberTable* table, const MemberLimits& limits, Millis now,
                     Member* member, SweepResult* result) {
  const bool suspect = IsSuspect(*table, limits, *member, now);
  if (suspect == member->suspect) return;
  member->suspect = suspect;
  ++table->generation;
  auto& list = suspect ? result->suspected : result->recovered;
  list.push_back(member->state.id);
}

}  // namespace

Member& SelfOf(MemberTable* table) { return table->members.at(table->self); }

const Member& SelfOf(const MemberTable& table) {
  return table.members.at(table.self);
}

MergeResult MergeMember(MemberTable* table, const MemberState& state,
                        Millis now) {
  if (state.id == table->self) return MergeSelf(table, state);
  const auto it = table->members.find(state.id);
  if (it == table->members.end()) {
    // Accepting a gone instance would let a forgotten one circulate forever.
    if (state.phase == Phase::kGone) return MergeResult::kNotNewer;
    table->members[state.id] = Member{state, now, false, std::nullopt};
    table->data_centres_last_heard.try_emplace(state.data_centre, now);
    ++table->generation;
    return MergeResult::kChanged;
  }
  auto& known = it->second;
  if (Replaces(state, known.state)) {
    known = Member{state, now, false, std::nullopt};
    ++table->generation;
    return MergeResult::kChanged;
  }
  if (Replaces(known.state, state)) return MergeResult::kNotNewer;
  const bool newer = MergeHeartbeat(table, state.id, state.heartbeat, now);
  return newer ? MergeResult::kHeartbeat : MergeResult::kNotNewer;
}

bool MergeHeartbeat(MemberTable* table, const InstanceId& id,
                    uint64_t heartbeat, Millis now) {
  if (id == table->self) return false;
  const auto it = table->members.find(id);
  if (it == table->members.end()) return false;
  auto& known = it->second;
  if (known.state.phase == Phase::kGone) return false;
  if (heartbeat <= known.state.heartbeat) return false;
  known.state.heartbeat = heartbeat;
  known.last_heard = now;
  return true;
}

void MarkFailed(MemberTable* table, const InstanceId& id, Millis now) {
  const auto it = table->members.find(id);
  if (it != table->members.end() && id != table->self) {
    it->second.last_failure = now;
  }
}

SweepResult Sweep(MemberTable* table, const MemberLimits& limits, Millis now) {
  SweepResult result;
  const Millis gone_after = GoneAfter(*table, limits, now);
  for (auto& [id, it] : table->members) {
    if (id == table->self) continue;
    if (IsForgotten(*table, limits, it, now)) {
      result.forgotten.push_back(id);
      continue;
    }
    if (it.state.phase == Phase::kGone) continue;
    if (it.state.data_centre == table->data_centre &&
        IsSilent(now - it.last_heard, gone_after)) {
      it.state.phase = Phase::kGone;
      it.last_heard = now;
      ++table->generation;
      result.gone.push_back(id);
      continue;
    }
    UpdateSuspicion(table, limits, now, &it, &result);
  }
  for (const auto& id : result.forgotten) {
    table->members.erase(id);
    ++table->generation;
  }
  return result;
}

void DiscountPause(MemberTable* table, Millis pause) {
  for (auto& [id, it] : table->members) it.last_heard += pause;
  for (auto& [id, it] : table->data_centres_last_heard) it += pause;
}

size_t MemberBucketOf(const InstanceId& id) {
  return static_cast<size_t>(Hash(id.text) % kMemberBuckets);
}

MemberBuckets BucketsOf(const MemberTable& table) {
  MemberBuckets buckets{};
  for (const auto& [id, it] : table.members) {
    if (it.state.phase == Phase::kGone) continue;
    uint64_t hash = IncarnationKey(it.state);
    hash = Hash(it.state.inner.ip, hash ^ it.state.inner.port);
    hash = Hash(it.state.data_centre.text,
                hash ^ static_cast<uint64_t>(it.state.phase));
    buckets[MemberBucketOf(id)] ^= static_cast<uint32_t>(hash);
  }
  return buckets;
}

}  // namespace hibiscuspick::membership
