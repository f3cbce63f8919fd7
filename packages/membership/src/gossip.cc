// Digests and the entries sent in reply to them.
#include <algorithm>
#include <unordered_map>

#include "hibiscuspick/base/hash.h"
#include "step_context.h"

namespace hibiscuspick::membership {
namespace {

// Cached until the table changes: without changes, hashing would otherwise take
// most of the time of an exchange.
const MemberBuckets& MemberBucketsOf(ControlState* state) {
  if (state->member_buckets_generation != state->table.generation) {
    state->member_buckets_generation = state->table.generation;
    state->member_buckets = BucketsOf(state->table);
  }
  return state->member_buckets;
}

const ServerBuckets& ServerBucketsOf(ControlState* state) {
  if (state->server_buckets_generation != state->servers_generation) {
    state->server_buckets_generation = state->servers_generation;
    state->server_buckets = BucketsOf(state->servers);
  }
  return state->server_buckets;
}

void FillBuckets(ControlState* state, Digest* digest) {
  const auto& members = MemberBucketsOf(state);
  digest->member_buckets.assign(members.begin(), members.end());
  const auto& servers = ServerBucketsOf(state);
  digest->server_buckets.assign(servers.begin(), servers.end());
}

void FillHeartbeats(const MemberTable& table, Digest* digest) {
  for (const auto& [id, it] : table.members) {
    if (it.state.data_centre != table.data_centre) continue;
    if (it.state.phase == Phase::kGone) continue;
    digest->heartbeat_keys.push_back(IncarnationKey(it.state));
    digest->heartbeats.push_back(static_cast<uint32_t>(it.state.heartbeat));
  }
}

void FillAges(const StepContext& context, Digest* digest) {
  for (const auto& [id, heard] : context.state->table.data_centres_last_heard) {
    digest->data_centres.push_back({id, context.now - heard});
  }
}

void MergeAges(StepContext* context, const Digest& digest) {
  auto& table = context->state->table;
  for (const auto& it : digest.data_centres) {
    if (it.id == table.data_centre || it.age < Millis(0)) continue;
    const auto known = table.data_centres_last_heard.find(it.id);
    if (known == table.data_centres_last_heard.end()) continue;
    known->second = Max(known->second, context->now - it.age);
  }
}

// Merges newer heartbeats and leaves in `reply` only those that are newer here.
void MergeHeartbeats(StepContext* context, const Digest& digest,
                     Digest* reply) {
  auto& table = context->state->table;
  std::unordered_map<uint64_t, uint64_t> heartbeats;
  const size_t n =
      std::min(digest.heartbeat_keys.size(), digest.heartbeats.size());
  for (size_t i = 0; i < n; ++i) {
    heartbeats[digest.heartbeat_keys[i]] = digest.heartbeats[i];
  }
  for (auto& [id, it] : table.members) {
    if (it.state.data_centre != table.data_centre) continue;
    if (it.state.phase == Phase::kGone) continue;
    const uint64_t key = IncarnationKey(it.state);
    const auto heartbeat = heartbeats.find(key);
    if (heartbeat != heartbeats.end()) {
      MergeHeartbeat(&table, id, heartbeat->second, context->now);
      if (it.state.heartbeat <= heartbeat->second) continue;
    }
    reply->heartbeat_keys.push_back(key);
    reply->heartbeats.push_back(static_cast<uint32_t>(it.state.heartbeat));
  }
}

// Returns the entries in the buckets whose hashes differ.
MembershipDelta DifferingEntries(ControlState* state, const Digest& digest) {
  MembershipDelta delta;
  if (digest.member_buckets.size() == kMemberBuckets) {
    const auto& own = MemberBucketsOf(state);
    for (const auto& [id, it] : state->table.members) {
      const size_t n = MemberBucketOf(id);
      if (own[n] != digest.member_buckets[n]) delta.members.push_back(it.state);
    }
  }
  if (digest.server_buckets.size() == kServerBuckets) {
    const auto& own = ServerBucketsOf(state);
    for (const auto& [id, it] : state->servers) {
      const size_t n = ServerBucketOf(id);
      if (own[n] != digest.server_buckets[n]) delta.servers.push_back(it);
    }
  }
  return delta;
}

bool BucketsDiffer(ControlState* state, const Digest& digest) {
  if (digest.member_buckets.empty() && digest.server_buckets.empty()) {
    return false;
  }
  const auto& members = MemberBucketsOf(state);
  const auto& servers = ServerBucketsOf(state);
  return !std::equal(members.begin(), members.end(),
                     digest.member_buckets.begin(),
                     digest.member_buckets.end()) ||
         !std::equal(servers.begin(), servers.end(),
                     digest.server_buckets.begin(),
                     digest.server_buckets.end());
}

// Keeps `n` entries from a random position on, so that several exchanges
// transfer all of them.
template <class T>
void KeepRandomEntries(std::vector<T>* entries, size_t n, Random* random) {
  if (entries->size() <= n) return;
  const size_t first = random->Below(entries->size());
  std::rotate(entries->begin(),
              entries->begin() + static_cast<std::ptrdiff_t>(first),
              entries->end());
  entries->erase(entries->begin() + static_cast<std::ptrdiff_t>(n),
                 entries->end());
}

void ReplyWithEntries(StepContext* context, const Peer& to,
                      const Digest& digest) {
  if (!BucketsDiffer(context->state, digest)) return;
  auto delta = DifferingEntries(context->state, digest);
  const size_t n = context->state->limits.delta_entries;
  KeepRandomEntries(&delta.members, n, context->random);
  KeepRandomEntries(&delta.servers, n, context->random);
  if (delta.members.empty() && delta.servers.empty()) return;
  context->actions.push_back(SendTo{to, std::move(delta)});
}

Digest EmptyDigest(StepContext* context) {
  Digest digest;
  digest.sender = SelfOf(context->state->table).state;
  FillConfigDigest(context, &digest);
  return digest;
}

// Returns a digest if buckets differ, the sender is in another data centre or
// has newer configuration, or newer heartbeats are known here. The entries that
// the sender lacks are sent separately.
void ReplyWithDigest(StepContext* context, const Peer& to, const Digest& digest,
                     Digest reply) {
  const auto& state = *context->state;
  const bool differ = BucketsDiffer(context->state, digest);
  const bool other_data_centre =
      digest.sender.data_centre != state.table.data_centre;
  if (!differ && !other_data_centre && reply.heartbeats.empty() &&
      !NeedsConfig(context, digest)) {
    return;
  }
  if (differ) {
    FillBuckets(context->state, &reply);
  }
  FillAges(*context, &reply);
  context->actions.push_back(SendTo{to, std::move(reply)});
}

std::string_view VerbOf(Phase phase) {
  switch (phase) {
    case Phase::kStarting:
      return "starts";
    case Phase::kServing:
      return "serves";
    case Phase::kLeaving:
      return "leaves";
    case Phase::kGone:
      return "is gone";
  }
  return "";
}

}  // namespace

void ReportMemberChange(StepContext* context, const InstanceId& id,
                        std::string what) {
  const auto it = context->state->table.members.find(id);
  MemberChange change;
  change.id = id;
  change.what = std::move(what);
  if (it != context->state->table.members.end()) {
    change.data_centre = it->second.state.data_centre;
    change.phase = it->second.state.phase;
    change.suspect = it->second.suspect;
  }
  context->actions.push_back(std::move(change));
}

MergeResult MergeReport(StepContext* context, const MemberState& state) {
  auto& table = context->state->table;
  const auto before = SelfOf(table).state.incarnation;
  const MergeResult merge = MergeMember(&table, state, context->now);
  if (merge == MergeResult::kChanged) {
    ReportMemberChange(context, state.id, std::string(VerbOf(state.phase)));
  }
  if (merge != MergeResult::kRefuted) return merge;
  ReportMemberChange(
      context, state.id,
      "refutes a report that it " + std::string(VerbOf(state.phase)));
  const auto after = SelfOf(table).state.incarnation;
  if (after != before) context->actions.push_back(AdoptIncarnation{after});
  PushSelf(context);
  return merge;
}

Digest MakeDigest(StepContext* context, bool to_own_data_centre) {
  auto digest = EmptyDigest(context);
  FillBuckets(context->state, &digest);
  if (to_own_data_centre) FillHeartbeats(context->state->table, &digest);
  FillAges(*context, &digest);
  return digest;
}

void SendDigests(StepContext* context) {
  const auto& state = *context->state;
  const auto& table = state.table;
  auto peers = PickPeers(context, table.data_centre, state.limits.digest_peers);
  const size_t offset = Hash(table.self.text) % state.limits.cross_ticks;
  const auto others = OtherDataCentres(state);
  if (!others.empty() &&
      (state.ticks + offset) % state.limits.cross_ticks == 0) {
    const auto& id = others[context->random->Below(others.size())];
    for (auto& it : PickPeers(context, id, 1)) peers.push_back(std::move(it));
  }
  // Unconnected instances are contacted each tick if there is no other peer,
  // else at random, once in this many ticks.
  constexpr size_t kUnconnectedOneIn = 8;
  if (peers.empty() || context->random->Below(kUnconnectedOneIn) == 0) {
    if (auto it = PickUnconnected(context)) peers.push_back(std::move(*it));
  }
  for (auto& it : peers) {
    const auto known = table.members.find(it.id);
    const bool own = known != table.members.end() &&
                     known->second.state.data_centre == table.data_centre;
    auto digest = MakeDigest(context, own);
    digest.reply_wanted = true;
    context->actions.push_back(SendTo{std::move(it), std::move(digest)});
  }
}

void HandleDigest(StepContext* context, const InstanceId& from,
                  const Digest& digest) {
  auto& table = context->state->table;
  if (digest.sender.id != from || from == table.self) return;
  MergeReport(context, digest.sender);
  const bool own = digest.sender.data_centre == table.data_centre;
  if (!own) {
    table.data_centres_last_heard[digest.sender.data_centre] = context->now;
  }
  MergeAges(context, digest);
  MergeConfigAge(context, digest);
  auto reply = EmptyDigest(context);
  if (own) MergeHeartbeats(context, digest, &reply);
  const auto to = PeerOf(digest.sender);
  ReplyWithConfig(context, to, digest);
  ReplyWithEntries(context, to, digest);
  if (digest.reply_wanted) {
    ReplyWithDigest(context, to, digest, std::move(reply));
  }
}

void HandleMembershipDelta(StepContext* context, const InstanceId& from,
                           const MembershipDelta& delta) {
  MembershipDelta changed;
  for (const auto& it : delta.members) {
    if (MergeReport(context, it) == MergeResult::kChanged) {
      changed.members.push_back(it);
    }
  }
  for (const auto& it : delta.servers) {
    if (!MergeDrainReport(&context->state->servers, it)) continue;
    ++context->state->servers_generation;
    changed.servers.push_back(it);
  }
  if (delta.pass_on) {
    PushMembershipDelta(context, std::move(changed), PushScope::kOwnDataCentre,
                        from);
  }
}

void PushMembershipDelta(StepContext* context, MembershipDelta delta,
                         PushScope scope, const InstanceId& except) {
  if (delta.members.empty() && delta.servers.empty()) return;
  delta.pass_on = true;
  for (auto& it : PushPeers(context, scope, except)) {
    context->actions.push_back(SendTo{std::move(it), delta});
  }
}

void PushSelf(StepContext* context) {
  MembershipDelta delta;
  delta.members.push_back(SelfOf(context->state->table).state);
  PushMembershipDelta(context, std::move(delta), PushScope::kAll, {});
}

}  // namespace hibiscuspick::membership
