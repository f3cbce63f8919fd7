// Distributes configuration between instances: changes are pushed, and digests
// repair what was lost. The configuration store itself ensures that no version
// decreases.
#include <algorithm>

#include "step_context.h"

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
ConfigDelta TruncateDelta(ConfigDelta delta, size_t bytes) {
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

void ReportApplied(StepContext* context, settings::ApplyResult applied) {
  for (auto& it : applied.alarms) {
    context->actions.push_back(Alarm{std::move(it)});
  }
  if (applied.changed.empty() && !applied.watermark_raised) return;
  context->actions.push_back(ApplyConfig{std::move(applied.changed)});
}

// Whether both sides have the same watermark and no object above it. Any
// difference then lies below the watermark, where a digest cannot identify it.
bool HasNoNewerObjects(const ControlState& state, const Digest& digest) {
  return state.config.complete_to == digest.config_complete_to &&
         state.digest_newest <= state.config.complete_to &&
         digest.config_newest <= digest.config_complete_to;
}

// Decides whether to send the whole configuration to an instance with the same
// watermark but another content, which means that the platform assigned a
// version twice. Sending everything transfers the objects that are newer here;
// since it is expensive it is done once in kOneIn times.
bool ShouldSendAll(StepContext* context, const Peer& to) {
  constexpr size_t kOneIn = 8;
  if (context->random->Below(kOneIn) != 0) return false;
  context->actions.push_back(
      Alarm{{Code::kPlatformWentBack, to.id.text,
             "configuration differs at revision " +
                 std::to_string(context->state->config.complete_to.value)}});
  return true;
}

// Pushes a change. Of a large one only a digest is sent, so that no peer
// receives a megabyte several times.
void Push(StepContext* context, const ConfigDelta& delta, PushScope scope,
          const InstanceId& except) {
  const bool small = SizeOf(delta) <= context->state->limits.push_bytes;
  for (auto& peer : PushPeers(context, scope, except)) {
    if (small) {
      context->actions.push_back(SendTo{std::move(peer), delta});
      continue;
    }
    auto digest = MakeDigest(context, false);
    digest.reply_wanted = true;
    context->actions.push_back(SendTo{std::move(peer), std::move(digest)});
  }
}

}  // namespace

void FillConfigDigest(StepContext* context, Digest* digest) {
  RefreshDigest(context->state);
  digest->config_complete_to = context->state->config.complete_to;
  digest->config_newest = context->state->digest_newest;
  digest->config_hash = context->state->digest_hash;
  const auto& confirmed = context->state->config_confirmed;
  if (confirmed) digest->config_age = context->now - *confirmed;
}

void MergeConfigAge(StepContext* context, const Digest& digest) {
  ControlState* state = context->state;
  if (!digest.config_age || *digest.config_age < Millis(0)) return;
  // The confirmation refers to a configuration that is not complete here yet.
  if (state->config.complete_to < digest.config_complete_to) return;
  const Millis confirmed = context->now - *digest.config_age;
  state->config_confirmed =
      Max(state->config_confirmed.value_or(confirmed), confirmed);
}

bool NeedsConfig(StepContext* context, const Digest& digest) {
  RefreshDigest(context->state);
  const auto& state = *context->state;
  return digest.config_complete_to > state.config.complete_to ||
         digest.config_newest > state.digest_newest ||
         digest.config_hash != state.digest_hash;
}

void ReplyWithConfig(StepContext* context, const Peer& to,
                     const Digest& digest) {
  RefreshDigest(context->state);
  const auto& state = *context->state;
  const bool ahead = state.config.complete_to > digest.config_complete_to;
  const bool differs = state.digest_hash != digest.config_hash;
  if (!ahead && !differs) return;
  const bool diverged = !ahead && HasNoNewerObjects(state, digest);
  if (diverged && !ShouldSendAll(context, to)) return;
  auto delta = DeltaSince(state.config,
                          diverged ? Revision() : digest.config_complete_to);
  if (!ahead) {
    // Single objects above the other's watermark say nothing about the versions
    // in between, so they must not raise it.
    delta.after = Revision();
    delta.complete_to = Revision();
    if (delta.objects.empty()) return;
  }
  delta = TruncateDelta(std::move(delta), state.limits.delta_bytes);
  context->actions.push_back(SendTo{to, std::move(delta)});
}

void HandleAccepted(StepContext* context, const ConfigDelta& delta) {
  auto applied = ApplyDelta(&context->state->config, delta);
  const bool changed = !applied.changed.empty();
  ReportApplied(context, std::move(applied));
  if (changed) Push(context, delta, PushScope::kAll, {});
}

void HandleWatched(StepContext* context, const WatchedConfig& watched) {
  const bool was_unconfigured = !IsConfigured(*context->state);
  auto applied =
      ApplyFromPlatform(&context->state->config, watched.delta, watched.known);
  const bool changed = !applied.changed.empty();
  if (applied.alarms.empty()) context->state->config_confirmed = context->now;
  ReportApplied(context, std::move(applied));
  if (changed && !was_unconfigured) {
    Push(context, watched.delta, PushScope::kAll, {});
  }
}

void HandleDelta(StepContext* context, const InstanceId& from,
                 const ConfigDelta& delta) {
  const bool was_unconfigured = !IsConfigured(*context->state);
  auto applied = ApplyDelta(&context->state->config, delta);
  const bool changed = !applied.changed.empty();
  const bool gap = applied.gap;
  ReportApplied(context, std::move(applied));
  // An instance does not push its first configuration, since its peers already
  // have it.
  if (changed && !was_unconfigured) {
    Push(context, delta, PushScope::kOwnDataCentre, from);
  }
  if (!gap) return;
  auto digest = MakeDigest(context, false);
  digest.reply_wanted = true;
  context->actions.push_back(SendTo{Peer{from, {}, {}}, std::move(digest)});
}

}  // namespace hibiscuspick::membership
