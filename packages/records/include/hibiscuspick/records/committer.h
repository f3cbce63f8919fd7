// Group commit of a bucket's changes as a pure machine: all changes that wait
// go into one conditional write.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/records/bucket.h"

namespace hibiscuspick::records {

// Events.
struct Submit {
  uint64_t id = 0;
  Change change;
};
// The submitter waits no longer. A claim is then replaced by its release, since
// it may be in force without anyone knowing.
struct GiveUp {
  uint64_t id = 0;
};
struct GotBucket {
  Result<platform::StoredObject> result;
};
struct PutDone {
  Result<Revision> result;
};
using CommitEvent = std::variant<Submit, GiveUp, GotBucket, PutDone>;

// Actions.
struct ReadBucket {};
struct WriteBucket {
  Json value;
  std::optional<Revision> expected;
};
struct Decided {
  uint64_t id = 0;
  Verdict verdict;
};
using CommitAction = std::variant<ReadBucket, WriteBucket, Decided>;

struct Waiting {
  Change change;
  // Left behind by its submitter.
  bool orphan = false;
  // Part of the write now under way, or of one whose reply was lost.
  bool written = false;
};

struct Committer {
  Rules rules;
  // The bucket as last read or written; none before the first read.
  bool known = false;
  BucketValue value;
  std::optional<Revision> version;
  std::map<uint64_t, Waiting> waiting;
  // A call at the platform is under way.
  bool busy = false;
  // The value of the write under way, and what it decides.
  BucketValue written;
  std::vector<Decided> on_success;
  // Consecutive failures at the platform; the shell waits longer after each.
  uint32_t failures = 0;
};

// Moves the commit on; while a call is under way no other is asked for.
std::vector<CommitAction> Step(Committer* it, const CommitEvent& event);

}  // namespace hibiscuspick::records
