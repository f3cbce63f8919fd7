// Digests and the entries sent in reply to them.
#include <algorithm>
#include <unordered_map>

#include "hibiscuspick/base/hash.h"
#include "turn.h"

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
    digest->heartbeat_keys.push_back(LifeKey(it.state));
    digest->heartbeats.push_back(static_cast<uint32_t>(it.state.heartbeat));
  }
}

void FillAges(const Turn& turn, Digest* digest) {
  for (const auto& [id, heard] : turn.state->table.data_centres_heard) {
    digest->data_centres.push_back({id, turn.now - heard});
  }
}

void TakeAges(Turn* turn, const Digest& digest) {
  auto& table = turn->state->table;
  for (const auto& it : digest.data_centres) {
    if (it.id == table.data_centre || it.age < Millis(0)) continue;
    const auto known = table.data_centres_heard.find(it.id);
    if (known == table.data_centres_heard.end()) continue;
    known->second = Max(known->second, turn->now - it.age);
  }
}

// Merges newer heartbeats and leaves in `reply` only those that are newer here.
void TakeHeartbeats(Turn* turn, const Digest& digest, Digest* reply) {
  auto& table = turn->state->table;
  std::unordered_map<uint64_t, uint64_t> beats;
  const size_t n =
      std::min(digest.heartbeat_keys.size(), digest.heartbeats.size());
  for (size_t i = 0; i < n; ++i) {
    beats[digest.heartbeat_keys[i]] = digest.heartbeats[i];
  }
  for (auto& [id, it] : table.members) {
    if (it.state.data_centre != table.data_centre) continue;
    if (it.state.phase == Phase::kGone) continue;
    const uint64_t key = LifeKey(it.state);
    const auto beat = beats.find(key);
    if (beat != beats.end()) {
      MergeHeartbeat(&table, id, beat->second, turn->now);
      if (it.state.heartbeat <= beat->second) continue;
    }
    reply->heartbeat_keys.push_back(key);
    reply->heartbeats.push_back(static_cast<uint32_t>(it.state.heartbeat));
  }
}

// Returns the entries in the buckets whose hashes differ.
News DifferingEntries(ControlState* state, const Digest& digest) {
  News news;
  if (digest.member_buckets.size() == kMemberBuckets) {
    const auto& own = MemberBucketsOf(state);
    for (const auto& [id, it] : state->table.members) {
      const size_t n = MemberBucketOf(id);
      if (own[n] != digest.member_buckets[n]) news.members.push_back(it.state);
    }
  }
  if (digest.server_buckets.size() == kServerBuckets) {
    const auto& own = ServerBucketsOf(state);
    for (const auto& [id, it] : state->servers) {
      const size_t n = ServerBucketOf(id);
      if (own[n] != digest.server_buckets[n]) news.servers.push_back(it);
    }
  }
  return news;
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
void Cut(std::vector<T>* entries, size_t n, Random* random) {
  if (entries->size() <= n) return;
  const size_t first = random->Below(entries->size());
  std::rotate(entries->begin(),
              entries->begin() + static_cast<std::ptrdiff_t>(first),
              entries->end());
  entries->erase(entries->begin() + static_cast<std::ptrdiff_t>(n),
                 entries->end());
}

void AnswerEntries(Turn* turn, const Peer& to, const Digest& digest) {
  if (!BucketsDiffer(turn->state, digest)) return;
  auto news = DifferingEntries(turn->state, digest);
  const size_t n = turn->state->limits.news_entries;
  Cut(&news.members, n, turn->random);
  Cut(&news.servers, n, turn->random);
  if (news.members.empty() && news.servers.empty()) return;
  turn->actions.push_back(SendTo{to, std::move(news)});
}

Digest EmptyDigest(Turn* turn) {
  Digest digest;
  digest.sender = SelfOf(turn->state->table).state;
  FillConfig(turn, &digest);
  return digest;
}

// Returns a digest if buckets differ, the sender is in another data centre or
// has newer configuration, or newer heartbeats are known here. The entries that
// the sender lacks are sent separately.
void ReplyTo(Turn* turn, const Peer& to, const Digest& digest, Digest reply) {
  const auto& state = *turn->state;
  const bool differ = BucketsDiffer(turn->state, digest);
  const bool other_data_centre =
      digest.sender.data_centre != state.table.data_centre;
  if (!differ && !other_data_centre && reply.heartbeats.empty() &&
      !LacksConfig(turn, digest)) {
    return;
  }
  if (differ) {
    FillBuckets(turn->state, &reply);
  }
  FillAges(*turn, &reply);
  turn->actions.push_back(SendTo{to, std::move(reply)});
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

void NoteMember(Turn* turn, const InstanceId& id, std::string what) {
  const auto it = turn->state->table.members.find(id);
  MemberChange change;
  change.id = id;
  change.what = std::move(what);
  if (it != turn->state->table.members.end()) {
    change.data_centre = it->second.state.data_centre;
    change.phase = it->second.state.phase;
    change.suspect = it->second.suspect;
  }
  turn->actions.push_back(std::move(change));
}

Merge TakeMember(Turn* turn, const MemberState& state) {
  auto& table = turn->state->table;
  const auto before = SelfOf(table).state.incarnation;
  const Merge merge = MergeMember(&table, state, turn->now);
  if (merge == Merge::kChanged) {
    NoteMember(turn, state.id, std::string(VerbOf(state.phase)));
  }
  if (merge != Merge::kRefuted) return merge;
  NoteMember(turn, state.id,
             "refutes a report that it " + std::string(VerbOf(state.phase)));
  const auto after = SelfOf(table).state.incarnation;
  if (after != before) turn->actions.push_back(AdoptIncarnation{after});
  PushSelf(turn);
  return merge;
}

Digest MakeDigest(Turn* turn, bool to_own_data_centre) {
  auto digest = EmptyDigest(turn);
  FillBuckets(turn->state, &digest);
  if (to_own_data_centre) FillHeartbeats(turn->state->table, &digest);
  FillAges(*turn, &digest);
  return digest;
}

void SendDigests(Turn* turn) {
  const auto& state = *turn->state;
  const auto& table = state.table;
  auto peers = PickPeers(turn, table.data_centre, state.limits.digest_peers);
  const size_t offset = Hash(table.self.text) % state.limits.cross_ticks;
  const auto others = OtherDataCentres(state);
  if (!others.empty() &&
      (state.ticks + offset) % state.limits.cross_ticks == 0) {
    const auto& id = others[turn->random->Below(others.size())];
    for (auto& it : PickPeers(turn, id, 1)) peers.push_back(std::move(it));
  }
  // Unconnected instances are contacted each tick if there is no other peer,
  // else at random, once in this many ticks.
  constexpr size_t kStrangerOneIn = 8;
  if (peers.empty() || turn->random->Below(kStrangerOneIn) == 0) {
    if (auto it = PickStranger(turn)) peers.push_back(std::move(*it));
  }
  for (auto& it : peers) {
    const auto known = table.members.find(it.id);
    const bool own = known != table.members.end() &&
                     known->second.state.data_centre == table.data_centre;
    auto digest = MakeDigest(turn, own);
    digest.reply_wanted = true;
    turn->actions.push_back(SendTo{std::move(it), std::move(digest)});
  }
}

void HandleDigest(Turn* turn, const InstanceId& from, const Digest& digest) {
  auto& table = turn->state->table;
  if (digest.sender.id != from || from == table.self) return;
  TakeMember(turn, digest.sender);
  const bool own = digest.sender.data_centre == table.data_centre;
  if (!own) table.data_centres_heard[digest.sender.data_centre] = turn->now;
  TakeAges(turn, digest);
  TakeConfigAge(turn, digest);
  auto reply = EmptyDigest(turn);
  if (own) TakeHeartbeats(turn, digest, &reply);
  const auto to = PeerOf(digest.sender);
  AnswerConfig(turn, to, digest);
  AnswerEntries(turn, to, digest);
  if (digest.reply_wanted) ReplyTo(turn, to, digest, std::move(reply));
}

void HandleNews(Turn* turn, const InstanceId& from, const News& news) {
  News changed;
  for (const auto& it : news.members) {
    if (TakeMember(turn, it) == Merge::kChanged) changed.members.push_back(it);
  }
  for (const auto& it : news.servers) {
    if (!MergeServer(&turn->state->servers, it)) continue;
    ++turn->state->servers_generation;
    changed.servers.push_back(it);
  }
  if (news.pass_on) {
    PushNews(turn, std::move(changed), Reach::kOwnDataCentre, from);
  }
}

void PushNews(Turn* turn, News news, Reach reach, const InstanceId& except) {
  if (news.members.empty() && news.servers.empty()) return;
  news.pass_on = true;
  for (auto& it : PushPeers(turn, reach, except)) {
    turn->actions.push_back(SendTo{std::move(it), news});
  }
}

void PushSelf(Turn* turn) {
  News news;
  news.members.push_back(SelfOf(turn->state->table).state);
  PushNews(turn, std::move(news), Reach::kAll, {});
}

}  // namespace hibiscuspick::membership
