// Group commit of a bucket's changes as a state machine without I/O: all
// pending changes go into one conditional write.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/records/bucket.h"

namespace hibiscuspick::records {

// Events of the state machine.
struct Submit {
  // Below kReleaseBit, never reused.
  uint64_t id = 0;
  Change change;
};
// The submitter has stopped waiting. A claim that may have been written is
// released, since nobody would dispatch its record; an outcome is still stored.
struct GiveUp {
  uint64_t id = 0;
};
struct StoredBucket {
  Revision version;
  BucketValue value;
};
struct GotBucket {
  Result<StoredBucket> result;
};
struct PutDone {
  Result<Revision> result;
};
// Time to retry the writes of changes without a submitter.
struct Retry {};
using CommitEvent = std::variant<Submit, GiveUp, GotBucket, PutDone, Retry>;

// Actions that the caller performs.
struct ReadBucket {};
struct WriteBucket {
  BucketValue value;
  // nullopt: the object must not exist yet.
  std::optional<Revision> expected;
};
struct Decided {
  uint64_t id = 0;
  Verdict verdict;
};
using CommitAction = std::variant<ReadBucket, WriteBucket, Decided>;

inline constexpr uint64_t kReleaseBit = 1ULL << 63;

// After this many consecutive failed calls, submitters get a verdict instead of
// waiting longer.
inline constexpr uint32_t kMaxFailures = 3;

// The maximum number of changes kept without a submitter. Beyond it the oldest
// are dropped, which leaves outcomes unknown but runs no record twice.
inline constexpr size_t kMaxOrphans = 1000;

struct PendingChange {
  Change change;
  // No submitter waits for the verdict.
  bool is_orphan = false;
  // Part of a write that was started, so it may have taken effect.
  bool is_written = false;
  // The bucket was read or written since the change was submitted. A verdict
  // from an older copy could miss another instance's outcome.
  bool is_read_since_submit = false;
};

// A write whose reply was lost. It may still take effect until the object is
// seen at another version.
struct LostWrite {
  std::optional<Revision> expected;
};

struct Committer {
  Rules rules;
  // The bucket as last read or written, if `is_known`.
  bool is_known = false;
  BucketValue value;
  std::optional<Revision> version;
  std::optional<LostWrite> lost_write;
  std::map<uint64_t, PendingChange> pending;
  // A platform call is in flight.
  bool is_busy = false;
  // The write in flight: its value, the version that it replaces and the
  // verdicts that depend on it.
  BucketValue write_value;
  std::optional<Revision> write_expected;
  std::vector<Decided> on_success;
  // Consecutive failed calls.
  uint32_t failures = 0;
};

// Processes one event and returns the resulting actions. Starts no call while
// another is in flight.
std::vector<CommitAction> Step(Committer* it, const CommitEvent& event);

// Whether no change is pending and no call in flight.
bool IsIdle(const Committer& it);

}  // namespace hibiscuspick::records
