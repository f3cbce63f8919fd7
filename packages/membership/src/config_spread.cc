// Distributes configuration between instances: changes are pushed, and digests
// repair what was lost. The configuration store itself ensures that no version
// decreases.
#include <algorithm>

#include "turn.h"

namespace hibiscuspick::membership {
namespace {

using settings::ApplyDelta;
using settings::ApplyFromPlatform;
using settings::ConfigDelta;
using settings::ConfigObject;
using settings::DeltaSince;

// Recomputes the digest's fields if the store's generation has changed.
void RefreshDigest(ControlState* state) {
  if (state->digest_generation == state->config.generation) return;
  state->digest_generation = state->config.generation;
  state->digest_hash = settings::HashOf(state->config);
  state->digest_newest = Revision();
  for (const auto& [name, it] : state->config.objects) {
    state->digest_newest = std::max(state->digest_newest, it.version);
  }
}

size_t SizeOf(const ConfigObject& object) {
  return object.name.size() + object.text.size();
}

size_t SizeOf(const ConfigDelta& delta) {
  size_t size = 0;
  for (const auto& it : delta.objects) size += SizeOf(it);
  return size;
}

// Returns the objects of a delta with the lowest versions, up to about `bytes`.
// The result is a complete delta up to its last version; the next digest
// requests the rest.
ConfigDelta FirstOf(ConfigDelta delta, size_t bytes) {
  std::sort(delta.objects.begin(), delta.objects.end(),
            [](const auto& a, const auto& b) { return a.version < b.version; });
  size_t size = 0;
  for (size_t i = 0; i < delta.objects.size(); ++i) {
    size += SizeOf(delta.objects[i]);
    if (size <= bytes || i == 0) continue;
    delta.objects.resize(i);
    delta.complete_to =
        std::min(delta.complete_to, delta.objects.back().version);
    break;
  }
  return delta;
}

void Note(Turn* turn, settings::Applied applied) {
  for (auto& it : applied.alarms) {
    turn->actions.push_back(Alarm{std::move(it)});
  }
  if (applied.changed.empty() && !applied.watermark_raised) return;
  turn->actions.push_back(ApplyConfig{std::move(applied.changed)});
}

// Whether both sides have the same watermark and no object above it. Any
// difference then lies below the watermark, where a digest cannot identify it.
bool HasNothingBeyond(const ControlState& state, const Digest& digest) {
  return state.config.complete_to == digest.config_complete_to &&
         state.digest_newest <= state.config.complete_to &&
         digest.config_newest <= digest.config_complete_to;
}

// Decides whether to send the whole configuration to an instance with the same
// watermark but another content, which means that the platform assigned a
// version twice. Sending everything transfers the objects that are newer here;
// since it is expensive it is done once in kOneIn times.
bool MayRepairAll(Turn* turn, const Peer& to) {
  constexpr size_t kOneIn = 8;
  if (turn->random->Below(kOneIn) != 0) return false;
  turn->actions.push_back(
      Alarm{{Code::kPlatformWentBack, to.id.text,
             "configuration differs at revision " +
                 std::to_string(turn->state->config.complete_to.value)}});
  return true;
}

// Pushes a change. Of a large one only a digest is sent, so that no peer
// receives a megabyte several times.
void Push(Turn* turn, const ConfigDelta& delta, Reach reach,
          const InstanceId& except) {
  const bool small = SizeOf(delta) <= turn->state->limits.push_bytes;
  for (auto& peer : PushPeers(turn, reach, except)) {
    if (small) {
      turn->actions.push_back(SendTo{std::move(peer), delta});
      continue;
    }
    auto digest = MakeDigest(turn, false);
    digest.reply_wanted = true;
    turn->actions.push_back(SendTo{std::move(peer), std::move(digest)});
  }
}

}  // namespace

void FillConfig(Turn* turn, Digest* digest) {
  RefreshDigest(turn->state);
  digest->config_complete_to = turn->state->config.complete_to;
  digest->config_newest = turn->state->digest_newest;
  digest->config_hash = turn->state->digest_hash;
  const auto& confirmed = turn->state->config_confirmed;
  if (confirmed) digest->config_age = turn->now - *confirmed;
}

void TakeConfigAge(Turn* turn, const Digest& digest) {
  ControlState* state = turn->state;
  if (!digest.config_age || *digest.config_age < Millis(0)) return;
  // The confirmation refers to a configuration that is not complete here yet.
  if (state->config.complete_to < digest.config_complete_to) return;
  const Millis confirmed = turn->now - *digest.config_age;
  state->config_confirmed =
      Max(state->config_confirmed.value_or(confirmed), confirmed);
}

bool LacksConfig(Turn* turn, const Digest& digest) {
  RefreshDigest(turn->state);
  const auto& state = *turn->state;
  return digest.config_complete_to > state.config.complete_to ||
         digest.config_newest > state.digest_newest ||
         digest.config_hash != state.digest_hash;
}

void AnswerConfig(Turn* turn, const Peer& to, const Digest& digest) {
  RefreshDigest(turn->state);
  const auto& state = *turn->state;
  const bool further = state.config.complete_to > digest.config_complete_to;
  const bool differs = state.digest_hash != digest.config_hash;
  if (!further && !differs) return;
  const bool diverged = !further && HasNothingBeyond(state, digest);
  if (diverged && !MayRepairAll(turn, to)) return;
  auto delta = DeltaSince(state.config,
                          diverged ? Revision() : digest.config_complete_to);
  if (!further) {
    // Single objects above the other's watermark say nothing about the versions
    // in between, so they must not raise it.
    delta.after = Revision();
    delta.complete_to = Revision();
    if (delta.objects.empty()) return;
  }
  delta = FirstOf(std::move(delta), state.limits.delta_bytes);
  turn->actions.push_back(SendTo{to, std::move(delta)});
}

void HandleAccepted(Turn* turn, const ConfigDelta& delta) {
  auto applied = ApplyDelta(&turn->state->config, delta);
  const bool changed = !applied.changed.empty();
  Note(turn, std::move(applied));
  if (changed) Push(turn, delta, Reach::kAll, {});
}

void HandleWatched(Turn* turn, const WatchedConfig& watched) {
  const bool fresh = !IsConfigured(*turn->state);
  auto applied =
      ApplyFromPlatform(&turn->state->config, watched.delta, watched.known);
  const bool changed = !applied.changed.empty();
  if (applied.alarms.empty()) turn->state->config_confirmed = turn->now;
  Note(turn, std::move(applied));
  if (changed && !fresh) Push(turn, watched.delta, Reach::kAll, {});
}

void HandleDelta(Turn* turn, const InstanceId& from, const ConfigDelta& delta) {
  const bool fresh = !IsConfigured(*turn->state);
  auto applied = ApplyDelta(&turn->state->config, delta);
  const bool changed = !applied.changed.empty();
  const bool gap = applied.gap;
  Note(turn, std::move(applied));
  // An instance does not push its first configuration, since its peers already
  // have it.
  if (changed && !fresh) Push(turn, delta, Reach::kOwnDataCentre, from);
  if (!gap) return;
  auto digest = MakeDigest(turn, false);
  digest.reply_wanted = true;
  turn->actions.push_back(SendTo{Peer{from, {}, {}}, std::move(digest)});
}

}  // namespace hibiscuspick::membership
