// Group commit of a bucket's changes as a pure machine: all changes that wait
// go into one conditional write.
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

// Events.
struct Submit {
  // Below kReleaseBit, never used twice.
  uint64_t id = 0;
  Change change;
};
// The submitter waits no longer. A claim that may have been written is
// released, since it may be in force without anyone to dispatch for it; an
// outcome is still stored.
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
// Time to try again to write what was left behind.
struct Retry {};
using CommitEvent = std::variant<Submit, GiveUp, GotBucket, PutDone, Retry>;

// Actions.
struct ReadBucket {};
struct WriteBucket {
  BucketValue value;
  // None: the object must not exist yet.
  std::optional<Revision> expected;
};
struct Decided {
  uint64_t id = 0;
  Verdict verdict;
};
using CommitAction = std::variant<ReadBucket, WriteBucket, Decided>;

inline constexpr uint64_t kReleaseBit = 1ULL << 63;

// After so many failed calls in a row, submitters are told rather than kept
// waiting.
inline constexpr uint32_t kMaxFailures = 3;

// Changes kept without a submitter; past it the oldest are dropped, which
// leaves outcomes unknown but runs nothing twice.
inline constexpr size_t kMaxOrphans = 1000;

struct Waiting {
  Change change;
  // Nobody waits for the verdict.
  bool is_orphan = false;
  // Part of a write that was begun, so that it may be in force.
  bool is_written = false;
  // The bucket was read or written since it was submitted: a verdict from an
  // older copy could miss another instance's outcome.
  bool is_seen = false;
};

// A write whose reply was lost. Until the object is seen at another version, it
// may still take effect.
struct LostWrite {
  std::optional<Revision> expected;
};

struct Committer {
  Rules rules;
  // The bucket as last read or written, if `is_known`.
  bool is_known = false;
  BucketValue value;
  std::optional<Revision> version;
  std::optional<LostWrite> lost;
  std::map<uint64_t, Waiting> waiting;
  // A call at the platform is under way.
  bool is_busy = false;
  // The write under way: its value, and what it decides.
  BucketValue written;
  std::optional<Revision> written_over;
  std::vector<Decided> on_success;
  // Failed calls in a row.
  uint32_t failures = 0;
};

// Moves the commit on. While a call is under way no other is asked for.
std::vector<CommitAction> Step(Committer* it, const CommitEvent& event);

// Nothing waits and nothing is under way.
bool IsIdle(const Committer& it);

}  // namespace hibiscuspick::records
