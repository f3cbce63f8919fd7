// All instances that this one knows of, and how fresh the knowledge is.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/membership/member.h"

namespace hibiscuspick::membership {

struct MemberLimits {
  // Silence of a member of the own data centre after which it is asked last,
  // and after which it counts as gone. At 66 members and two digests a second
  // a beat takes up to 4 s to get round: with 3 s here, each daemon wrongly
  // suspected somebody every half minute (benchmarks/gossip).
  Millis suspect_after{5000};
  Millis gone_after{10000};
  // The same when most of the data centre has fallen silent at once.
  Millis most_gone_after{60000};
  // How long a member is asked last after the mesh failed to reach it.
  Millis distrust_failed_for{5000};
  // Silence of another data centre after which its members are asked last.
  Millis data_centre_suspect_after{15000};
  // How long an instance that is gone is remembered, so that old gossip cannot
  // bring it back; also how long a silent data centre's members are kept.
  Millis forget_after{3600000};
};

struct Member {
  MemberState state;
  // Own time of the last rise of the heartbeat or of the state.
  Millis heard;
  bool suspect = false;
  // When the mesh last failed to reach it.
  std::optional<Millis> failed;
};

struct MemberTable {
  InstanceId self;
  DataCentreId data_centre;
  // The own entry included.
  std::map<InstanceId, Member> members;
  // Own time at which each other data centre was last heard from.
  std::map<DataCentreId, Millis> data_centres_heard;
  // Whether a report that this instance is leaving is contradicted. The
  // platform's list lags, and may show a former life of this instance's id.
  bool refute_leaving = true;
  // Changes with everything that the view or the buckets show.
  uint64_t generation = 0;
};

enum class Merge {
  // Nothing new, or a report of a gone instance that is not known here.
  kOld,
  // Only the heartbeat was newer.
  kHeartbeat,
  // The entry was replaced.
  kChanged,
  // The report was about this instance and wrong; the own entry was raised
  // above it and has to be spread.
  kRefuted,
};

// Takes a report of one member.
Merge MergeMember(MemberTable* table, const MemberState& state, Millis now);

// Takes a heartbeat from a digest; false if the life is not known or the beat
// not newer.
bool MergeHeartbeat(MemberTable* table, const InstanceId& id, uint64_t beat,
                    Millis now);

// The mesh could not reach the member: it is asked last for a while.
void MarkFailed(MemberTable* table, const InstanceId& id, Millis now);

struct SweepResult {
  std::vector<InstanceId> suspected;
  std::vector<InstanceId> trusted;
  std::vector<InstanceId> gone;
  std::vector<InstanceId> forgotten;
};

// Judges silence. Called each tick.
SweepResult Sweep(MemberTable* table, const MemberLimits& limits, Millis now);

// After a pause of this process: its silence is its own, so nobody is judged
// by it. Without this an instance that wakes would call all others gone.
void ForgivePause(MemberTable* table, Millis pause);

// The own entry.
Member& SelfOf(MemberTable* table);
const Member& SelfOf(const MemberTable& table);

// Buckets of a digest. A bucket's hash covers the entries of its members but
// for heartbeats and for those gone, which each instance forgets in its own
// time.
inline constexpr size_t kMemberBuckets = 64;
using MemberBuckets = std::array<uint32_t, kMemberBuckets>;
size_t MemberBucketOf(const InstanceId& id);
MemberBuckets BucketsOf(const MemberTable& table);

}  // namespace hibiscuspick::membership
