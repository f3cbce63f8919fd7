// The members known to this instance, and when each was last heard from.
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
  // Silence of a member in this data centre after which it is suspect
  // (contacted last), and after which it counts as gone. With 66 members and
  // two digests a second a heartbeat takes up to 4 s to reach all: at 3 s each
  // daemon wrongly suspected a member every half minute (benchmarks/gossip).
  Millis suspect_after{5000};
  Millis gone_after{10000};
  // Replaces gone_after while most of the data centre is silent.
  Millis most_gone_after{60000};
  // How long a member is suspect after the mesh failed to reach it.
  Millis suspect_failed_for{5000};
  // Silence of another data centre after which its members are suspect.
  Millis data_centre_suspect_after{15000};
  // How long a gone instance is remembered, so that old gossip cannot revive
  // it, and how long the members of a silent data centre are kept.
  Millis forget_after{3600000};
};

struct Member {
  MemberState state;
  // Local time of the last increase of the heartbeat or change of the state.
  Millis last_heard;
  bool suspect = false;
  // When the mesh last failed to reach it.
  std::optional<Millis> last_failure;
};

struct MemberTable {
  InstanceId self;
  DataCentreId data_centre;
  // Includes this instance.
  std::map<InstanceId, Member> members;
  // Local time at which each other data centre was last heard from.
  std::map<DataCentreId, Millis> data_centres_last_heard;
  // Whether this instance refutes a report that it is leaving. The platform's
  // list lags and may show an earlier incarnation of this id.
  bool refute_leaving = true;
  // Incremented when anything that the view or the buckets show changes.
  uint64_t generation = 0;
};

enum class MergeResult {
  // Nothing new, or a report of a gone instance that is unknown here.
  kNotNewer,
  // Only the heartbeat was newer.
  kHeartbeat,
  // The entry was replaced.
  kChanged,
  // A wrong report about this instance: its entry was raised above the report
  // and must be pushed to the peers.
  kRefuted,
};

// Merges a report of one member.
MergeResult MergeMember(MemberTable* table, const MemberState& state,
                        Millis now);

// Merges a heartbeat from a digest. Returns false if the incarnation is unknown
// or the heartbeat is not newer.
bool MergeHeartbeat(MemberTable* table, const InstanceId& id,
                    uint64_t heartbeat, Millis now);

// Records that the mesh could not reach the member, which makes it suspect for
// a while.
void MarkFailed(MemberTable* table, const InstanceId& id, Millis now);

struct SweepResult {
  std::vector<InstanceId> suspected;
  std::vector<InstanceId> recovered;
  std::vector<InstanceId> gone;
  std::vector<InstanceId> forgotten;
};

// Updates suspicion, removal and expiry from the members' silence. Called each
// tick.
SweepResult Sweep(MemberTable* table, const MemberLimits& limits, Millis now);

// Adds a pause of this process to all times, since members only appeared silent
// during it. Otherwise an instance that resumes would report all others as
// gone.
void DiscountPause(MemberTable* table, Millis pause);

// The entry of this instance.
Member& SelfOf(MemberTable* table);
const Member& SelfOf(const MemberTable& table);

// Buckets of a digest. A bucket's hash covers its members without their
// heartbeats, and without those gone, which each instance forgets at a time of
// its own.
inline constexpr size_t kMemberBuckets = 64;
using MemberBuckets = std::array<uint32_t, kMemberBuckets>;
size_t MemberBucketOf(const InstanceId& id);
MemberBuckets BucketsOf(const MemberTable& table);

}  // namespace hibiscuspick::membership
